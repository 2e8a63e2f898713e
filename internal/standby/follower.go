package standby

import (
	"errors"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/kvstore"
)

const (
	// MachineListInterval is the time between two listings of the machines by a standby node.
	MachineListInterval = 15 * time.Second
	// maxMissedSyncs is the maximum age of the last complete sync, in sync intervals, at which
	// a replica still counts as ready.
	maxMissedSyncs = 3
	// fullRetryInterval is the time until the next sync after the records exceeded the size
	// limit of the replica.
	fullRetryInterval = time.Minute
)

// Follower keeps a replica up to date. It is a state machine without I/O: Step returns the reads
// that the caller must carry out. A copy of a Follower is a snapshot, whose Replica and Status may
// be used while the original continues.
type Follower struct {
	syncInterval time.Duration
	replica      *Replica
	leading      bool
	full         bool // the records exceeded the size limit of the replica
	nextSync     clock.Instant
	current      syncProgress

	lastSync   clock.Instant // start of the last complete sync; 0: there was none
	lagRecords int           // see Status.LagRecords
	reloads    int           // see Status.Reloads
	lastErr    error         // see Status.Reason
}

// syncProgress is the progress of one sync, which reads each prefix once.
type syncProgress struct {
	started      clock.Instant
	pendingReads int // prefixes whose read has not completed; 0: no sync is in progress
	failed       bool
	changes      int
	reload       bool // the replica was discarded and must be read again
}

// NewFollower returns a follower that syncs its replica once per interval. The replica holds at
// most maxBytes of keys and values.
func NewFollower(syncInterval time.Duration, maxBytes int) *Follower {
	return &Follower{syncInterval: syncInterval, replica: NewReplica(maxBytes)}
}

// Replica returns the current replica. In every state of the follower, each prefix that the replica
// has read is complete up to the replica's revision of the prefix.
func (f *Follower) Replica() *Replica { return f.replica }

// Step processes one input at now and returns the reads to carry out.
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

// leadershipChanged pauses or resumes the syncs. The replica is kept while this node is the leader;
// when it no longer is, a sync reads the changes made since then.
func (f *Follower) leadershipChanged(now clock.Instant, leading bool) {
	if f.leading && !leading {
		f.nextSync = now
	}
	f.leading = leading
}

// tick starts a sync if one is due and returns its reads.
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
	if needsReload(err) {
		f.replica = NewReplica(f.replica.maxBytes)
		f.current.reload = true
	}
	f.readDone(now, err)
}

// needsReload reports whether an error means that changes can't bring the replica up to date, so
// that all records must be read again.
func needsReload(err error) bool {
	for _, cause := range []error{kvstore.ErrCompacted, ErrOutOfOrder, ErrUnexpectedKey, ErrNotLoaded} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// readDone records the completion of one read of the current sync; err is nil if it succeeded.
func (f *Follower) readDone(now clock.Instant, err error) {
	if err != nil && !f.current.failed {
		f.current.failed, f.lastErr = true, err // later errors of the same sync may only be consequences
	}
	if errors.Is(err, ErrReplicaFull) {
		// A partial replica is of no use for a failover and takes memory.
		f.full = true
		f.replica = NewReplica(f.replica.maxBytes)
		f.nextSync = now.Add(fullRetryInterval)
	}
	f.current.pendingReads--
	if f.current.pendingReads <= 0 {
		f.syncDone()
	}
}

// syncDone ends the current sync, whose reads have all completed.
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
