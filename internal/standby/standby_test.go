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

// put stores a value under a key, without a condition.
func put(t *testing.T, store *fake.KVStore, key string, value any) {
	t.Helper()
	if _, err := store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// fixture is a follower of a stand-in for the state service.
type fixture struct {
	store    *fake.KVStore
	follower *Follower
	now      clock.Instant
	reads    []string
}

func newFixture(maxBytes int) *fixture {
	return &fixture{store: fake.NewKVStore(), follower: NewFollower(time.Second, maxBytes), now: startTime}
}

// sync lets the follower sync once, a second after the last time.
func (f *fixture) sync() {
	f.now = f.now.Add(time.Second)
	for _, e := range f.follower.Step(f.now, Tick{}) {
		switch e := e.(type) {
		case List:
			f.reads = append(f.reads, "list "+e.Prefix)
			items, revision, err := f.store.List(e.Prefix)
			f.follower.Step(f.now, ListDone{Prefix: e.Prefix, Err: err, Items: items, Revision: revision})
		case Watch:
			f.reads = append(f.reads, "watch "+e.Prefix)
			changes, revision, err := f.store.Watch(e.Prefix, e.Since)
			f.follower.Step(f.now, WatchDone{Prefix: e.Prefix, Err: err, Changes: changes, Revision: revision})
		}
	}
}

func (f *fixture) followerState() State { return f.follower.Status(f.now).State }

// check compares the replica with what is stored.
func (f *fixture) check(t *testing.T) {
	t.Helper()
	for _, prefix := range Prefixes {
		want, _, _ := f.store.List(prefix)
		if diff := cmp.Diff(want, f.follower.Replica().Items(prefix), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: %s", prefix, diff)
		}
	}
}

// TestReplicaFollows: after each sync the replica holds what is stored, whatever was
// set, set again or removed; and older replicas do not change.
func TestReplicaFollows(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFixture(testMaxBytes)
	var kept *Replica
	var before []kvstore.KeyValue
	for i := range 300 {
		for range rng.IntN(4) {
			key := Prefixes[rng.IntN(len(Prefixes))] + fmt.Sprint(rng.IntN(20))
			if rng.IntN(5) == 0 {
				if _, err := f.store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{DeleteKey: key}}}); err != nil {
					t.Fatal(err)
				}
				continue
			}
			put(t, f.store, key, rng.IntN(1000))
		}
		put(t, f.store, "relay/up/n1", i)
		f.sync()
		f.check(t)
		if i == 100 {
			kept, before = f.follower.Replica(), f.follower.Replica().Items("job/")
		}
	}
	if !cmp.Equal(before, kept.Items("job/")) {
		t.Error("a replica has changed")
	}
	if bytes, want := f.follower.Replica().Bytes(), totalBytes(f.follower.Replica()); bytes != want {
		t.Errorf("counted %d bytes, there are %d", bytes, want)
	}
	if !slices.Contains(f.reads, "list part/") || f.reads[len(f.reads)-1] != "watch part/" || len(f.reads) != 900 {
		t.Errorf("%d reads, the last %v", len(f.reads), f.reads[len(f.reads)-1])
	}
}

func totalBytes(replica *Replica) int {
	n := 0
	for _, prefix := range Prefixes {
		for _, item := range replica.Items(prefix) {
			n += itemBytes(item)
		}
	}
	return n
}

// TestReadyOnlyWhileUpToDate: a replica is ready after a complete sync, and no longer than a
// few intervals after the last.
func TestReadyOnlyWhileUpToDate(t *testing.T) {
	f := newFixture(testMaxBytes)
	if f.followerState() != StateReading {
		t.Errorf("%v before anything was read", f.followerState())
	}
	put(t, f.store, "job/1", 1)
	f.sync()
	if s := f.follower.Status(f.now); s.State != StateReady || s.Records != 1 || s.Revision == 0 {
		t.Errorf("%+v", s)
	}
	f.store.Down = true
	for range 4 {
		f.sync()
	}
	if s := f.follower.Status(f.now); s.State != StateLagging || s.Reason == nil || s.Lag < 4*time.Second {
		t.Errorf("in an outage: %+v", s)
	}
	f.store.Down = false
	f.sync()
	if s := f.follower.Status(f.now); s.State != StateReady || s.Reason != nil {
		t.Errorf("after it: %+v", s)
	}
	f.follower.Step(f.now, LeadershipChanged{Leading: true})
	if f.followerState() != StateLeading || len(f.follower.Step(f.now.Add(time.Minute), Tick{})) != 0 {
		t.Error("it follows itself")
	}
	f.follower.Step(f.now, LeadershipChanged{Leading: false})
	put(t, f.store, "job/2", 1)
	f.sync()
	f.check(t)
}

// TestCompactedChangesAreReloaded: changes that the state service keeps no more are replaced by a
// fresh read.
func TestCompactedChangesAreReloaded(t *testing.T) {
	f := newFixture(testMaxBytes)
	f.store.RetainedChanges = 5
	put(t, f.store, "job/1", 1)
	f.sync()
	for i := range 20 {
		put(t, f.store, fmt.Sprintf("round/%d", i), i)
	}
	f.sync()
	if s := f.follower.Status(f.now); s.State == StateReady || s.Reloads != 1 {
		t.Errorf("after a gap: %+v", s)
	}
	f.sync()
	f.check(t)
	if f.followerState() != StateReady {
		t.Error("not ready after the fresh read")
	}
}

// TestInconsistentChangesAreRefused: such changes are refused whole, nothing of them is
// applied, and the keys are read anew.
func TestInconsistentChangesAreRefused(t *testing.T) {
	set := func(key string, revision ident.Revision) kvstore.WatchEvent {
		return kvstore.WatchEvent{SetKey: key, ModRevision: revision}
	}
	for name, in := range map[string]WatchDone{
		"out of order":          {Changes: []kvstore.WatchEvent{set("job/1", 12), set("job/2", 11)}, Revision: 12},
		"known already":         {Changes: []kvstore.WatchEvent{set("job/1", 2), set("job/2", 12)}, Revision: 12},
		"beyond their revision": {Changes: []kvstore.WatchEvent{set("job/1", 13)}, Revision: 12},
		"of another key":        {Changes: []kvstore.WatchEvent{set("job/1", 11), set("leader", 12)}, Revision: 12},
		"set and removed":       {Changes: []kvstore.WatchEvent{{SetKey: "job/1", DeleteKey: "job/1", ModRevision: 11}}, Revision: 12},
		"neither":               {Changes: []kvstore.WatchEvent{{ModRevision: 11}}, Revision: 12},
		"of an earlier state":   {Revision: 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(testMaxBytes)
			for i := range 10 {
				put(t, f.store, "job/"+fmt.Sprint(i), i)
			}
			f.sync()
			replica := f.follower.Replica()
			if _, err := replica.Apply("job/", in.Changes, in.Revision); err == nil {
				t.Error("applied")
			}
			f.follower.Step(f.now.Add(time.Second), Tick{})
			in.Prefix = "job/"
			f.follower.Step(f.now, in)
			for _, prefix := range Prefixes[1:] {
				f.follower.Step(f.now, WatchDone{Prefix: prefix, Revision: 10})
			}
			if s := f.follower.Status(f.now); s.State != StateReading || s.Reason == nil || s.Reloads != 1 || s.Records != 0 {
				t.Errorf("%+v", s)
			}
			f.now = f.now.Add(time.Second)
			f.sync()
			f.check(t)
		})
	}
}

// TestRecordsBeyondMaxBytes: a node without the memory for the records says so, and
// keeps nothing of them.
func TestRecordsBeyondMaxBytes(t *testing.T) {
	f := newFixture(200)
	put(t, f.store, "job/1", "short")
	f.sync()
	if f.followerState() != StateReady {
		t.Fatal("not ready")
	}
	put(t, f.store, "job/2", string(make([]byte, 300)))
	f.sync()
	s := f.follower.Status(f.now)
	if s.State != StateFull || s.Bytes != 0 || !errors.Is(s.Reason, ErrReplicaFull) {
		t.Errorf("%+v", s)
	}
	reads := len(f.reads)
	for range 30 {
		f.sync()
	}
	if len(f.reads) != reads {
		t.Errorf("%d reads within half a minute", len(f.reads)-reads)
	}
}

// TestCatchUp: a replica is brought up to the epoch, and is of no use if it can't be
// shown to be complete up to it.
func TestCatchUp(t *testing.T) {
	f := newFixture(testMaxBytes)
	if _, _, err := CatchUp(f.follower.Replica(), 1, f.store.Watch); !errors.Is(err, ErrNotLoaded) {
		t.Errorf("without a replica: %v", err)
	}
	put(t, f.store, "job/1", 1)
	f.sync()
	put(t, f.store, "job/2", 1)
	put(t, f.store, "round/1", 1)
	put(t, f.store, "leader", "n0")
	stored, since, err := CatchUp(f.follower.Replica(), 4, f.store.Watch)
	if err != nil || len(stored.Jobs) != 2 || len(stored.Rounds) != 1 || since != 4 {
		t.Errorf("%+v since %d, %v", stored, since, err)
	}
	if _, _, err := CatchUp(f.follower.Replica(), 5, f.store.Watch); !errors.Is(err, ErrOutOfOrder) {
		t.Errorf("complete up to before the epoch: %v", err)
	}
	f.store.RetainedChanges = 1
	if _, _, err := CatchUp(f.follower.Replica(), 4, f.store.Watch); !errors.Is(err, kvstore.ErrCompacted) {
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
