package standby

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// State is the state of a follower.
type State int

// The states of a follower.
const (
	// StateReading: the replica is incomplete, since the records are being read for the first
	// time or again.
	StateReading State = iota
	// StateLagging: the replica is complete, but the last complete sync began more than
	// maxMissedSyncs intervals ago.
	StateLagging
	// StateReady: the replica is complete, and the last complete sync is recent.
	StateReady
	// StateLeading: this node is the leader, so it does not sync its replica.
	StateLeading
	// StateFull: the records exceed the size limit of the replica, so a failover must read all
	// of them.
	StateFull
)

// String returns the name of the state for logs and status output.
func (s State) String() string {
	switch s {
	case StateReading:
		return "reading"
	case StateLagging:
		return "lagging"
	case StateReady:
		return "ready"
	case StateLeading:
		return "leading"
	case StateFull:
		return "full"
	}
	return "unknown"
}

// Status describes the follower and its replica for operators and metrics.
type Status struct {
	State State
	// Reason is the first error of the last failed sync; nil if no sync has failed since the
	// last complete one.
	Reason  error
	Records int
	Bytes   int
	// LagRecords is the number of changes that the last complete sync found and the replica
	// lacked; Lag is the time since the start of that sync.
	LagRecords int
	Lag        time.Duration
	Revision   ident.Revision // up to which the whole replica is complete; 0: it is incomplete
	Reloads    int            // how often the replica was discarded to be read again
}

// Status returns the status at now. The state depends on the time since the last complete sync, so
// a follower that has stopped syncing does not stay ready.
func (f *Follower) Status(now clock.Instant) Status {
	s := Status{
		State:      f.state(now),
		Reason:     f.lastErr,
		Records:    f.replica.Len(),
		Bytes:      f.replica.Bytes(),
		LagRecords: f.lagRecords,
		Revision:   f.replica.MinRevision(),
		Reloads:    f.reloads,
	}
	if f.lastSync != 0 {
		s.Lag = now.Sub(f.lastSync)
	}
	return s
}

// state returns the state at now.
func (f *Follower) state(now clock.Instant) State {
	switch {
	case f.leading:
		return StateLeading
	case f.full:
		return StateFull
	case f.lastSync == 0 || !f.replica.Complete():
		return StateReading
	case now.Sub(f.lastSync) > maxMissedSyncs*f.syncInterval:
		return StateLagging
	}
	return StateReady
}
