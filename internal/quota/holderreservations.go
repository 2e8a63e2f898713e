package quota

import (
	"maps"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// reservationState is the holder's state of one reservation.
type reservationState struct {
	team          ident.Team
	taskDemand    Quantity
	targetTasks   int // number of tasks to be stored
	storedTasks   int // highest number of tasks that the stored record may contain
	inFlightTasks int // number of tasks in the write in flight
}

// quantity returns the quota that the reservation takes: the larger of what is stored and what is to be stored.
func (r *reservationState) quantity() Quantity {
	return r.taskDemand.Mul(max(r.targetTasks, r.storedTasks))
}

// reservedQuantity returns how much of a team's limit is reserved.
func (h *Holder) reservedQuantity(team ident.Team) Quantity {
	var sum Quantity
	for _, r := range h.reservations {
		if r.team == team {
			sum = sum.Add(r.quantity())
		}
	}
	return sum
}

// storeReservations writes the target reservations. A write that reduces a reservation is conditional on the epoch of
// the leader that allowed the reduction: a later leader may already have read the stored reservations and be placing
// tasks according to them.
func (h *Holder) storeReservations(now clock.Instant) []HolderEffect {
	record, err := NewReservationRecord(h.modRevision, h.targetReservations())
	if err != nil {
		h.discardState(now)
		return nil
	}
	conditions := []kvstore.Condition{
		{Key: HolderKey(h.node), ModRevision: h.modRevision},
		{Key: ReservationKey(h.node), ModRevision: h.recordRevision},
	}
	reducing := false
	for _, r := range h.reservations {
		reducing = reducing || r.targetTasks < r.storedTasks
		r.storedTasks, r.inFlightTasks = max(r.storedTasks, r.targetTasks), r.targetTasks
	}
	if reducing {
		conditions = append(conditions, election.EpochCondition(h.leaderEpoch))
	}
	h.storeInFlight, h.dirty, h.nextStore = true, false, now.Add(minStoreInterval)
	return []HolderEffect{StoreReservations{Key: ReservationKey(h.node), Record: record, Conditions: conditions}}
}

// targetReservations returns the reservations to be stored, sorted by job.
func (h *Holder) targetReservations() []Reservation {
	var all []Reservation
	for _, job := range slices.Sorted(maps.Keys(h.reservations)) {
		r := h.reservations[job]
		if r.targetTasks > 0 {
			all = append(all, Reservation{Job: job, Team: r.team, Tasks: r.targetTasks, TaskDemand: r.taskDemand})
		}
	}
	return all
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
		h.discardState(now)
	case StoreLeaderChanged:
		h.cancelReductions()
		h.dirty = true
	case StoreFailed:
		h.dirty = true
	}
}

// confirmStored records that the write that was in flight has succeeded: each reservation is now stored with the number
// of tasks that the write contained.
func (h *Holder) confirmStored() {
	for job, r := range h.reservations {
		r.storedTasks = r.inFlightTasks
		h.dirty = h.dirty || r.targetTasks != r.storedTasks
		if r.targetTasks == 0 && r.storedTasks == 0 {
			delete(h.reservations, job)
		}
	}
}

// cancelReductions undoes the reductions that are not stored yet, because the leader that allowed them no longer leads,
// or may no longer lead.
func (h *Holder) cancelReductions() {
	for _, r := range h.reservations {
		r.targetTasks = max(r.targetTasks, r.storedTasks)
	}
}

// capReservation lowers the target of a reservation to the number of tasks that the leader says it may still cover.
func (h *Holder) capReservation(in JobCap) {
	r := h.reservations[in.Job]
	if r == nil || in.MaxTasks >= r.targetTasks || in.MaxTasks < 0 {
		return
	}
	r.targetTasks = in.MaxTasks
	h.dirty = true
}
