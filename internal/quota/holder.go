package quota

import (
	"maps"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/kvstore"
)

const (
	// requestInterval is the pause between two asks of a holder, and storeEvery the least
	// time between two changes of its reservations.
	requestInterval  = time.Second
	minStoreInterval = time.Second
	// demandWindow is how long a submission counts as demand of its team, and
	// forgetAfter how long after the last a holder gives back what it does not use.
	demandWindow     = 5 * time.Second
	idleReleaseDelay = 10 * time.Second
	// registrationRetryDelay is the pause between two attempts to become a holder.
	registrationRetryDelay = 3 * time.Second
)

// HolderInput is what a holder takes: one of the types below.
type HolderInput interface{ holderInput() }

// Inputs of a holder.
type (
	// Tick lets time pass.
	Tick struct{}
	// JobSubmitted is a job that this node has just stored, and nobody else has.
	JobSubmitted struct {
		Job        ident.JobID
		Team       ident.Team
		Tasks      int
		TaskDemand Quantity
		Gang       bool // is admitted whole or not at all
	}
	// RegistrationDone answers Register. Stamp 0: it failed.
	RegistrationDone struct{ ModRevision ident.Revision }
	// StoreDone answers Store.
	StoreDone struct {
		Outcome     StoreOutcome
		ModRevision ident.Revision // of the reservations
	}
	// ResponseReceived answers SendAsk; nil: nothing came.
	ResponseReceived struct{ Response *AllocationResponse }
)

func (Tick) holderInput()             {}
func (JobSubmitted) holderInput()     {}
func (RegistrationDone) holderInput() {}
func (StoreDone) holderInput()        {}
func (ResponseReceived) holderInput() {}

// StoreOutcome is what became of a change of the reservations.
type StoreOutcome int

// Outcomes.
const (
	StoreSucceeded StoreOutcome = iota
	// StoreFailed: it was surely not carried out; try again.
	StoreFailed
	// StoreFenced: the holder key is not what it was. Nothing that this holder had
	// counts any more.
	StoreFenced
	// StoreLeaderChanged: the leader that said what may be freed does not lead now.
	StoreLeaderChanged
)

// HolderEffect is what a holder asks for: one of the types below.
type HolderEffect interface{ holderEffect() }

// Effects of a holder.
type (
	// Register sets the holder key anew.
	Register struct{ Node string }
	// StoreReservations writes the reservations under the guards; its outcome is found out if
	// it is not answered.
	StoreReservations struct {
		Key        string
		Record     *ReservationRecord
		Conditions []kvstore.Condition
	}
	// SendRequest asks the leader.
	SendRequest struct{ Request AllocationRequest }
)

func (Register) holderEffect()          {}
func (StoreReservations) holderEffect() {}
func (SendRequest) holderEffect()       {}

// teamState is what a holder has of a team's limit.
type teamState struct {
	allocated    Quantity // that it may use: confirmed, and not given back
	releaseSeq   uint64
	confirmedSeq uint64 // the last promise that the leader has stored
	recentDemand []demandSample
}

// demandSample is what a submission would have taken.
type demandSample struct {
	at       clock.Instant
	quantity Quantity
}

// reservationState is a reservation as the holder knows it. It counts for the larger of what is
// stored and what is to be stored.
type reservationState struct {
	team          ident.Team
	taskDemand    Quantity
	targetTasks   int // that are to be stored
	storedTasks   int // that are, or may be
	inFlightTasks int // in the change under way
}

func (h *reservationState) quantity() Quantity {
	return h.taskDemand.Mul(max(h.targetTasks, h.storedTasks))
}

// Holder is the state machine of one holder.
type Holder struct {
	node         string
	maxJobs      int
	modRevision  ident.Revision // of the holder key; 0: not a holder
	teams        map[ident.Team]*teamState
	reservations map[ident.JobID]*reservationState

	registering      bool
	nextRegistration clock.Instant
	lastDemand       clock.Instant
	requestInFlight  bool
	nextRequest      clock.Instant
	lastQueriedJob   ident.JobID // the last job that was asked about
	leaderEpoch      ident.Epoch // of the last answer

	storeInFlight  bool
	dirty          bool // the stored reservations differ
	nextStore      clock.Instant
	recordRevision ident.Revision // of the stored reservations
	refused        int            // submissions that could not be admitted here
	admitted       int
}

// maxBytesPerReservation bounds what a reservation takes of a value, in JSON: a job's and
// a team's name, three numbers, and base64.
const maxBytesPerReservation = 72

// NewHolder returns the holder of a node whose reservations may take so many bytes.
func NewHolder(node string, valueBytes int) *Holder {
	const head = 512 // of the record, with its sums
	return &Holder{node: node, maxJobs: max(0, (valueBytes-head)/maxBytesPerReservation), teams: map[ident.Team]*teamState{}, reservations: map[ident.JobID]*reservationState{}}
}

// Step takes one input at now and returns what to do.
func (h *Holder) Step(now clock.Instant, in HolderInput) []HolderEffect {
	switch in := in.(type) {
	case Tick:
		return h.tick(now)
	case JobSubmitted:
		h.admit(now, in)
	case RegistrationDone:
		h.registrationDone(now, in)
	case StoreDone:
		h.storeDone(now, in)
	case ResponseReceived:
		h.responseReceived(now, in)
	}
	return nil
}

func (h *Holder) team(team ident.Team) *teamState {
	s := h.teams[team]
	if s == nil {
		s = &teamState{}
		h.teams[team] = s
	}
	return s
}

// reservedQuantity is what is reserved of a team's limit.
func (h *Holder) reservedQuantity(team ident.Team) Quantity {
	var sum Quantity
	for _, r := range h.reservations {
		if r.team == team {
			sum = sum.Add(r.quantity())
		}
	}
	return sum
}

// admit admits what fits of a job. What does not is the leader's to admit.
func (h *Holder) admit(now clock.Instant, in JobSubmitted) {
	s := h.team(in.Team)
	s.recentDemand = append(s.recentDemand, demandSample{now, in.TaskDemand.Mul(in.Tasks)})
	h.lastDemand = now
	if h.modRevision == 0 || h.reservations[in.Job] != nil || len(h.reservations) >= h.maxJobs {
		h.refused++
		return
	}
	n := min(in.Tasks, s.allocated.Sub(h.reservedQuantity(in.Team)).CapacityFor(in.TaskDemand))
	if n == 0 || in.Gang && n < in.Tasks {
		h.refused++
		return
	}
	h.reservations[in.Job] = &reservationState{team: in.Team, taskDemand: in.TaskDemand, targetTasks: n}
	h.dirty = true
	h.admitted++
}

func (h *Holder) tick(now clock.Instant) []HolderEffect {
	var out []HolderEffect
	if h.modRevision == 0 {
		return h.register(now)
	}
	if h.dirty && !h.storeInFlight && !now.Before(h.nextStore) {
		out = append(out, h.storeReservations(now)...)
	}
	if !h.requestInFlight && !now.Before(h.nextRequest) {
		out = append(out, h.sendRequest(now)...)
	}
	return out
}

// register makes this node a holder, once anything is submitted to it.
func (h *Holder) register(now clock.Instant) []HolderEffect {
	if h.registering || now.Before(h.nextRegistration) || h.lastDemand == 0 || now.Sub(h.lastDemand) > demandWindow {
		return nil
	}
	h.registering = true
	return []HolderEffect{Register{Node: h.node}}
}

func (h *Holder) registrationDone(now clock.Instant, in RegistrationDone) {
	h.registering = false
	h.nextRegistration = now.Add(registrationRetryDelay)
	h.modRevision = in.ModRevision
}

// dropAll gives up everything: the holder key is gone, so nothing that is stored under
// it can follow.
func (h *Holder) dropAll(now clock.Instant) {
	h.modRevision, h.recordRevision, h.dirty, h.storeInFlight = 0, 0, false, false
	h.reservations = map[ident.JobID]*reservationState{}
	for _, s := range h.teams {
		s.allocated, s.releaseSeq, s.confirmedSeq = Quantity{}, 0, 0
	}
	h.nextRegistration = now.Add(registrationRetryDelay)
}

// storeReservations writes the reservations as they are to be. Freeing some is guarded by the
// epoch of the leader that has allowed it: a later one may have read the stored ones,
// and places by them.
func (h *Holder) storeReservations(now clock.Instant) []HolderEffect {
	var all []Reservation
	for _, id := range slices.Sorted(maps.Keys(h.reservations)) {
		r := h.reservations[id]
		if r.targetTasks > 0 {
			all = append(all, Reservation{Job: id, Team: r.team, Tasks: r.targetTasks, TaskDemand: r.taskDemand})
		}
	}
	record, err := NewReservationRecord(h.modRevision, all)
	if err != nil {
		h.dropAll(now)
		return nil
	}
	guards := []kvstore.Condition{{Key: HolderKey(h.node), ModRevision: h.modRevision}, {Key: ReservationKey(h.node), ModRevision: h.recordRevision}}
	lowering := false
	for _, r := range h.reservations {
		lowering = lowering || r.targetTasks < r.storedTasks
		r.storedTasks, r.inFlightTasks = max(r.storedTasks, r.targetTasks), r.targetTasks
	}
	if lowering {
		guards = append(guards, leaderCondition(h.leaderEpoch))
	}
	h.storeInFlight, h.dirty, h.nextStore = true, false, now.Add(minStoreInterval)
	return []HolderEffect{StoreReservations{Key: ReservationKey(h.node), Record: record, Conditions: guards}}
}

func (h *Holder) storeDone(now clock.Instant, in StoreDone) {
	if !h.storeInFlight {
		return
	}
	h.storeInFlight = false
	switch in.Outcome {
	case StoreSucceeded:
		h.recordRevision = in.ModRevision
		h.confirmStored()
	case StoreFenced:
		h.dropAll(now)
	case StoreLeaderChanged:
		h.cancelReleases()
		h.dirty = true
	default:
		h.dirty = true
	}
}

// confirmStored takes in that the reservations are stored as they were when they were sent.
func (h *Holder) confirmStored() {
	for id, r := range h.reservations {
		r.storedTasks = r.inFlightTasks
		h.dirty = h.dirty || r.targetTasks != r.storedTasks
		if r.targetTasks == 0 && r.storedTasks == 0 {
			delete(h.reservations, id)
		}
	}
}

// cancelReleases takes back what was to be freed and is not yet: the leader that has allowed
// it does not lead now, or may not.
func (h *Holder) cancelReleases() {
	for _, r := range h.reservations {
		r.targetTasks = max(r.targetTasks, r.storedTasks)
	}
}

// sendRequest tells the leader what this holder has and wants. What it wants less it has given
// up before it says so.
func (h *Holder) sendRequest(now clock.Instant) []HolderEffect {
	ask := AllocationRequest{Holder: HolderID{h.node, h.modRevision}, Jobs: h.nextJobsToQuery()}
	for _, team := range slices.Sorted(maps.Keys(h.teams)) {
		s := h.teams[team]
		want := h.desired(now, team, s)
		if want.Within(s.allocated) && want != s.allocated {
			s.allocated = want
			s.releaseSeq++
		}
		if (!s.allocated.IsZero() || !want.IsZero() || s.releaseSeq != s.confirmedSeq) && len(ask.Teams) < maxTeamsPerRequest {
			ask.Teams = append(ask.Teams, TeamRequest{Team: team, ReleaseSeq: s.releaseSeq, Ceiling: s.allocated, Desired: want})
		}
	}
	h.nextRequest = now.Add(requestInterval)
	if len(ask.Teams) == 0 {
		return nil
	}
	h.requestInFlight = true
	return []HolderEffect{SendRequest{ask}}
}

// desired is what a holder wants of a team's limit: what it has reserved, and as much
// again as was submitted in the last seconds. What it has it keeps for a while.
func (h *Holder) desired(now clock.Instant, team ident.Team, s *teamState) Quantity {
	recent := s.recentDemand[:0]
	var sum Quantity
	last := clock.Instant(0)
	for _, d := range s.recentDemand {
		if now.Sub(d.at) <= idleReleaseDelay {
			recent = append(recent, d)
			last = d.at
		}
		if now.Sub(d.at) <= demandWindow {
			sum = sum.Add(d.quantity)
		}
	}
	s.recentDemand = recent
	want := h.reservedQuantity(team).Add(sum)
	if last != 0 {
		want = want.Max(s.allocated)
	}
	return want
}

// nextJobsToQuery lists some jobs with reservations, others each time.
func (h *Holder) nextJobsToQuery() []ident.JobID {
	ids := slices.Sorted(maps.Keys(h.reservations))
	from, _ := slices.BinarySearch(ids, h.lastQueriedJob+"\x00")
	out := append(ids[from:len(ids):len(ids)], ids[:from]...)
	out = out[:min(len(out), maxJobsPerRequest)]
	if len(out) > 0 {
		h.lastQueriedJob = out[len(out)-1]
	}
	return out
}

// responseReceived takes in what the leader answers.
func (h *Holder) responseReceived(now clock.Instant, in ResponseReceived) {
	h.requestInFlight = false
	a := in.Response
	if a == nil || h.modRevision == 0 || a.Holder != (HolderID{h.node, h.modRevision}) {
		return
	}
	if a.Revoked {
		h.dropAll(now)
		return
	}
	for _, t := range a.Teams {
		s := h.teams[t.Team]
		if s == nil || t.ReleaseSeq != s.releaseSeq || !t.Allocated.valid() {
			continue // of before what was given back
		}
		s.allocated, s.confirmedSeq = t.Allocated, t.ReleaseSeq
		h.release(now, t.Team, s, t.Recall)
	}
	if a.Epoch < h.leaderEpoch {
		return
	}
	if a.Epoch > h.leaderEpoch {
		h.leaderEpoch = a.Epoch
		h.cancelReleases()
	}
	for _, j := range a.JobCaps {
		if r := h.reservations[j.Job]; r != nil && j.MaxTasks < r.targetTasks && j.MaxTasks >= 0 {
			r.targetTasks = j.MaxTasks
			h.dirty = true
		}
	}
}

// release gives back what is wanted, as far as nothing is reserved of it, and says so
// at once.
func (h *Holder) release(now clock.Instant, team ident.Team, s *teamState, recall Quantity) {
	if recall.IsZero() || !recall.valid() {
		return
	}
	left := s.allocated.Sub(recall).Max(h.reservedQuantity(team))
	if left.Within(s.allocated) && left != s.allocated {
		s.allocated = left
		s.releaseSeq++
		s.recentDemand = nil
		h.nextRequest = now
	}
}

// HolderStatus is what an operator may know of a holder.
type HolderStatus struct {
	ModRevision       ident.Revision
	Jobs              int
	Admitted, Refused int
	Teams             map[ident.Team]TeamUsage
}

// TeamUsage is what a holder has of a team's limit.
type TeamUsage struct{ Allocated, Reserved Quantity }

// Status tells how the holder is.
func (h *Holder) Status() HolderStatus {
	out := HolderStatus{ModRevision: h.modRevision, Jobs: len(h.reservations), Admitted: h.admitted, Refused: h.refused, Teams: map[ident.Team]TeamUsage{}}
	for team, s := range h.teams {
		out.Teams[team] = TeamUsage{s.allocated, h.reservedQuantity(team)}
	}
	return out
}
