package quota

import (
	"slices"

	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
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
	// RegistrationDone completes Register. ModRevision 0: it failed.
	RegistrationDone struct{ ModRevision ident.Revision }
	// StoreDone completes StoreReservations.
	StoreDone struct {
		Outcome     StoreOutcome
		ModRevision ident.Revision // of the reservations, if it succeeded
	}
	// ResponseReceived completes SendRequest; nil: no response came.
	ResponseReceived struct{ Response *AllocationResponse }
)

func (Tick) holderInput()             {}
func (JobSubmitted) holderInput()     {}
func (RegistrationDone) holderInput() {}
func (StoreDone) holderInput()        {}
func (ResponseReceived) holderInput() {}

// StoreOutcome is what became of a change of the reservations.
type StoreOutcome int

// Outcomes of StoreReservations.
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

// HolderEffect is what a holder wants done: one of the types below.
type HolderEffect interface{ holderEffect() }

// Effects of a holder.
type (
	// Register sets the holder key anew.
	Register struct{ Node string }
	// StoreReservations writes the reservations under the conditions. Whoever carries
	// it out finds out the outcome if the service does not answer.
	StoreReservations struct {
		Key        string
		Record     *ReservationRecord
		Conditions []kvstore.Condition // the first is of the holder key, the second of Key
	}
	// SendRequest sends a request to the leader.
	SendRequest struct{ Request AllocationRequest }
)

func (Register) holderEffect()          {}
func (StoreReservations) holderEffect() {}
func (SendRequest) holderEffect()       {}

// Txn sets the holder key anew, provided that it still has the revision (0: is absent).
func (e Register) Txn(revision ident.Revision) kvstore.Txn {
	key := HolderKey(e.Node)
	return kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, ModRevision: revision}},
		Operations: []kvstore.Operation{{SetKey: key, Value: HolderRecord(e)}},
	}
}

// Txn writes the reservations. Its conditions name the revisions that it changes, so it
// is applied at most once.
func (e StoreReservations) Txn() kvstore.Txn {
	return kvstore.Txn{
		Conditions: e.Conditions,
		Operations: []kvstore.Operation{{SetKey: e.Key, Value: e.Record}},
	}
}

// OutcomeOf tells from the conditions that failed what a conflict means.
func (e StoreReservations) OutcomeOf(conflict *kvstore.ConflictError) StoreOutcome {
	holderKey := e.Conditions[0].Key
	switch {
	case slices.Contains(conflict.FailedKeys, holderKey):
		return StoreFenced
	case slices.Contains(conflict.FailedKeys, election.LeaderKey):
		return StoreLeaderChanged
	}
	return StoreFailed
}
