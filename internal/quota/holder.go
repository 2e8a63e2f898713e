package quota

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const (
	// requestInterval is the pause between two requests of a holder, and
	// minStoreInterval the least time between two changes of its reservations.
	requestInterval  = time.Second
	minStoreInterval = time.Second
	// demandWindow is how long a submission counts as demand of its team, and
	// idleReleaseDelay how long after the last a holder releases what it does not use.
	demandWindow     = 5 * time.Second
	idleReleaseDelay = 10 * time.Second
	// registrationRetryDelay is the pause between two attempts to become a holder.
	registrationRetryDelay = 3 * time.Second
)

const (
	// maxBytesPerReservation bounds what a reservation takes of a value, in JSON: a
	// job's and a team's name, three numbers, and base64.
	maxBytesPerReservation = 72
	// recordHeaderBytes are set aside for the record's head, with its totals.
	recordHeaderBytes = 512
)

// Holder is the pure state machine of one holder. It admits jobs within what the leader
// has allocated to its node.
type Holder struct {
	node    string
	maxJobs int // that have reservations at a time

	modRevision      ident.Revision // of the holder key; 0: not a holder
	registering      bool
	nextRegistration clock.Instant
	lastDemand       clock.Instant // 0: nothing was submitted yet

	teams           map[ident.Team]*teamState
	requestInFlight bool
	nextRequest     clock.Instant
	lastQueriedJob  ident.JobID
	leaderEpoch     ident.Epoch // of the last response

	reservations   map[ident.JobID]*reservationState
	storeInFlight  bool
	dirty          bool // the stored reservations differ
	nextStore      clock.Instant
	recordRevision ident.Revision // of the stored reservations

	admitted int
	refused  int // submissions that could not be admitted here
}

// NewHolder returns the holder of a node whose reservations may take maxValueBytes.
func NewHolder(node string, maxValueBytes int) *Holder {
	return &Holder{
		node:         node,
		maxJobs:      max(0, (maxValueBytes-recordHeaderBytes)/maxBytesPerReservation),
		teams:        map[ident.Team]*teamState{},
		reservations: map[ident.JobID]*reservationState{},
	}
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

func (h *Holder) tick(now clock.Instant) []HolderEffect {
	if h.modRevision == 0 {
		return h.register(now)
	}
	var effects []HolderEffect
	if h.dirty && !h.storeInFlight && !now.Before(h.nextStore) {
		effects = append(effects, h.storeReservations(now)...)
	}
	if !h.requestInFlight && !now.Before(h.nextRequest) {
		effects = append(effects, h.sendRequest(now)...)
	}
	return effects
}

// admit admits what fits of a job. What does not is the leader's to admit.
func (h *Holder) admit(now clock.Instant, in JobSubmitted) {
	team := h.team(in.Team)
	team.recentDemand = append(team.recentDemand, demandSample{now, in.TaskDemand.Mul(in.Tasks)})
	h.lastDemand = now
	if h.modRevision == 0 || h.reservations[in.Job] != nil || len(h.reservations) >= h.maxJobs {
		h.refused++
		return
	}
	free := team.allocated.Sub(h.reservedQuantity(in.Team))
	tasks := min(in.Tasks, free.CapacityFor(in.TaskDemand))
	if tasks == 0 || in.Gang && tasks < in.Tasks {
		h.refused++
		return
	}
	h.reservations[in.Job] = &reservationState{team: in.Team, taskDemand: in.TaskDemand, targetTasks: tasks}
	h.dirty = true
	h.admitted++
}

// register makes this node a holder, once anything is submitted to it.
func (h *Holder) register(now clock.Instant) []HolderEffect {
	idle := h.lastDemand == 0 || now.Sub(h.lastDemand) > demandWindow
	if h.registering || now.Before(h.nextRegistration) || idle {
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

// discardState gives up everything: the holder key is gone, so nothing that is stored under
// it can follow.
func (h *Holder) discardState(now clock.Instant) {
	h.modRevision, h.recordRevision = 0, 0
	h.dirty, h.storeInFlight = false, false
	h.reservations = map[ident.JobID]*reservationState{}
	for _, team := range h.teams {
		team.allocated, team.releaseSeq, team.confirmedSeq = Quantity{}, 0, 0
	}
	h.nextRegistration = now.Add(registrationRetryDelay)
}
