package standby

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"badgerbay/internal/clock"
	"badgerbay/internal/fake"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

const (
	testMaxBytes = 1 << 20
	startTime    = clock.Instant(time.Hour)
)

var testOptions = Options{SyncInterval: time.Second}

// put stores a value under a key, without a guard.
func put(t *testing.T, state *fake.KVStore, key string, value any) {
	t.Helper()
	if _, err := state.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// fixture is a follower of a stand-in for the state service.
type fixture struct {
	state    *fake.KVStore
	follower *Follower
	now      clock.Instant
	reads    []string
}

func newFixture(most int) *fixture {
	return &fixture{state: fake.NewKVStore(), follower: NewFollower(testOptions, most), now: startTime}
}

// sync lets the follower look once, a second after the last time.
func (r *fixture) sync() {
	r.now = r.now.Add(time.Second)
	for _, e := range r.follower.Step(r.now, Tick{}) {
		switch e := e.(type) {
		case List:
			r.reads = append(r.reads, "list "+e.Prefix)
			items, revision, err := r.state.List(e.Prefix)
			r.follower.Step(r.now, ListDone{Prefix: e.Prefix, Err: err, Items: items, Revision: revision})
		case Watch:
			r.reads = append(r.reads, "watch "+e.Prefix)
			log, revision, err := r.state.Watch(e.Prefix, e.Since)
			r.follower.Step(r.now, WatchDone{Prefix: e.Prefix, Err: err, Changes: log, Revision: revision})
		}
	}
}

func (r *fixture) followerState() State { return r.follower.Status(r.now).State }

// check compares the replica with what is stored.
func (r *fixture) check(t *testing.T) {
	t.Helper()
	for _, prefix := range Prefixes {
		want, _, _ := r.state.List(prefix)
		if diff := cmp.Diff(want, r.follower.Replica().Items(prefix), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: %s", prefix, diff)
		}
	}
}

// TestReplicaFollows: after each look the replica holds what is stored, whatever was
// set, set again or removed; and older replicas do not change.
func TestReplicaFollows(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	r := newFixture(testMaxBytes)
	var kept *Replica
	var before []kvstore.KeyValue
	for i := range 300 {
		for range rng.IntN(4) {
			key := Prefixes[rng.IntN(len(Prefixes))] + fmt.Sprint(rng.IntN(20))
			if rng.IntN(5) == 0 {
				if _, err := r.state.Commit(kvstore.Txn{Operations: []kvstore.Operation{{DeleteKey: key}}}); err != nil {
					t.Fatal(err)
				}
				continue
			}
			put(t, r.state, key, rng.IntN(1000))
		}
		put(t, r.state, "relay/up/n1", i)
		r.sync()
		r.check(t)
		if i == 100 {
			kept, before = r.follower.Replica(), r.follower.Replica().Items("job/")
		}
	}
	if !cmp.Equal(before, kept.Items("job/")) {
		t.Error("a replica has changed")
	}
	if bytes, want := r.follower.Replica().Bytes(), totalBytes(r.follower.Replica()); bytes != want {
		t.Errorf("counted %d bytes, there are %d", bytes, want)
	}
	if !slices.Contains(r.reads, "list part/") || r.reads[len(r.reads)-1] != "watch part/" || len(r.reads) != 900 {
		t.Errorf("%d reads, the last %v", len(r.reads), r.reads[len(r.reads)-1])
	}
}

func totalBytes(r *Replica) int {
	n := 0
	for _, prefix := range Prefixes {
		for _, item := range r.Items(prefix) {
			n += itemBytes(item)
		}
	}
	return n
}

// TestReadyOnlyWhileUpToDate: a replica is ready after a whole look, and no longer than a
// few intervals after the last.
func TestReadyOnlyWhileUpToDate(t *testing.T) {
	r := newFixture(testMaxBytes)
	if r.followerState() != StateReading {
		t.Errorf("%v before anything was read", r.followerState())
	}
	put(t, r.state, "job/1", 1)
	r.sync()
	if s := r.follower.Status(r.now); s.State != StateReady || s.Records != 1 || s.Revision == 0 {
		t.Errorf("%+v", s)
	}
	r.state.Down = true
	for range 4 {
		r.sync()
	}
	if s := r.follower.Status(r.now); s.State != StateLagging || s.Reason == nil || s.Lag < 4*time.Second {
		t.Errorf("in an outage: %+v", s)
	}
	r.state.Down = false
	r.sync()
	if s := r.follower.Status(r.now); s.State != StateReady || s.Reason != nil {
		t.Errorf("after it: %+v", s)
	}
	r.follower.Step(r.now, LeadershipChanged{Leading: true})
	if r.followerState() != StateLeading || len(r.follower.Step(r.now.Add(time.Minute), Tick{})) != 0 {
		t.Error("it follows itself")
	}
	r.follower.Step(r.now, LeadershipChanged{Leading: false})
	put(t, r.state, "job/2", 1)
	r.sync()
	r.check(t)
}

// TestCompactedChangesAreReloaded: changes that the state service keeps no more are replaced by a
// fresh read.
func TestCompactedChangesAreReloaded(t *testing.T) {
	r := newFixture(testMaxBytes)
	r.state.RetainedChanges = 5
	put(t, r.state, "job/1", 1)
	r.sync()
	for i := range 20 {
		put(t, r.state, fmt.Sprintf("round/%d", i), i)
	}
	r.sync()
	if s := r.follower.Status(r.now); s.State == StateReady || s.Reloads != 1 {
		t.Errorf("after a gap: %+v", s)
	}
	r.sync()
	r.check(t)
	if r.followerState() != StateReady {
		t.Error("not ready after the fresh read")
	}
}

// TestInconsistentChangesAreRefused are refused whole: nothing of them is applied, and the keys
// are read anew.
func TestInconsistentChangesAreRefused(t *testing.T) {
	set := func(key string, stamp ident.Revision) kvstore.WatchEvent {
		return kvstore.WatchEvent{SetKey: key, ModRevision: stamp}
	}
	for what, in := range map[string]WatchDone{
		"out of order":          {Changes: []kvstore.WatchEvent{set("job/1", 12), set("job/2", 11)}, Revision: 12},
		"known already":         {Changes: []kvstore.WatchEvent{set("job/1", 2), set("job/2", 12)}, Revision: 12},
		"beyond their revision": {Changes: []kvstore.WatchEvent{set("job/1", 13)}, Revision: 12},
		"of another key":        {Changes: []kvstore.WatchEvent{set("job/1", 11), set("leader", 12)}, Revision: 12},
		"set and removed":       {Changes: []kvstore.WatchEvent{{SetKey: "job/1", DeleteKey: "job/1", ModRevision: 11}}, Revision: 12},
		"neither":               {Changes: []kvstore.WatchEvent{{ModRevision: 11}}, Revision: 12},
		"of an earlier state":   {Revision: 3},
	} {
		r := newFixture(testMaxBytes)
		for i := range 10 {
			put(t, r.state, "job/"+fmt.Sprint(i), i)
		}
		r.sync()
		replica := r.follower.Replica()
		if _, err := replica.Apply("job/", in.Changes, in.Revision); err == nil {
			t.Errorf("%s: applied", what)
		}
		r.follower.Step(r.now.Add(time.Second), Tick{})
		in.Prefix = "job/"
		r.follower.Step(r.now, in)
		for _, prefix := range Prefixes[1:] {
			r.follower.Step(r.now, WatchDone{Prefix: prefix, Revision: 10})
		}
		if s := r.follower.Status(r.now); s.State != StateReading || s.Reason == nil || s.Reloads != 1 || s.Records != 0 {
			t.Errorf("%s: %+v", what, s)
		}
		r.now = r.now.Add(time.Second)
		r.sync()
		r.check(t)
	}
}

// TestRecordsBeyondMaxBytes: a node without the memory for the records says so, and
// keeps nothing of them.
func TestRecordsBeyondMaxBytes(t *testing.T) {
	r := newFixture(200)
	put(t, r.state, "job/1", "short")
	r.sync()
	if r.followerState() != StateReady {
		t.Fatal("not ready")
	}
	put(t, r.state, "job/2", string(make([]byte, 300)))
	r.sync()
	s := r.follower.Status(r.now)
	if s.State != StateFull || s.Bytes != 0 || !errors.Is(s.Reason, ErrReplicaFull) {
		t.Errorf("%+v", s)
	}
	reads := len(r.reads)
	for range 30 {
		r.sync()
	}
	if len(r.reads) != reads {
		t.Errorf("%d reads within half a minute", len(r.reads)-reads)
	}
}

// TestCatchUp: a replica is brought up to the epoch, and is of no use if it can't be
// shown to be complete up to it.
func TestCatchUp(t *testing.T) {
	r := newFixture(testMaxBytes)
	if _, _, err := CatchUp(r.follower.Replica(), 1, r.state.Watch); !errors.Is(err, ErrNotLoaded) {
		t.Errorf("without a replica: %v", err)
	}
	put(t, r.state, "job/1", 1)
	r.sync()
	put(t, r.state, "job/2", 1)
	put(t, r.state, "round/1", 1)
	put(t, r.state, "leader", "n0")
	stored, since, err := CatchUp(r.follower.Replica(), 4, r.state.Watch)
	if err != nil || len(stored.Jobs) != 2 || len(stored.Rounds) != 1 || since != 4 {
		t.Errorf("%+v since %d, %v", stored, since, err)
	}
	if _, _, err := CatchUp(r.follower.Replica(), 5, r.state.Watch); !errors.Is(err, ErrOutOfOrder) {
		t.Errorf("complete up to before the epoch: %v", err)
	}
	r.state.RetainedChanges = 1
	if _, _, err := CatchUp(r.follower.Replica(), 4, r.state.Watch); !errors.Is(err, kvstore.ErrCompacted) {
		t.Errorf("after a gap: %v", err)
	}
}

// BenchmarkSync measures what a second's changes cost a standby: 30 records of 600
// bytes among so many. At 4,000 machines some 8,000 jobs were known at the end of a day.
func BenchmarkSync(b *testing.B) {
	for _, records := range []int{1000, 8000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			value := make([]byte, 600)
			var items []kvstore.KeyValue
			for i := range records {
				items = append(items, kvstore.KeyValue{Key: fmt.Sprintf("job/wk-%06d", i), Value: value, ModRevision: 1})
			}
			replica, err := NewReplica(64<<20).Load("job/", items, 1)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for n := range b.N {
				var log []kvstore.WatchEvent
				revision := ident.Revision(n + 2)
				for i := range 30 {
					log = append(log, kvstore.WatchEvent{SetKey: fmt.Sprintf("job/wk-%06d", (n*30+i*37)%records), Value: value, ModRevision: revision})
				}
				if replica, err = replica.Apply("job/", log, revision); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(replica.Bytes())/1024, "KiB")
		})
	}
}
