package quota

import (
	"slices"

	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// HolderInput is an input of a holder: one of the types below.
type HolderInput interface{ holderInput() }

// Inputs of a holder.
type (
	// Tick makes the holder do the work that is due.
	Tick struct{}
	// JobSubmitted reports a job that has just been stored by this node, and by no other.
	JobSubmitted struct {
		Job        ident.JobID
		Team       ident.Team
		Tasks      int
		TaskDemand Quantity
		Gang       bool // the job is admitted as a whole or not at all
	}
	// RegistrationDone reports the result of Register. ModRevision is the revision of the holder key, or 0 if the
	// registration failed.
	RegistrationDone struct{ ModRevision ident.Revision }
	// StoreDone reports the result of StoreReservations.
	StoreDone struct {
		Outcome     StoreOutcome
		ModRevision ident.Revision // of the reservation record, if the write succeeded
	}
	// ResponseReceived reports the response to SendRequest. Response is nil if none arrived.
	ResponseReceived struct{ Response *AllocationResponse }
)

func (Tick) holderInput()             {}
func (JobSubmitted) holderInput()     {}
func (RegistrationDone) holderInput() {}
func (StoreDone) holderInput()        {}
func (ResponseReceived) holderInput() {}

// StoreOutcome is the outcome of a write of the reservations.
type StoreOutcome int

// Outcomes of StoreReservations.
const (
	StoreSucceeded StoreOutcome = iota
	// StoreFailed means that the write was certainly not executed; the holder retries it.
	StoreFailed
	// StoreFenced means that the holder key has changed or is gone. The holder's allocations and reservations are
	// void.
	StoreFenced
	// StoreLeaderChanged means that the leader that allowed a reduction does not lead any more.
	StoreLeaderChanged
)

// HolderEffect is an action that a holder requests from its caller: one of the types below.
type HolderEffect interface{ holderEffect() }

// Effects of a holder.
type (
	// Register writes the holder key. The key's new revision identifies the new incarnation of the holder.
	Register struct{ Node string }
	// StoreReservations writes the reservations, subject to the conditions. If the service does not answer, the
	// caller determines the outcome before it reports StoreDone.
	StoreReservations struct {
		Key        string
		Record     *ReservationRecord
		Conditions []kvstore.Condition // the first is on the holder key, the second on Key
	}
	// SendRequest sends a request to the leader.
	SendRequest struct{ Request AllocationRequest }
)

func (Register) holderEffect()          {}
func (StoreReservations) holderEffect() {}
func (SendRequest) holderEffect()       {}

// Txn returns the transaction that writes the holder key, provided that the key still has the revision (0: does not
// exist).
func (e Register) Txn(revision ident.Revision) kvstore.Txn {
	key := HolderKey(e.Node)
	return kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, ModRevision: revision}},
		Operations: []kvstore.Operation{{SetKey: key, Value: HolderRecord(e)}},
	}
}

// Txn returns the transaction that writes the reservations. Its conditions include the revision of the record that it
// replaces, so it is applied at most once.
func (e StoreReservations) Txn() kvstore.Txn {
	return kvstore.Txn{
		Conditions: e.Conditions,
		Operations: []kvstore.Operation{{SetKey: e.Key, Value: e.Record}},
	}
}

// OutcomeOf returns the outcome that follows from the failed conditions of a conflict.
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
