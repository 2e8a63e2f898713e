package standby

import (
	"errors"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// MachineListInterval is the pause between two lists of the machines that a standby
// reads.
const MachineListInterval = 15 * time.Second

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
	// StateFull: the records exceed the replica's bound, so a takeover reads them all.
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

// Input is what the follower takes: one of the types below.
type Input interface{ input() }

// Inputs.
type (
	// Tick lets time pass.
	Tick struct{}
	// ListDone answers List.
	ListDone struct {
		Prefix   string
		Err      error
		Items    []kvstore.KeyValue
		Revision ident.Revision
	}
	// WatchDone answers Watch.
	WatchDone struct {
		Prefix   string
		Err      error
		Changes  []kvstore.WatchEvent
		Revision ident.Revision
	}
	// LeadershipChanged says whether this node leads.
	LeadershipChanged struct{ Leading bool }
)

func (Tick) input()              {}
func (ListDone) input()          {}
func (WatchDone) input()         {}
func (LeadershipChanged) input() {}

// Effect is what the follower asks for: one of the types below.
type Effect interface{ effect() }

// Effects.
type (
	// List reads all keys with the prefix.
	List struct{ Prefix string }
	// Watch reads the changes of the prefix since a revision, without waiting.
	Watch struct {
		Prefix string
		Since  ident.Revision
	}
)

func (List) effect()  {}
func (Watch) effect() {}

// Options are the settings of a follower.
type Options struct {
	SyncInterval time.Duration // between two looks at the changes
}

// maxMissedSyncs is how many intervals without a whole look at the changes a replica may
// be and still count as ready.
const maxMissedSyncs = 3

// fullRetryInterval is how long records that exceed the bound are not read again.
const fullRetryInterval = time.Minute

// Follower keeps a replica up to date. It is a pure state machine.
type Follower struct {
	options        Options
	replica        *Replica
	leading        bool
	full           bool
	syncing        bool
	nextSync       clock.Instant
	pendingReads   int // prefixes of the present look that are not answered yet
	syncFailed     bool
	lastSync       clock.Instant // when the last whole look began; 0: never
	syncStarted    clock.Instant // when the present look began
	appliedChanges int           // changes that the present look has brought
	lagRecords     int           // changes that the last whole look has brought
	reloading      bool          // the present look has found that the replica is of no use
	reloads        int
	lastErr        error
}

// NewFollower returns a follower whose replica may hold so many bytes.
func NewFollower(times Options, mostBytes int) *Follower {
	return &Follower{options: times, replica: NewReplica(mostBytes)}
}

// Replica is what the follower holds. It is complete up to its revisions, whatever
// the follower's state is.
func (f *Follower) Replica() *Replica { return f.replica }

// Step takes one input at now and returns what to read.
func (f *Follower) Step(now clock.Instant, in Input) []Effect {
	switch in := in.(type) {
	case Tick:
		return f.tick(now)
	case ListDone:
		f.listDone(now, in)
	case WatchDone:
		f.watchDone(now, in)
	case LeadershipChanged:
		f.leadershipChanged(now, in.Leading)
	}
	return nil
}

// leadershipChanged follows the leadership of this node. What it holds stays: once it does not
// lead any more, it reads what has changed since.
func (f *Follower) leadershipChanged(now clock.Instant, on bool) {
	if f.leading && !on {
		f.nextSync = now
	}
	f.leading = on
}

func (f *Follower) tick(now clock.Instant) []Effect {
	if f.leading || f.syncing || now.Before(f.nextSync) {
		return nil
	}
	f.syncing, f.syncFailed, f.syncStarted, f.appliedChanges = true, false, now, 0
	f.nextSync, f.pendingReads = now.Add(f.options.SyncInterval), len(Prefixes)
	effects := make([]Effect, 0, len(Prefixes))
	for _, prefix := range Prefixes {
		if since := f.replica.Revision(prefix); since != 0 {
			effects = append(effects, Watch{Prefix: prefix, Since: since})
		} else {
			effects = append(effects, List{Prefix: prefix})
		}
	}
	return effects
}

func (f *Follower) listDone(now clock.Instant, in ListDone) {
	if in.Err == nil {
		var replica *Replica
		if replica, in.Err = f.replica.Load(in.Prefix, in.Items, in.Revision); in.Err == nil {
			f.replica = replica
		}
	}
	f.readDone(now, in.Err)
}

func (f *Follower) watchDone(now clock.Instant, in WatchDone) {
	if in.Err == nil {
		var replica *Replica
		if replica, in.Err = f.replica.Apply(in.Prefix, in.Changes, in.Revision); in.Err == nil {
			f.replica = replica
			f.appliedChanges += len(in.Changes)
		}
	}
	if mustReload(in.Err) {
		f.replica = NewReplica(f.replica.maxBytes)
		f.reloading = true
	}
	f.readDone(now, in.Err)
}

// mustReload tells whether an error means that the replica can't be brought up to
// date by changes.
func mustReload(err error) bool {
	for _, cause := range []error{kvstore.ErrCompacted, ErrOutOfOrder, ErrUnexpectedKey, ErrNotLoaded} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// readDone takes in that one of the reads of the present look is over.
func (f *Follower) readDone(now clock.Instant, err error) {
	if err != nil && !f.syncFailed {
		f.syncFailed, f.lastErr = true, err // the others may follow from it
	}
	if errors.Is(err, ErrReplicaFull) {
		// Nothing of it is kept: it is of no use, and takes memory.
		f.full = true
		f.replica = NewReplica(f.replica.maxBytes)
		f.nextSync = now.Add(fullRetryInterval)
	}
	if f.pendingReads--; f.pendingReads > 0 {
		return
	}
	f.syncing = false
	if f.reloading {
		f.reloading = false
		f.reloads++
	}
	if f.syncFailed || !f.replica.Complete() {
		return
	}
	f.lastSync, f.lagRecords, f.lastErr, f.full = f.syncStarted, f.appliedChanges, nil, false
}

// Status is what an operator may know of the replica.
type Status struct {
	State State
	// Reason is why it is not ready; nil if it is, or nothing has gone wrong.
	Reason  error
	Records int
	Bytes   int
	// LagRecords is how many changes the last whole look found that were not in the
	// replica, and Lag how long ago that look began.
	LagRecords int
	Lag        time.Duration
	Revision   ident.Revision // up to which all of it is complete; 0: it is not
	Reloads    int            // times that it had to be read anew
}

// Status tells how the replica is at now. It says that it is ready only while it is.
func (f *Follower) Status(now clock.Instant) Status {
	s := Status{State: f.state(now), Reason: f.lastErr, Records: f.replica.Len(), Bytes: f.replica.Bytes(), LagRecords: f.lagRecords, Reloads: f.reloads}
	if f.lastSync != 0 {
		s.Lag = now.Sub(f.lastSync)
	}
	if f.replica.Complete() {
		s.Revision = f.replica.Revision(Prefixes[0])
		for _, prefix := range Prefixes {
			s.Revision = min(s.Revision, f.replica.Revision(prefix))
		}
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
	case now.Sub(f.lastSync) > maxMissedSyncs*f.options.SyncInterval:
		return StateLagging
	}
	return StateReady
}
