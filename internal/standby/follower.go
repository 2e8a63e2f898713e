package standby

import (
	"errors"
	"time"

	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// MachineListInterval is the pause between two lists of the machines that a standby
// reads.
const MachineListInterval = 15 * time.Second

// State of a follower.
type State int

// States.
const (
	// Reading: the records are being read for the first time, or anew.
	Reading State = iota
	// Lagging: they were read, and the changes since could not be read lately.
	Lagging
	// Ready: the replica is complete up to a moment ago.
	Ready
	// Leading: this node leads and follows nobody.
	Leading
	// Full: the records exceed the replica's bound, so a takeover reads them all.
	Full
)

// String names the state for logs and operators.
func (s State) String() string {
	switch s {
	case Reading:
		return "reading"
	case Lagging:
		return "lagging"
	case Ready:
		return "ready"
	case Leading:
		return "leading"
	case Full:
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
	// Listed answers List.
	Listed struct {
		Prefix   string
		Err      error
		Items    []statestore.KeyValue
		Revision unit.Revision
	}
	// Changed answers Watch.
	Changed struct {
		Prefix   string
		Err      error
		Log      []statestore.WatchEvent
		Revision unit.Revision
	}
	// Led says whether this node leads.
	Led struct{ On bool }
)

func (Tick) input()    {}
func (Listed) input()  {}
func (Changed) input() {}
func (Led) input()     {}

// Effect is what the follower asks for: one of the types below.
type Effect interface{ effect() }

// Effects.
type (
	// List reads all keys with the prefix.
	List struct{ Prefix string }
	// Watch reads the changes of the prefix since a revision, without waiting.
	Watch struct {
		Prefix string
		Since  unit.Revision
	}
)

func (List) effect()  {}
func (Watch) effect() {}

// Times are the settings of a follower.
type Times struct {
	Sync time.Duration // between two looks at the changes
}

// lagAfter is how many intervals without a whole look at the changes a replica may
// be and still count as ready.
const lagAfter = 3

// retryFull is how long records that exceed the bound are not read again.
const retryFull = time.Minute

// Follower keeps a replica up to date. It is a pure state machine.
type Follower struct {
	times   Times
	replica *Replica
	leading bool
	full    bool
	busy    bool
	next    unit.Instant
	pending int // prefixes of the present look that are not answered yet
	failed  bool
	synced  unit.Instant // when the last whole look began; 0: never
	begun   unit.Instant // when the present look began
	applied int          // changes that the present look has brought
	behind  int          // changes that the last whole look has brought
	reread  bool         // the present look has found that the replica is of no use
	rereads int
	reason  error
}

// NewFollower returns a follower whose replica may hold so many bytes.
func NewFollower(times Times, mostBytes int) *Follower {
	return &Follower{times: times, replica: NewReplica(mostBytes)}
}

// Replica is what the follower holds. It is complete up to its revisions, whatever
// the follower's state is.
func (f *Follower) Replica() *Replica { return f.replica }

// Step takes one input at now and returns what to read.
func (f *Follower) Step(now unit.Instant, in Input) []Effect {
	switch in := in.(type) {
	case Tick:
		return f.tick(now)
	case Listed:
		f.listed(now, in)
	case Changed:
		f.changed(now, in)
	case Led:
		f.led(now, in.On)
	}
	return nil
}

// led follows the leadership of this node. What it holds stays: once it does not
// lead any more, it reads what has changed since.
func (f *Follower) led(now unit.Instant, on bool) {
	if f.leading && !on {
		f.next = now
	}
	f.leading = on
}

func (f *Follower) tick(now unit.Instant) []Effect {
	if f.leading || f.busy || now.Before(f.next) {
		return nil
	}
	f.busy, f.failed, f.begun, f.applied = true, false, now, 0
	f.next, f.pending = now.Add(f.times.Sync), len(Prefixes)
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

func (f *Follower) listed(now unit.Instant, in Listed) {
	if in.Err == nil {
		var replica *Replica
		if replica, in.Err = f.replica.Load(in.Prefix, in.Items, in.Revision); in.Err == nil {
			f.replica = replica
		}
	}
	f.answered(now, in.Err)
}

func (f *Follower) changed(now unit.Instant, in Changed) {
	if in.Err == nil {
		var replica *Replica
		if replica, in.Err = f.replica.Apply(in.Prefix, in.Log, in.Revision); in.Err == nil {
			f.replica = replica
			f.applied += len(in.Log)
		}
	}
	if mustReread(in.Err) {
		f.replica = NewReplica(f.replica.most)
		f.reread = true
	}
	f.answered(now, in.Err)
}

// mustReread tells whether an error means that the replica can't be brought up to
// date by changes.
func mustReread(err error) bool {
	for _, cause := range []error{statestore.ErrCompacted, ErrOutOfOrder, ErrForeignKey, ErrUnread} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// answered takes in that one of the reads of the present look is over.
func (f *Follower) answered(now unit.Instant, err error) {
	if err != nil && !f.failed {
		f.failed, f.reason = true, err // the others may follow from it
	}
	if errors.Is(err, ErrTooLarge) {
		// Nothing of it is kept: it is of no use, and takes memory.
		f.full = true
		f.replica = NewReplica(f.replica.most)
		f.next = now.Add(retryFull)
	}
	if f.pending--; f.pending > 0 {
		return
	}
	f.busy = false
	if f.reread {
		f.reread = false
		f.rereads++
	}
	if f.failed || !f.replica.Complete() {
		return
	}
	f.synced, f.behind, f.reason, f.full = f.begun, f.applied, nil, false
}

// Status is what an operator may know of the replica.
type Status struct {
	State State
	// Reason is why it is not ready; nil if it is, or nothing has gone wrong.
	Reason  error
	Records int
	Bytes   int
	// Behind is how many changes the last whole look found that were not in the
	// replica, and Lag how long ago that look began.
	Behind   int
	Lag      time.Duration
	Revision unit.Revision // up to which all of it is complete; 0: it is not
	Rereads  int           // times that it had to be read anew
}

// Status tells how the replica is at now. It says that it is ready only while it is.
func (f *Follower) Status(now unit.Instant) Status {
	s := Status{State: f.state(now), Reason: f.reason, Records: f.replica.Len(), Bytes: f.replica.Bytes(), Behind: f.behind, Rereads: f.rereads}
	if f.synced != 0 {
		s.Lag = now.Sub(f.synced)
	}
	if f.replica.Complete() {
		s.Revision = f.replica.Revision(Prefixes[0])
		for _, prefix := range Prefixes {
			s.Revision = min(s.Revision, f.replica.Revision(prefix))
		}
	}
	return s
}

func (f *Follower) state(now unit.Instant) State {
	switch {
	case f.leading:
		return Leading
	case f.full:
		return Full
	case f.synced == 0 || !f.replica.Complete():
		return Reading
	case now.Sub(f.synced) > lagAfter*f.times.Sync:
		return Lagging
	}
	return Ready
}
