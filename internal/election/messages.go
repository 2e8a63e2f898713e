package election

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// Input is what an Elector takes: one of the types below.
type Input interface{ isInput() }

// Inputs. SentAt is when the request left this node.
type (
	// Tick lets time pass.
	Tick struct{}
	// LeaderKeysRead answers ReadLeaderKeys.
	LeaderKeysRead struct {
		OK     bool
		Leader LeaderRecord
		Epoch  ident.Epoch // of the leader; 0: there is none
		// Heartbeat is the value of HeartbeatKey. HeartbeatRevision 0: there is none, or
		// it was not read.
		Heartbeat         HeartbeatRecord
		HeartbeatRevision ident.Revision
	}
	// LeaseGranted answers GrantLease.
	LeaseGranted struct {
		OK      bool
		LeaseID ident.LeaseID
		SentAt  clock.Instant
	}
	// LeaderKeyAcquired answers AcquireLeaderKey.
	LeaderKeyAcquired struct {
		Outcome Outcome
		Epoch   ident.Epoch
	}
	// LeaseRenewed answers RenewLease.
	LeaseRenewed struct {
		LeaseID ident.LeaseID
		Outcome Outcome
		SentAt  clock.Instant
	}
	// LeaderKeyRewritten answers RewriteLeaderKey.
	LeaderKeyRewritten struct {
		PrevEpoch ident.Epoch // of the request
		Outcome   Outcome
		Epoch     ident.Epoch
	}
	// LeadershipLost says that a condition on the leader key has failed.
	LeadershipLost struct{}
	// AdvanceEpoch asks for a higher epoch of the same leader.
	AdvanceEpoch struct{}
	// HeartbeatWritten answers WriteHeartbeat. OutcomeGone: the leader key has another
	// epoch.
	HeartbeatWritten struct {
		Epoch   ident.Epoch // of the request
		Outcome Outcome
		SentAt  clock.Instant
	}
	// ReplicaState says whether this node has a complete replica of the records.
	ReplicaState struct{ Ready bool }
	// Resign asks to give leadership up, to the node Transferee if one is named. The node
	// does not campaign for a free key again during Cooldown.
	Resign struct {
		Cooldown   time.Duration
		Transferee string
	}
)

func (Tick) isInput()               {}
func (LeaderKeysRead) isInput()     {}
func (LeaseGranted) isInput()       {}
func (LeaderKeyAcquired) isInput()  {}
func (LeaseRenewed) isInput()       {}
func (LeaderKeyRewritten) isInput() {}
func (LeadershipLost) isInput()     {}
func (AdvanceEpoch) isInput()       {}
func (Resign) isInput()             {}
func (HeartbeatWritten) isInput()   {}
func (ReplicaState) isInput()       {}

// Outcome of a request to the state service.
type Outcome int

// Outcomes.
const (
	OutcomeOK Outcome = iota
	// OutcomeRefused: the request was not executed, and never will be.
	OutcomeRefused
	// OutcomeUnknown: it may have been executed, or may still be.
	OutcomeUnknown
	// OutcomeGone: the lease has ended, or the leader key is another leader's.
	OutcomeGone
)

// Effect is what an Elector asks for: one of the types below.
type Effect interface{ isEffect() }

// Effects: requests to the state service.
type (
	// ReadLeaderKeys reads LeaderKey, and HeartbeatKey if heartbeats are enabled.
	ReadLeaderKeys struct{}
	// GrantLease asks for a lease.
	GrantLease struct{ TTL time.Duration }
	// AcquireLeaderKey sets the leader key if it still has the epoch PrevEpoch, and the
	// first heartbeat with it if there is one.
	AcquireLeaderKey struct {
		PrevEpoch ident.Epoch // 0: the key does not exist
		Leader    LeaderRecord
		LeaseID   ident.LeaseID
		Heartbeat *HeartbeatRecord
		// ExpectedHeartbeatRevision makes a failover from a leader that still holds the
		// key conditional on its last heartbeat. 0: the key is free, or of this node.
		ExpectedHeartbeatRevision ident.Revision
	}
	// RenewLease extends the lease.
	RenewLease struct{ LeaseID ident.LeaseID }
	// RewriteLeaderKey sets the leader key again if it still has the epoch PrevEpoch, and
	// a heartbeat with it if there is one. The key's new revision is the next epoch.
	RewriteLeaderKey struct {
		PrevEpoch ident.Epoch
		Leader    LeaderRecord
		LeaseID   ident.LeaseID
		Heartbeat *HeartbeatRecord
	}
	// WriteHeartbeat writes a heartbeat if the leader key still has the epoch Epoch.
	WriteHeartbeat struct {
		Epoch     ident.Epoch
		Heartbeat HeartbeatRecord
	}
	// TransferLeadership sets the leader key to another node's name if it still has the
	// epoch PrevEpoch, bound to the same lease. That node takes it for a key of its own
	// and acquires it at once; should it not, the key ends with the lease.
	TransferLeadership struct {
		PrevEpoch  ident.Epoch
		Transferee LeaderRecord
		LeaseID    ident.LeaseID
	}
	// RevokeLease ends the lease, and with it the leader key that is bound to it.
	RevokeLease struct{ LeaseID ident.LeaseID }
)

func (ReadLeaderKeys) isEffect()     {}
func (GrantLease) isEffect()         {}
func (AcquireLeaderKey) isEffect()   {}
func (RenewLease) isEffect()         {}
func (RewriteLeaderKey) isEffect()   {}
func (TransferLeadership) isEffect() {}
func (RevokeLease) isEffect()        {}
func (WriteHeartbeat) isEffect()     {}
