package quota

import (
	"maps"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// teamState is what a holder knows of one team: its allocation from the team's limit, and the recent demand.
type teamState struct {
	allocated    Quantity // usable: confirmed by the leader and not released
	releaseSeq   uint64   // number of the last release
	confirmedSeq uint64   // number of the last release that the leader has stored
	recentDemand []demandSample
}

// demandSample is the quantity that a submission asked for, and the time of the submission.
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

// release lowers the allocation that the holder may use, and reports whether it was lowered. The release takes effect
// before the next request reports it to the leader, so a quantity that the leader knows to be released cannot be
// reserved any more.
func (t *teamState) release(to Quantity) bool {
	if !to.Within(t.allocated) || to == t.allocated {
		return false
	}
	t.allocated = to
	t.releaseSeq++
	return true
}

// idle reports whether requests to the leader may omit the team: nothing is allocated or desired, and the leader has
// stored the last release.
func (t *teamState) idle(desired Quantity) bool {
	return t.allocated.IsZero() && desired.IsZero() && t.releaseSeq == t.confirmedSeq
}

// sendRequest reports to the leader what this holder has and desires. If it desires less than it has, it releases the
// difference before it sends the request.
func (h *Holder) sendRequest(now clock.Instant) []HolderEffect {
	request := AllocationRequest{Holder: HolderID{h.node, h.modRevision}, Jobs: h.nextJobsToQuery()}
	for _, name := range slices.Sorted(maps.Keys(h.teams)) {
		team := h.teams[name]
		desired := h.desired(now, name, team)
		team.release(desired)
		if !team.idle(desired) && len(request.Teams) < maxTeamsPerRequest {
			request.Teams = append(request.Teams, TeamRequest{Team: name, ReleaseSeq: team.releaseSeq, Retained: team.allocated, Desired: desired})
		}
	}
	h.nextRequest = now.Add(requestInterval)
	if len(request.Teams) == 0 {
		return nil
	}
	h.requestInFlight = true
	return []HolderEffect{SendRequest{request}}
}

// desired returns how much of a team's limit the holder should have: what it has reserved, and in addition what was
// submitted within demandWindow. Until idleReleaseDelay after the last submission it is at least what the holder has.
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

// nextJobsToQuery returns the next jobs with reservations to ask the leader about. Successive calls go through all of
// them in turn.
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

// responseReceived applies the leader's response.
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

// applyAllocation adopts the stored allocation from a team's limit. It then releases what the leader recalls of it,
// except for what is reserved, and has the next request report the release at once.
func (h *Holder) applyAllocation(now clock.Instant, in TeamAllocation) {
	team := h.teams[in.Team]
	if team == nil || in.ReleaseSeq != team.releaseSeq || !in.Allocated.valid() {
		return // malformed, or from before the last release
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
