package takeover

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

const (
	acquired = unit.Instant(time.Hour)
	epoch    = unit.Epoch(10)
)

// machines are n that report and hold a task each, of which silent have not
// reported under the epoch.
func machines(t *testing.T, n, silent int) []*fleet.Machine {
	t.Helper()
	job := checkpoint.NewJob("wk-000001", checkpoint.NewRecord(checkpoint.Spec{Tasks: n, CPUs: 1}, 0), 1, acquired)
	f := fleet.New(fleet.Times{Report: 5 * time.Second, Lease: 27 * time.Second}, epoch, acquired, func(unit.JobID) *checkpoint.Job { return job })
	for i := range n {
		id := unit.MachineID(rune('a' + i))
		token := epoch
		if i < silent {
			token = epoch - 1
		}
		f.Take(acquired, &fleet.Report{Machine: id, Type: "m", Zone: "a", Session: 1, Tally: 1, Token: token}, true)
		f.Place(acquired, &checkpoint.Placement{Job: job, Task: unit.TaskIndex(i), Machine: id, Session: 1, Attempt: 1})
	}
	return f.Machines()
}

// TestGate: a new leader places nothing until nearly all machines have reported to
// it, or could have.
func TestGate(t *testing.T) {
	workers := config.Workers{ReportS: 5, LeaseS: 27, CancelS: 52}
	for _, c := range []struct {
		what   string
		gate   Gate
		silent int
		after  time.Duration
		open   bool
	}{
		{"half are silent", Gate{}, 10, 6 * time.Second, false},
		{"one of twenty is silent", Gate{}, 1, time.Second, true},
		{"two of twenty are silent", Gate{}, 2, time.Second, false},
		{"an interval and a quarter have passed", Gate{}, 20, 6250 * time.Millisecond, true},
		{"nothing was ever placed", Gate{Untouched: true}, 20, 0, true},
		{"a round is lost", Gate{LostRounds: true}, 0, 40 * time.Second, false},
		{"a round is lost, and what it placed is over", Gate{LostRounds: true}, 0, 52 * time.Second, true},
	} {
		g := c.gate
		g.Acquired, g.Epoch, g.Workers = acquired, epoch, workers
		if got := g.Open(acquired.Add(c.after), machines(t, 20, c.silent)); got != c.open {
			t.Errorf("%s: open %v after %v", c.what, got, c.after)
		}
	}
}

// TestAsking: machines that were asked are waited for until they have answered, or
// most have and the others had the time; a leader that hardly anybody answers waits
// as if it had asked none.
func TestAsking(t *testing.T) {
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
		{"some do not answer", 5, true, answerWithin, true},
		{"most do not answer", 11, true, answerWithin, false},
	} {
		f := fleet.New(fleet.Times{}, epoch, acquired, func(unit.JobID) *checkpoint.Job { return nil })
		for i := range 20 {
			f.Ensure(acquired, unit.MachineID(rune('a'+i))).Addr = "127.0.0.1:1"
		}
		var asking Asking
		asked := f.Unheard(20)
		asking.Sent(acquired, len(asked), !c.whole)
		for _, m := range asked[c.silent:] {
			f.Take(acquired, &fleet.Report{Machine: m.ID, Session: 1, Tally: 1}, false)
		}
		if got := asking.answered(acquired.Add(c.after), f.Machines()); got != c.open {
			t.Errorf("%s: %v", c.what, got)
		}
		if again := f.Unheard(20); len(again) != 0 {
			t.Errorf("%s: %d are asked twice", c.what, len(again))
		}
	}
}

// TestReadTellsWhatCannotBeRead: a record that can't be read is named, and the
// others are read all the same.
func TestReadTellsWhatCannotBeRead(t *testing.T) {
	good, err := msgpack.Marshal(checkpoint.NewRecord(checkpoint.Spec{Tasks: 2, CPUs: 1}, 0))
	if err != nil {
		t.Fatal(err)
	}
	later, err := msgpack.Marshal(map[string]any{"v": 99})
	if err != nil {
		t.Fatal(err)
	}
	r := Read(Stored{
		Jobs:   []statestore.KeyValue{{Key: "job/wk-000001", Value: good, ModRevision: 3}, {Key: "job/wk-000002", Value: []byte{0xc1}, ModRevision: 4}},
		Rounds: []statestore.KeyValue{{Key: "round/1", Value: later, ModRevision: 5}},
		Parts:  []statestore.KeyValue{{Key: "part/stage", Value: good, ModRevision: 6}},
	}, "part/stage")
	if len(r.Jobs) != 1 || r.Jobs[0].ID != "wk-000001" || r.Jobs[0].Version != 3 || r.StageVersion != 6 {
		t.Errorf("read %+v", r)
	}
	if len(r.Unreadable) != 2 || r.Unreadable[0].Key != "job/wk-000002" || r.Unreadable[0].IsLater() {
		t.Errorf("can't be read: %+v", r.Unreadable)
	}
	if len(r.LostRounds) != 1 || r.LostRounds[0].Key != "round/1" {
		t.Errorf("lost rounds: %+v", r.LostRounds)
	}
}
