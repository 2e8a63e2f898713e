package election

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// Input is what the machine takes: one of the types below.
type Input interface{ isInput() }

// Inputs. Sent is when the request left, by the steady clock.
type (
	// Tick lets time pass.
	Tick struct{}
	// LeaderKeysRead is what a look at the key found. Stamp 0: no leader.
	LeaderKeysRead struct {
		OK     bool
		Leader LeaderRecord
		Epoch  ident.Epoch
		// Heartbeat is what HeartbeatKey holds. HeartbeatStamp 0: nothing, or it
		// was not read.
		Heartbeat         HeartbeatRecord
		HeartbeatRevision ident.Revision
	}
	// LeaseGranted answers GrantLease.
	LeaseGranted struct {
		OK      bool
		LeaseID ident.LeaseID
		SentAt  clock.Instant
	}
	// LeaderKeyAcquired answers Acquire.
	LeaderKeyAcquired struct {
		Outcome Outcome
		Epoch   ident.Epoch
	}
	// LeaseRenewed answers Renew.
	LeaseRenewed struct {
		LeaseID ident.LeaseID
		Outcome Outcome
		SentAt  clock.Instant
	}
	// LeaderKeyRewritten answers SetToken.
	LeaderKeyRewritten struct {
		PrevEpoch ident.Epoch // of SetToken
		Outcome   Outcome
		Epoch     ident.Epoch
	}
	// LeadershipLost says that a guard on the key has failed.
	LeadershipLost struct{}
	// AdvanceEpoch asks for a higher epoch of the same leader.
	AdvanceEpoch struct{}
	// HeartbeatWritten answers Beat. Gone: Key is no longer what it was under that epoch.
	HeartbeatWritten struct {
		Epoch   ident.Epoch
		Outcome Outcome
		SentAt  clock.Instant
	}
	// ReplicaState says whether this node has a complete replica of the records.
	ReplicaState struct{ Ready bool }
	// Resign asks to give leadership up, to the node Heir if one is named.
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

// Outcomes. Unknown: it may have been executed or may still be.
const (
	OutcomeOK Outcome = iota
	OutcomeRefused
	OutcomeUnknown
	OutcomeGone
)

// Effect is what the machine asks for: one of the types below.
type Effect interface{ isEffect() }

// Effects.
type (
	// ReadLeaderKeys looks at the key.
	ReadLeaderKeys struct{}
	// GrantLease asks for a lease.
	GrantLease struct{ TTL time.Duration }
	// AcquireLeaderKey sets the key if it still has the stamp Prev, and the first heartbeat
	// with it if there is one.
	AcquireLeaderKey struct {
		PrevEpoch ident.Epoch
		Leader    LeaderRecord
		LeaseID   ident.LeaseID
		Heartbeat *HeartbeatRecord
		// ExpectedHeartbeatRevision guards a takeover from a leader that still holds the key: the
		// stamp of its last heartbeat. 0: the key is free, or of this node.
		ExpectedHeartbeatRevision ident.Revision
	}
	// RenewLease extends the lease.
	RenewLease struct{ LeaseID ident.LeaseID }
	// RewriteLeaderKey sets the key again, guarded by its own stamp; a heartbeat goes with
	// it if there is one.
	RewriteLeaderKey struct {
		PrevEpoch ident.Epoch
		Leader    LeaderRecord
		LeaseID   ident.LeaseID
		Heartbeat *HeartbeatRecord
	}
	// WriteHeartbeat writes a heartbeat if the key still has the stamp Epoch.
	WriteHeartbeat struct {
		Epoch     ident.Epoch
		Heartbeat HeartbeatRecord
	}
	// TransferLeadership sets the key to another node's name, guarded by its own stamp
	// and bound to the same lease. That node takes it for a key of its own and
	// acquires it at once; should it not, the key ends with the lease.
	TransferLeadership struct {
		PrevEpoch  ident.Epoch
		Transferee LeaderRecord
		LeaseID    ident.LeaseID
	}
	// RevokeLease ends the lease.
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
