package quota

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const (
	// requestInterval is the interval between two requests of a holder, and minStoreInterval the minimum interval
	// between two writes of its reservations.
	requestInterval  = time.Second
	minStoreInterval = time.Second
	// demandWindow is how long a submission counts as demand of its team, and idleReleaseDelay how long after a
	// team's last submission a holder releases what it does not use.
	demandWindow     = 5 * time.Second
	idleReleaseDelay = 10 * time.Second
	// registrationRetryDelay is the delay between two attempts to register as a holder.
	registrationRetryDelay = 3 * time.Second
)

const (
	// maxBytesPerReservation bounds the size of a reservation in the record's JSON form: the names of a job and a
	// team and three numbers, encoded in base64.
	maxBytesPerReservation = 72
	// recordHeaderBytes is reserved for the record's other fields, including the totals by team.
	recordHeaderBytes = 512
)

// Holder is the pure state machine of one holder. It admits jobs within the quota that the leader has allocated to
// its node.
type Holder struct {
	node    string
	maxJobs int // maximum number of jobs with reservations

	modRevision      ident.Revision // of the holder key; 0: not registered
	registering      bool
	nextRegistration clock.Instant
	lastDemand       clock.Instant // last submission; 0: none yet

	teams           map[ident.Team]*teamState
	requestInFlight bool
	nextRequest     clock.Instant
	lastQueriedJob  ident.JobID
	leaderEpoch     ident.Epoch // latest epoch of a response

	reservations   map[ident.JobID]*reservationState
	storeInFlight  bool
	dirty          bool // the reservations differ from the stored ones
	nextStore      clock.Instant
	recordRevision ident.Revision // of the stored reservations

	admitted int
	refused  int // submissions left to the leader
}

// NewHolder returns the holder of a node whose reservation record may take up to maxValueBytes.
func NewHolder(node string, maxValueBytes int) *Holder {
	return &Holder{
		node:         node,
		maxJobs:      max(0, (maxValueBytes-recordHeaderBytes)/maxBytesPerReservation),
		teams:        map[ident.Team]*teamState{},
		reservations: map[ident.JobID]*reservationState{},
	}
}

// Step applies one input at the time now and returns the effects to execute.
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

// admit reserves quota for as many of a job's tasks as fit into the free part of the allocation. The leader admits
// the other tasks.
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

// register registers this node as a holder if a job was submitted to it within demandWindow.
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

// discardState drops the registration, the allocations and the reservations. It is called if the holder key is gone or
// has changed, or if the reservations cannot be encoded. All writes are conditional on the revision of the holder key,
// so none that is still in flight can succeed once the key is gone or has changed.
func (h *Holder) discardState(now clock.Instant) {
	h.modRevision, h.recordRevision = 0, 0
	h.dirty, h.storeInFlight = false, false
	h.reservations = map[ident.JobID]*reservationState{}
	for _, team := range h.teams {
		team.allocated, team.releaseSeq, team.confirmedSeq = Quantity{}, 0, 0
	}
	h.nextRegistration = now.Add(registrationRetryDelay)
}
