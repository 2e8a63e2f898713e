package quota

import (
	"maps"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// reservationState is a reservation as the holder knows it.
type reservationState struct {
	team          ident.Team
	taskDemand    Quantity
	targetTasks   int // that are to be stored
	storedTasks   int // that are, or may be
	inFlightTasks int // in the change under way
}

// quantity is what the reservation takes: the larger of what is stored and what is to
// be stored.
func (r *reservationState) quantity() Quantity {
	return r.taskDemand.Mul(max(r.targetTasks, r.storedTasks))
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

// storeReservations writes the reservations as they are to be. A reduction is stored
// only under the epoch of the leader that has allowed it: a later one may have read the
// stored ones, and places by them.
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

// targetReservations lists the reservations that are to be stored, by job.
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

// confirmStored takes in that the reservations are stored as they were when they were
// sent.
func (h *Holder) confirmStored() {
	for job, r := range h.reservations {
		r.storedTasks = r.inFlightTasks
		h.dirty = h.dirty || r.targetTasks != r.storedTasks
		if r.targetTasks == 0 && r.storedTasks == 0 {
			delete(h.reservations, job)
		}
	}
}

// cancelReductions keeps what was to be freed and is not yet: the leader that has
// allowed it does not lead now, or may not.
func (h *Holder) cancelReductions() {
	for _, r := range h.reservations {
		r.targetTasks = max(r.targetTasks, r.storedTasks)
	}
}

// capReservation frees what a reservation need not cover any more.
func (h *Holder) capReservation(in JobCap) {
	r := h.reservations[in.Job]
	if r == nil || in.MaxTasks >= r.targetTasks || in.MaxTasks < 0 {
		return
	}
	r.targetTasks = in.MaxTasks
	h.dirty = true
}
