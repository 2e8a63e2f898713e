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

// put sets a key unconditionally.
func put(t *testing.T, store *fake.KVStore, key string, value any) {
	t.Helper()
	if _, err := store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// fixture is a follower that syncs from a fake state service.
type fixture struct {
	store    *fake.KVStore
	follower *Follower
	now      clock.Instant
	reads    []string
}

func newFixture(maxBytes int) *fixture {
	return &fixture{store: fake.NewKVStore(), follower: NewFollower(time.Second, maxBytes), now: startTime}
}

// sync advances the time by one second, the sync interval, and carries out the reads that the
// follower requests.
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

// check compares the replica with the records in the store.
func (f *fixture) check(t *testing.T) {
	t.Helper()
	for _, prefix := range Prefixes {
		want, _, _ := f.store.List(prefix)
		if diff := cmp.Diff(want, f.follower.Replica().Items(prefix), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("replica of %s differs from the store (-want +got):\n%s", prefix, diff)
		}
	}
}

// TestReplicaEqualsStoreAfterSync checks that after each sync the replica equals the store, for random sequences
// of keys that are created, updated and deleted, and that earlier replicas stay unchanged.
func TestReplicaEqualsStoreAfterSync(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFixture(testMaxBytes)
	var snapshot *Replica
	var snapshotItems []kvstore.KeyValue
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
			snapshot, snapshotItems = f.follower.Replica(), f.follower.Replica().Items("job/")
		}
	}
	if !cmp.Equal(snapshotItems, snapshot.Items("job/")) {
		t.Error("an earlier replica has changed")
	}
	if bytes, want := f.follower.Replica().Bytes(), totalBytes(f.follower.Replica()); bytes != want {
		t.Errorf("Bytes returned %d, the items take %d", bytes, want)
	}
	if !slices.Contains(f.reads, "list part/") || f.reads[len(f.reads)-1] != "watch part/" || len(f.reads) != 900 {
		t.Errorf("%d reads, the last is %v", len(f.reads), f.reads[len(f.reads)-1])
	}
}

// totalBytes returns the size of all items of the replica.
func totalBytes(replica *Replica) int {
	n := 0
	for _, prefix := range Prefixes {
		for _, item := range replica.Items(prefix) {
			n += itemBytes(item)
		}
	}
	return n
}

// TestReadyOnlyWhileUpToDate checks that a follower is ready only after a complete sync, and no
// longer than maxMissedSyncs intervals after the last one; and that it does not sync while its node
// is the leader.
func TestReadyOnlyWhileUpToDate(t *testing.T) {
	f := newFixture(testMaxBytes)
	if f.followerState() != StateReading {
		t.Errorf("state %v before the first sync", f.followerState())
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
		t.Errorf("during the outage: %+v", s)
	}
	f.store.Down = false
	f.sync()
	if s := f.follower.Status(f.now); s.State != StateReady || s.Reason != nil {
		t.Errorf("after the outage: %+v", s)
	}
	f.follower.Step(f.now, LeadershipChanged{Leading: true})
	if f.followerState() != StateLeading || len(f.follower.Step(f.now.Add(time.Minute), Tick{})) != 0 {
		t.Error("the follower syncs while its node is the leader")
	}
	f.follower.Step(f.now, LeadershipChanged{Leading: false})
	put(t, f.store, "job/2", 1)
	f.sync()
	f.check(t)
}

// TestCompactedChangesForceReload checks that the follower reads all records again when the state
// service no longer retains the changes since its last sync.
func TestCompactedChangesForceReload(t *testing.T) {
	f := newFixture(testMaxBytes)
	f.store.RetainedChanges = 5
	put(t, f.store, "job/1", 1)
	f.sync()
	for i := range 20 {
		put(t, f.store, fmt.Sprintf("round/%d", i), i)
	}
	f.sync()
	if s := f.follower.Status(f.now); s.State == StateReady || s.Reloads != 1 {
		t.Errorf("after the changes were compacted: %+v", s)
	}
	f.sync()
	f.check(t)
	if f.followerState() != StateReady {
		t.Error("not ready after the reload")
	}
}

// TestInconsistentChangesForceReload checks that Apply rejects a batch of changes as a whole if any
// of it is inconsistent, and that the follower then reads all records again. A batch that was
// applied in part would leave a replica that differs from the store.
func TestInconsistentChangesForceReload(t *testing.T) {
	set := func(key string, revision ident.Revision) kvstore.WatchEvent {
		return kvstore.WatchEvent{SetKey: key, ModRevision: revision}
	}
	for name, in := range map[string]WatchDone{
		"out of order":          {Changes: []kvstore.WatchEvent{set("job/1", 12), set("job/2", 11)}, Revision: 12},
		"already applied":       {Changes: []kvstore.WatchEvent{set("job/1", 2), set("job/2", 12)}, Revision: 12},
		"beyond the revision":   {Changes: []kvstore.WatchEvent{set("job/1", 13)}, Revision: 12},
		"key of another prefix": {Changes: []kvstore.WatchEvent{set("job/1", 11), set("leader", 12)}, Revision: 12},
		"set and deleted":       {Changes: []kvstore.WatchEvent{{SetKey: "job/1", DeleteKey: "job/1", ModRevision: 11}}, Revision: 12},
		"no key":                {Changes: []kvstore.WatchEvent{{ModRevision: 11}}, Revision: 12},
		"earlier revision":      {Revision: 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(testMaxBytes)
			for i := range 10 {
				put(t, f.store, "job/"+fmt.Sprint(i), i)
			}
			f.sync()
			replica := f.follower.Replica()
			if _, err := replica.Apply("job/", in.Changes, in.Revision); err == nil {
				t.Error("Apply accepted the changes")
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

// TestReplicaOverMaxBytesIsDiscarded checks that a follower whose records exceed the size limit reports
// StateFull, discards its replica, and does not read the records again within half a minute.
func TestReplicaOverMaxBytesIsDiscarded(t *testing.T) {
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

// TestCatchUp checks that CatchUp returns the records up to the epoch, and an error if it can't
// establish that they are complete up to it. A new leader that worked with incomplete records would
// lose decisions of its predecessor.
func TestCatchUp(t *testing.T) {
	f := newFixture(testMaxBytes)
	if _, _, err := CatchUp(f.follower.Replica(), 1, f.store.Watch); !errors.Is(err, ErrNotLoaded) {
		t.Errorf("replica that was never loaded: %v", err)
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
		t.Errorf("changes complete only up to a revision before the epoch: %v", err)
	}
	f.store.RetainedChanges = 1
	if _, _, err := CatchUp(f.follower.Replica(), 4, f.store.Watch); !errors.Is(err, kvstore.ErrCompacted) {
		t.Errorf("after the changes were compacted: %v", err)
	}
}

// BenchmarkSync measures the cost of applying the changes of one second, 30 records of 600 bytes, to
// replicas of different sizes. With 4,000 machines there were some 8,000 known jobs at the end of a
// day.
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
				var changes []kvstore.WatchEvent
				revision := ident.Revision(n + 2)
				for i := range 30 {
					changes = append(changes, kvstore.WatchEvent{SetKey: fmt.Sprintf("job/wk-%06d", (n*30+i*37)%records), Value: value, ModRevision: revision})
				}
				if replica, err = replica.Apply("job/", changes, revision); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(replica.Bytes())/1024, "KiB")
		})
	}
}
