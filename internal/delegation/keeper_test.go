package delegation

import (
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/unit"
)

const now = unit.Instant(time.Hour)

func seconds(s float64) unit.Instant { return now.Add(unit.Seconds(s)) }

func settings() *config.Settings {
	return &config.Settings{Label: "n0", Location: "a",
		Peers:  []config.Peer{{Label: "n1", Location: "b"}, {Label: "n2", Location: "b"}},
		Params: config.Params{Workers: config.Workers{ReportS: 5, LeaseS: 27, CancelS: 52}}}
}

// TestLife: what a cancelled job runs under a grant that was given just before
// is gone in time.
func TestLife(t *testing.T) {
	w := config.Workers{ReportS: 5, LeaseS: 27, CancelS: 52}
	if life := Life(w); life <= 0 || life+w.Lease() >= w.Cancel() {
		t.Errorf("a grant lives for %v", life)
	}
	w.CancelS = 30
	if life := Life(w); life != 0 {
		t.Errorf("a grant lives for %v although there is no time for it", life)
	}
}

// TestKeeper follows a node through a cut: what it keeps, and for how long.
func TestKeeper(t *testing.T) {
	report := func(id unit.MachineID, zone unit.Zone, token unit.Epoch) *fleet.Report {
		return &fleet.Report{Machine: id, Zone: zone, Token: token}
	}
	mine := report("m1", "a", 7)
	k := NewKeeper("a", settings().Params.Workers, now)
	if k.Judge(seconds(60), Alone, mine) != Pass {
		t.Error("a node that never had a grant took a decision of its own")
	}
	k.Take(seconds(60), Status{Epoch: 7, Life: 20 * time.Second, Excluded: []unit.MachineID{"m2"}})
	k.Take(seconds(59), Status{Epoch: 6, Life: time.Hour}) // came late, of an earlier leader
	if k.Judge(seconds(62), Alone, mine) != Pass || k.Judge(seconds(70), Connected, mine) != Pass {
		t.Error("a node that is not cut off took a decision of its own")
	}
	if k.Judge(seconds(63), Alone, mine) != Probe || k.Judge(seconds(70), Alone, mine) != Keep {
		t.Error("a worker must try one other node, and be kept when it is back")
	}
	if k.Judge(seconds(71), Outage, report("m3", "a", 7)) != Keep {
		t.Error("in an outage no other node does better by a worker")
	}
	for what, r := range map[string]*fleet.Report{"owes an exit": report("m2", "a", 7),
		"is of another node's zone": report("m5", "b", 7), "has seen a later leader": report("m6", "a", 8)} {
		if k.Judge(seconds(72), Outage, r) == Keep {
			t.Errorf("a worker was kept that %s", what)
		}
	}
	if k.Judge(seconds(73.9), Alone, report("m4", "a", 7)) != Probe || k.Judge(seconds(74.1), Alone, report("m7", "a", 7)) != Keep {
		t.Error("a worker must try another node only if it is back before the grant ends")
	}
	if q := k.IdleFor(seconds(78)); q != 3900*time.Millisecond {
		t.Errorf("the last worker was kept %v ago, want 3.9 s", q)
	}
	if k.Judge(seconds(80), Alone, mine) != Refuse {
		t.Error("a worker was kept after the grant had ended")
	}
}

// TestKeeperOfShortLeases: a worker whose lease does not bear a second wait for a
// node that does not answer is kept before it probes one, and after it.
func TestKeeperOfShortLeases(t *testing.T) {
	k := NewKeeper("a", config.Workers{ReportS: 1, LeaseS: 10, CancelS: 40}, now)
	k.Take(seconds(60), Status{Epoch: 7, Life: 27 * time.Second})
	for i, want := range []Verdict{Keep, Probe, Keep, Keep} {
		at := []float64{65, 66, 71.5, 72.5}[i]
		if got := k.Judge(seconds(at), Alone, &fleet.Report{Machine: "m1", Zone: "a", Token: 7}); got != want {
			t.Errorf("at %v s: verdict %v, want %v", at, got, want)
		}
	}
}

// TestLedger: a zone's leases count from the last moment at which a node in it
// may have kept them, whether or not that node is heard.
func TestLedger(t *testing.T) {
	l := NewLedger(settings(), now)
	if _, ok := l.Zone("a"); ok {
		t.Error("the leader's own zone has no other node, and yet leases kept")
	}
	span := func(z unit.Zone) fleet.Delegated {
		v, _ := l.Zone(z)
		return v
	}
	life := Life(settings().Params.Workers)
	if v := span("b"); v.Free != now || v.End < now.Add(life) {
		t.Errorf("%+v after a takeover: grants of earlier leaders may be in use", v)
	}
	l.Attest("n1", seconds(40), seconds(41), 30*time.Second)
	if v := span("b"); v.Free != now || v.Last != seconds(11) {
		t.Errorf("%+v: one of two nodes was heard, which has kept workers 11 s in", v)
	}
	l.Attest("n2", seconds(42), seconds(42), time.Hour)
	l.Attest("n2", seconds(3), seconds(43), time.Hour) // an answer that was held
	if v := span("b"); v.Free != seconds(40) {
		t.Errorf("%+v: both said that they keep none", v)
	}
	l.Grant(seconds(50), "n2")
	if v := span("b"); v.End < seconds(50).Add(life) {
		t.Errorf("%+v: a grant was given at 50 s", v)
	}
	if v, ok := l.Zone("c"); ok {
		t.Errorf("%+v: a zone without a node has nobody to keep its workers", v)
	}
	if v, ok := l.Zone(""); !ok || v != span("b") {
		t.Errorf("%+v %v: a machine whose zone is not known may be in any", v, ok)
	}
}

// TestLeaseOver: a lease that a node may have kept by a grant is not over
// before that node said that it did not, or can't any more.
func TestLeaseOver(t *testing.T) {
	var v fleet.Delegated
	f := fleet.New(fleet.Times{Report: 5 * time.Second, Lease: 27 * time.Second}, 7, now, nil)
	f.SetDelegated(func(unit.Zone) (fleet.Delegated, bool) { return v, true })
	m := f.Ensure(now, "m1")
	over := func(at float64, last, free, end unit.Instant) bool {
		v = fleet.Delegated{Last: last, Free: free, End: end}
		return f.LeaseOver(seconds(at), m)
	}
	switch {
	case over(27, now, seconds(27), now):
		t.Error("over before its time")
	case !over(29, now, seconds(28.5), seconds(40)):
		t.Error("not over although nobody kept it")
	case over(29, now, seconds(20), seconds(40)):
		t.Error("over although a node that was last heard 20 s in may keep it")
	case over(29, seconds(10), seconds(28.5), seconds(40)):
		t.Error("over although it was kept 10 s in")
	case !over(68, now, seconds(20), seconds(40)):
		t.Error("not over although no grant can be in use any more")
	}
}
