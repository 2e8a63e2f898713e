package election

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// Input is an input of Elector.Step: one of the types below.
type Input interface{ isInput() }

// Inputs. SentAt is the time at which this node sent the request.
type (
	// Tick triggers the actions that are due at the time of the step.
	Tick struct{}
	// LeaderKeysRead is the response to ReadLeaderKeys.
	LeaderKeysRead struct {
		OK     bool
		Leader LeaderRecord
		Epoch  ident.Epoch // epoch of the leader; 0: there is no leader
		// Heartbeat is the value of HeartbeatKey. If HeartbeatRevision is 0, there is no heartbeat or it was not read.
		Heartbeat         HeartbeatRecord
		HeartbeatRevision ident.Revision
	}
	// LeaseGranted is the response to GrantLease.
	LeaseGranted struct {
		OK      bool
		LeaseID ident.LeaseID
		SentAt  clock.Instant
	}
	// LeaderKeyAcquired is the response to AcquireLeaderKey.
	LeaderKeyAcquired struct {
		Outcome Outcome
		Epoch   ident.Epoch
	}
	// LeaseRenewed is the response to RenewLease.
	LeaseRenewed struct {
		LeaseID ident.LeaseID
		Outcome Outcome
		SentAt  clock.Instant
	}
	// LeaderKeyRewritten is the response to RewriteLeaderKey.
	LeaderKeyRewritten struct {
		PrevEpoch ident.Epoch // PrevEpoch of the request
		Outcome   Outcome
		Epoch     ident.Epoch
	}
	// LeadershipLost reports that a transaction failed because its condition on the leader key was not met.
	LeadershipLost struct{}
	// AdvanceEpoch requests a higher epoch for this node, which remains the leader.
	AdvanceEpoch struct{}
	// HeartbeatWritten is the response to WriteHeartbeat. OutcomeGone means that the leader key has a different
	// epoch.
	HeartbeatWritten struct {
		Epoch   ident.Epoch // Epoch of the request
		Outcome Outcome
		SentAt  clock.Instant
	}
	// ReplicaState reports whether this node has a complete replica of the records.
	ReplicaState struct{ Ready bool }
	// Resign requests that this node resign its leadership and, if Transferee is not empty, transfer it to that node.
	// This node does not campaign for an absent leader key during Cooldown.
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

// Outcome is the outcome of a request to the state service.
type Outcome int

// Outcomes.
const (
	OutcomeOK Outcome = iota
	// OutcomeRefused means that the request was not executed and never will be.
	OutcomeRefused
	// OutcomeUnknown means that the request may have been executed, or may be executed later.
	OutcomeUnknown
	// OutcomeGone means that the lease has ended or that the leader key has a different epoch.
	OutcomeGone
)

// Effect is a request that Elector.Step returns for the caller to send: one of the types below.
type Effect interface{ isEffect() }

// Effects: requests to the state service.
type (
	// ReadLeaderKeys reads LeaderKey, and HeartbeatKey if heartbeats are enabled.
	ReadLeaderKeys struct{}
	// GrantLease requests a lease.
	GrantLease struct{ TTL time.Duration }
	// AcquireLeaderKey sets the leader key and, unless Heartbeat is nil, the first heartbeat, on condition that the
	// leader key still has the epoch PrevEpoch.
	AcquireLeaderKey struct {
		PrevEpoch ident.Epoch // 0: the key does not exist
		Leader    LeaderRecord
		LeaseID   ident.LeaseID
		Heartbeat *HeartbeatRecord
		// ExpectedHeartbeatRevision makes a failover from a leader that still holds the key conditional on the last
		// heartbeat read from that leader. It is 0 if the key is absent or names this node.
		ExpectedHeartbeatRevision ident.Revision
	}
	// RenewLease extends the lease.
	RenewLease struct{ LeaseID ident.LeaseID }
	// RewriteLeaderKey sets the leader key again and, unless Heartbeat is nil, a heartbeat, on condition that the
	// leader key still has the epoch PrevEpoch. The new revision of the key is the next epoch.
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
	// TransferLeadership sets the leader key to the name of another node, bound to the same lease, on condition that
	// the key still has the epoch PrevEpoch. That node treats the key as its own and acquires it as soon as it reads
	// it. If it does not, the key is deleted when the lease expires.
	TransferLeadership struct {
		PrevEpoch  ident.Epoch
		Transferee LeaderRecord
		LeaseID    ident.LeaseID
	}
	// RevokeLease ends the lease, which deletes the leader key that is bound to it.
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
