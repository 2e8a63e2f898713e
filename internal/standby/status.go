package standby

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// State of a follower.
type State int

// States.
const (
	// StateReading: the records are being read for the first time, or anew.
	StateReading State = iota
	// StateLagging: they were read, and the changes since could not be read lately.
	StateLagging
	// StateReady: the replica is complete up to a moment ago.
	StateReady
	// StateLeading: this node leads and follows nobody.
	StateLeading
	// StateFull: the records exceed the replica's bound, so a failover reads them all.
	StateFull
)

// String names the state for logs and operators.
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

// Status is what an operator may know of the replica.
type Status struct {
	State State
	// Reason is why it is not ready; nil if it is, or nothing has gone wrong.
	Reason  error
	Records int
	Bytes   int
	// LagRecords is how many changes the last complete sync found that were not in the
	// replica, and Lag how long ago that sync began.
	LagRecords int
	Lag        time.Duration
	Revision   ident.Revision // up to which all of it is complete; 0: it is not
	Reloads    int            // times that it had to be read anew
}

// Status tells how the replica is at now. It says that it is ready only while it is.
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
