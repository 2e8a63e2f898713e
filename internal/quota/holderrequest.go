package quota

import (
	"maps"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// teamState is what a holder has of a team's limit.
type teamState struct {
	allocated    Quantity // that it may use: confirmed, and not released
	releaseSeq   uint64   // of the last release
	confirmedSeq uint64   // of the last release that the leader has stored
	recentDemand []demandSample
}

// demandSample is what a submission would have taken.
type demandSample struct {
	at       clock.Instant
	quantity Quantity
}

func (h *Holder) team(name ident.Team) *teamState {
	team := h.teams[name]
	if team == nil {
		team = &teamState{}
		h.teams[name] = team
	}
	return team
}

// release lowers what the holder may use. It does without at once, and the leader learns
// it from the next request: so what it has released can't be reserved any more.
func (t *teamState) release(to Quantity) bool {
	if !to.Within(t.allocated) || to == t.allocated {
		return false
	}
	t.allocated = to
	t.releaseSeq++
	return true
}

// idle tells whether the leader need not hear of the team.
func (t *teamState) idle(desired Quantity) bool {
	return t.allocated.IsZero() && desired.IsZero() && t.releaseSeq == t.confirmedSeq
}

// sendRequest tells the leader what this holder has and desires. What it desires less it
// has released before it says so.
func (h *Holder) sendRequest(now clock.Instant) []HolderEffect {
	request := AllocationRequest{Holder: HolderID{h.node, h.modRevision}, Jobs: h.nextJobsToQuery()}
	for _, name := range slices.Sorted(maps.Keys(h.teams)) {
		team := h.teams[name]
		desired := h.desired(now, name, team)
		team.release(desired)
		if !team.idle(desired) && len(request.Teams) < maxTeamsPerRequest {
			request.Teams = append(request.Teams, TeamRequest{Team: name, ReleaseSeq: team.releaseSeq, Ceiling: team.allocated, Desired: desired})
		}
	}
	h.nextRequest = now.Add(requestInterval)
	if len(request.Teams) == 0 {
		return nil
	}
	h.requestInFlight = true
	return []HolderEffect{SendRequest{request}}
}

// desired is what a holder should have of a team's limit: what it has reserved, and as
// much again as was submitted in the last seconds. What it has it keeps for a while.
func (h *Holder) desired(now clock.Instant, name ident.Team, team *teamState) Quantity {
	team.recentDemand = slices.DeleteFunc(team.recentDemand, func(d demandSample) bool {
		return now.Sub(d.at) > idleReleaseDelay
	})
	desired := h.reservedQuantity(name)
	for _, d := range team.recentDemand {
		if now.Sub(d.at) <= demandWindow {
			desired = desired.Add(d.quantity)
		}
	}
	if len(team.recentDemand) > 0 {
		desired = desired.Max(team.allocated)
	}
	return desired
}

// nextJobsToQuery lists some jobs with reservations, others each time.
func (h *Holder) nextJobsToQuery() []ident.JobID {
	ids := slices.Sorted(maps.Keys(h.reservations))
	from, _ := slices.BinarySearch(ids, h.lastQueriedJob+"\x00")
	rotated := slices.Concat(ids[from:], ids[:from])
	out := rotated[:min(len(rotated), maxJobsPerRequest)]
	if len(out) > 0 {
		h.lastQueriedJob = out[len(out)-1]
	}
	return out
}

// responseReceived takes in what the leader answers.
func (h *Holder) responseReceived(now clock.Instant, in ResponseReceived) {
	h.requestInFlight = false
	response := in.Response
	if response == nil || h.modRevision == 0 || response.Holder != (HolderID{h.node, h.modRevision}) {
		return
	}
	if response.Revoked {
		h.discardState(now)
		return
	}
	for _, allocation := range response.Teams {
		h.applyAllocation(now, allocation)
	}
	if response.Epoch < h.leaderEpoch {
		return
	}
	if response.Epoch > h.leaderEpoch {
		h.leaderEpoch = response.Epoch
		h.cancelReductions()
	}
	for _, jobCap := range response.JobCaps {
		h.capReservation(jobCap)
	}
}

// applyAllocation takes in what is stored for this holder of a team's limit, and releases
// what is recalled of it as far as nothing is reserved of that; the next request says so
// at once.
func (h *Holder) applyAllocation(now clock.Instant, in TeamAllocation) {
	team := h.teams[in.Team]
	if team == nil || in.ReleaseSeq != team.releaseSeq || !in.Allocated.valid() {
		return // of before a release
	}
	team.allocated, team.confirmedSeq = in.Allocated, in.ReleaseSeq
	if in.Recall.IsZero() || !in.Recall.valid() {
		return
	}
	if team.release(team.allocated.Sub(in.Recall).Max(h.reservedQuantity(in.Team))) {
		team.recentDemand = nil
		h.nextRequest = now
	}
}
