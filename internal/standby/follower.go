package standby

import (
	"errors"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/kvstore"
)

const (
	// MachineListInterval is the pause between two lists of the machines that a standby
	// reads.
	MachineListInterval = 15 * time.Second
	// maxMissedSyncs is how many intervals without a complete sync a replica may be and
	// still count as ready.
	maxMissedSyncs = 3
	// fullRetryInterval is how long records that exceed the bound are not read again.
	fullRetryInterval = time.Minute
)

// Follower keeps a replica up to date. It is a pure state machine. A copy of it is a
// snapshot, whose Replica and Status may be read while the follower goes on.
type Follower struct {
	syncInterval time.Duration
	replica      *Replica
	leading      bool
	full         bool // the records exceeded the bound of the replica
	nextSync     clock.Instant
	current      syncProgress

	lastSync   clock.Instant // when the last complete sync began; 0: never
	lagRecords int           // changes that the last complete sync has brought
	reloads    int
	lastErr    error // since the last complete sync
}

// syncProgress is one sync: a read of each prefix.
type syncProgress struct {
	started      clock.Instant
	pendingReads int // prefixes whose read is not done yet; 0: no sync is under way
	failed       bool
	changes      int
	reload       bool // the replica was found to be of no use
}

// NewFollower returns a follower that reads the changes at the interval, and whose
// replica may hold maxBytes.
func NewFollower(syncInterval time.Duration, maxBytes int) *Follower {
	return &Follower{syncInterval: syncInterval, replica: NewReplica(maxBytes)}
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

// leadershipChanged keeps what the follower holds: once this node does not lead any
// more, it reads what has changed since.
func (f *Follower) leadershipChanged(now clock.Instant, leading bool) {
	if f.leading && !leading {
		f.nextSync = now
	}
	f.leading = leading
}

func (f *Follower) tick(now clock.Instant) []Effect {
	if f.leading || f.current.pendingReads > 0 || now.Before(f.nextSync) {
		return nil
	}
	f.nextSync = now.Add(f.syncInterval)
	f.current = syncProgress{started: now, pendingReads: len(Prefixes)}
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
	err := in.Err
	if err == nil {
		f.replica, err = f.replica.Load(in.Prefix, in.Items, in.Revision)
	}
	f.readDone(now, err)
}

func (f *Follower) watchDone(now clock.Instant, in WatchDone) {
	err := in.Err
	if err == nil {
		f.replica, err = f.replica.Apply(in.Prefix, in.Changes, in.Revision)
	}
	if err == nil {
		f.current.changes += len(in.Changes)
	}
	if mustReload(err) {
		f.replica = NewReplica(f.replica.maxBytes)
		f.current.reload = true
	}
	f.readDone(now, err)
}

// mustReload tells whether an error means that the replica can't be brought up to date
// by changes.
func mustReload(err error) bool {
	for _, cause := range []error{kvstore.ErrCompacted, ErrOutOfOrder, ErrUnexpectedKey, ErrNotLoaded} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// readDone takes in that one of the reads of the current sync is done.
func (f *Follower) readDone(now clock.Instant, err error) {
	if err != nil && !f.current.failed {
		f.current.failed, f.lastErr = true, err // the errors of others may follow from it
	}
	if errors.Is(err, ErrReplicaFull) {
		// Nothing of it is kept: it is of no use, and takes memory.
		f.full = true
		f.replica = NewReplica(f.replica.maxBytes)
		f.nextSync = now.Add(fullRetryInterval)
	}
	f.current.pendingReads--
	if f.current.pendingReads <= 0 {
		f.syncDone()
	}
}

// syncDone takes in that all reads of the current sync are done.
func (f *Follower) syncDone() {
	if f.current.reload {
		f.reloads++
	}
	if f.current.failed || !f.replica.Complete() {
		return
	}
	f.lastSync, f.lagRecords = f.current.started, f.current.changes
	f.lastErr, f.full = nil, false
}
