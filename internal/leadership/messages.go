package leadership

import (
	"time"

	"badgerbay/internal/unit"
)

// Input is what the machine takes: one of the types below.
type Input interface{ leadership() }

// Inputs. Sent is when the request left, by the steady clock.
type (
	// Tick lets time pass.
	Tick struct{}
	// KeyRead is what a look at the key found. Stamp 0: no leader.
	KeyRead struct {
		OK     bool
		Holder Holder
		Stamp  unit.Epoch
		// Heartbeat is what HeartbeatKey holds. HeartbeatStamp 0: nothing, or it
		// was not read.
		Heartbeat      Heartbeat
		HeartbeatStamp unit.Version
	}
	// Granted answers GrantLease.
	Granted struct {
		OK     bool
		Tenure unit.Tenure
		Sent   unit.Instant
	}
	// Acquired answers Acquire.
	Acquired struct {
		Outcome Outcome
		Epoch   unit.Epoch
	}
	// Renewed answers Renew.
	Renewed struct {
		Tenure  unit.Tenure
		Outcome Outcome
		Sent    unit.Instant
	}
	// TokenSet answers SetToken.
	TokenSet struct {
		Prev    unit.Epoch // of SetToken
		Outcome Outcome
		Epoch   unit.Epoch
	}
	// Deposed says that a guard on the key has failed.
	Deposed struct{}
	// RaiseToken asks for a higher epoch of the same leader.
	RaiseToken struct{}
	// Beaten answers Beat. Gone: Key is no longer what it was under that epoch.
	Beaten struct {
		Epoch   unit.Epoch
		Outcome Outcome
		Sent    unit.Instant
	}
	// ReplicaState says whether this node has a complete replica of the records.
	ReplicaState struct{ Ready bool }
	// Resign asks to give leadership up, to the node Heir if one is named.
	Resign struct {
		Cooldown time.Duration
		Heir     string
	}
)

func (Tick) leadership()         {}
func (KeyRead) leadership()      {}
func (Granted) leadership()      {}
func (Acquired) leadership()     {}
func (Renewed) leadership()      {}
func (TokenSet) leadership()     {}
func (Deposed) leadership()      {}
func (RaiseToken) leadership()   {}
func (Resign) leadership()       {}
func (Beaten) leadership()       {}
func (ReplicaState) leadership() {}

// Outcome of a request to the state service.
type Outcome int

// Outcomes. Unknown: it may have been executed or may still be.
const (
	OK Outcome = iota
	Refused
	Unknown
	Gone
)

// Effect is what the machine asks for: one of the types below.
type Effect interface{ effect() }

// Effects.
type (
	// ReadKey looks at the key.
	ReadKey struct{}
	// GrantLease asks for a lease.
	GrantLease struct{ Life time.Duration }
	// Acquire sets the key if it still has the stamp Prev, and the first heartbeat
	// with it if there is one.
	Acquire struct {
		Prev      unit.Epoch
		Holder    Holder
		Tenure    unit.Tenure
		Heartbeat *Heartbeat
		// Silent guards a takeover from a leader that still holds the key: the
		// stamp of its last heartbeat. 0: the key is free, or of this node.
		Silent unit.Version
	}
	// Renew extends the lease.
	Renew struct{ Tenure unit.Tenure }
	// SetToken sets the key again, guarded by its own stamp; a heartbeat goes with
	// it if there is one.
	SetToken struct {
		Prev      unit.Epoch
		Holder    Holder
		Tenure    unit.Tenure
		Heartbeat *Heartbeat
	}
	// Beat writes a heartbeat if the key still has the stamp Epoch.
	Beat struct {
		Epoch     unit.Epoch
		Heartbeat Heartbeat
	}
	// HandOver sets the key to another node's name, guarded by its own stamp
	// and bound to the same lease. That node takes it for a key of its own and
	// acquires it at once; should it not, the key ends with the lease.
	HandOver struct {
		Prev   unit.Epoch
		Holder Holder
		Tenure unit.Tenure
	}
	// Release ends the lease.
	Release struct{ Tenure unit.Tenure }
)

func (ReadKey) effect()    {}
func (GrantLease) effect() {}
func (Acquire) effect()    {}
func (Renew) effect()      {}
func (SetToken) effect()   {}
func (HandOver) effect()   {}
func (Release) effect()    {}
func (Beat) effect()       {}
