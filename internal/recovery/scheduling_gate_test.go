package recovery

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
)

const (
	acquired = clock.Instant(time.Hour)
	epoch    = ident.Epoch(10)
)

// machines are n that report and hold a task each, of which silent have not
// reported under the epoch.
func machines(t *testing.T, n, silent int) []*fleet.Machine {
	t.Helper()
	job := jobs.NewJob("wk-000001", jobs.NewRecord(jobs.Spec{Tasks: n, CPUs: 1}, 0), 1, acquired)
	f := fleet.New(fleet.Timing{HeartbeatInterval: 5 * time.Second, LeaseDuration: 27 * time.Second}, epoch, acquired, func(ident.JobID) *jobs.Job { return job })
	for i := range n {
		id := ident.MachineID(rune('a' + i))
		token := epoch
		if i < silent {
			token = epoch - 1
		}
		f.ApplyHeartbeat(acquired, &fleet.Heartbeat{Machine: id, Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 1, FencingToken: token}, true)
		f.Place(acquired, &jobs.Placement{Job: job, Task: ident.TaskIndex(i), Machine: id, Session: 1, Attempt: 1})
	}
	return f.Machines()
}

// TestSchedulingGate: a new leader places nothing until nearly all machines have reported to
// it, or could have.
func TestSchedulingGate(t *testing.T) {
	workers := config.Workers{HeartbeatSeconds: 5, LeaseSeconds: 27, CancelSeconds: 52}
	for _, c := range []struct {
		what   string
		gate   SchedulingGate
		silent int
		after  time.Duration
		open   bool
	}{
		{"half are silent", SchedulingGate{}, 10, 6 * time.Second, false},
		{"one of twenty is silent", SchedulingGate{}, 1, time.Second, true},
		{"two of twenty are silent", SchedulingGate{}, 2, time.Second, false},
		{"an interval and a quarter have passed", SchedulingGate{}, 20, 6250 * time.Millisecond, true},
		{"nothing was ever placed", SchedulingGate{Pristine: true}, 20, 0, true},
		{"a round is lost", SchedulingGate{LostRounds: true}, 0, 40 * time.Second, false},
		{"a round is lost, and what it placed is over", SchedulingGate{LostRounds: true}, 0, 52 * time.Second, true},
	} {
		g := c.gate
		g.AcquiredAt, g.Epoch, g.Workers = acquired, epoch, workers
		if got := g.Open(acquired.Add(c.after), machines(t, 20, c.silent)); got != c.open {
			t.Errorf("%s: open %v after %v", c.what, got, c.after)
		}
	}
}

// TestHeartbeatPoll: machines that were asked are waited for until they have answered, or
// most have and the others had the time; a leader that hardly anybody answers waits
// as if it had asked none.
func TestHeartbeatPoll(t *testing.T) {
	for _, c := range []struct {
		what   string
		silent int
		whole  bool
		after  time.Duration
		open   bool
	}{
		{"all have answered", 0, true, 0, true},
		{"not all were asked yet", 0, false, 0, false},
		{"some have not answered yet", 5, true, 500 * time.Millisecond, false},
		{"some do not answer", 5, true, answerTimeout, true},
		{"most do not answer", 11, true, answerTimeout, false},
	} {
		f := fleet.New(fleet.Timing{}, epoch, acquired, func(ident.JobID) *jobs.Job { return nil })
		for i := range 20 {
			f.Ensure(acquired, ident.MachineID(rune('a'+i))).Addr = "127.0.0.1:1"
		}
		var asking HeartbeatPoll
		asked := f.ClaimHeartbeatRequests(20)
		asking.RecordSent(acquired, len(asked), !c.whole)
		for _, m := range asked[c.silent:] {
			f.ApplyHeartbeat(acquired, &fleet.Heartbeat{Machine: m.ID, Session: 1, HeartbeatSeq: 1}, false)
		}
		if got := asking.answered(acquired.Add(c.after), f.Machines()); got != c.open {
			t.Errorf("%s: %v", c.what, got)
		}
		if again := f.ClaimHeartbeatRequests(20); len(again) != 0 {
			t.Errorf("%s: %d are asked twice", c.what, len(again))
		}
	}
}

// TestDecodeRecordsNamesUnreadable: a record that can't be read is named, and the
// others are read all the same.
func TestDecodeRecordsNamesUnreadable(t *testing.T) {
	good, err := msgpack.Marshal(jobs.NewRecord(jobs.Spec{Tasks: 2, CPUs: 1}, 0))
	if err != nil {
		t.Fatal(err)
	}
	later, err := msgpack.Marshal(map[string]any{"v": 99})
	if err != nil {
		t.Fatal(err)
	}
	r := DecodeRecords(StoredRecords{
		Jobs:   []kvstore.KeyValue{{Key: "job/wk-000001", Value: good, ModRevision: 3}, {Key: "job/wk-000002", Value: []byte{0xc1}, ModRevision: 4}},
		Rounds: []kvstore.KeyValue{{Key: "round/1", Value: later, ModRevision: 5}},
		Chunks: []kvstore.KeyValue{{Key: "part/stage", Value: good, ModRevision: 6}},
	}, "part/stage")
	if len(r.Jobs) != 1 || r.Jobs[0].ID != "wk-000001" || r.Jobs[0].Revision != 3 || r.StageRevision != 6 {
		t.Errorf("read %+v", r)
	}
	if len(r.UnreadableRecords) != 2 || r.UnreadableRecords[0].Key != "job/wk-000002" || r.UnreadableRecords[0].FromNewerSchema() {
		t.Errorf("can't be read: %+v", r.UnreadableRecords)
	}
	if len(r.LostRounds) != 1 || r.LostRounds[0].Key != "round/1" {
		t.Errorf("lost rounds: %+v", r.LostRounds)
	}
}
