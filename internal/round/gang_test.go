package round

import (
	"testing"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
)

func gangSpec(n int, cpus float64) checkpoint.Spec {
	s := task("red", checkpoint.Standard, n, cpus)
	s.Gang, s.OneZone = true, true
	return s
}

func gangScene(t *testing.T, zones ...unit.Zone) *scene {
	s := newScene(t)
	s.w.Teams = map[unit.Team]config.Team{"red": {CPUsMax: 40}, "blue": {CPUsMax: 40}}
	for i, z := range zones {
		s.machine(unit.MachineID("host-"+string(rune('1'+i))), z, false)
	}
	return s
}

// TestGangInOneZone: a gang that must be in one zone starts where one holds it
// whole; room that is spread over zones is none, and is not held either.
func TestGangInOneZone(t *testing.T) {
	s := gangScene(t, "a", "b", "b")
	s.job("wk-000001", gangSpec(4, 2))
	starts := map[unit.MachineID]int{}
	for _, st := range s.plan().Record.Starts {
		starts[st.Machine] += st.Tasks.Len()
	}
	if len(starts) != 2 || starts["host-2"] != 2 || starts["host-3"] != 2 {
		t.Errorf("starts %v, want two on each machine of zone b", starts)
	}
	s = gangScene(t, "a", "b")
	s.w.MayHire = false
	s.job("wk-000001", gangSpec(4, 2))
	s.w.Blocked = func(rental.Offer) bool { return true } // and no zone can be given more
	later := s.job("wk-000002", task("blue", checkpoint.Standard, 2, 2))
	later.Accepted = 1
	for _, st := range s.plan().Record.Starts {
		if st.Job == "wk-000001" {
			t.Errorf("a part of a gang starts: %+v", st)
		}
	}
	if n := len(s.plan().Record.Starts); n == 0 {
		t.Error("a gang that no zone can hold keeps machines from others")
	}
}

// TestGangHoldsItsZone: while machines for the rest of a gang may be rented, what
// is free in its zone is kept for it, and the rest is rented there.
func TestGangHoldsItsZone(t *testing.T) {
	s := gangScene(t, "a", "b", "b")
	s.job("wk-000001", gangSpec(6, 2)) // three machines
	later := s.job("wk-000002", task("blue", checkpoint.Standard, 6, 2))
	later.Accepted = 1
	plan := s.plan()
	for _, st := range plan.Record.Starts {
		if st.Machine != "host-1" || st.Job != later.ID {
			t.Errorf("start %+v in the zone that is kept for the gang", st)
		}
	}
	if h := plan.Record.Hires; len(h) != 1 || h[0].Offer.Zone != "b" || plan.HireFor != "wk-000001" {
		t.Errorf("rentals %+v for %q, want one in zone b for the gang", h, plan.HireFor)
	}
}

// TestGangsDoNotHoldHalfEach: of two gangs that each need the whole zone, the
// first gets it and the second nothing.
func TestGangsDoNotHoldHalfEach(t *testing.T) {
	s := gangScene(t, "a", "a")
	s.job("wk-000001", gangSpec(4, 2))
	second := s.job("wk-000002", gangSpec(4, 2))
	second.Accepted = 1
	n := 0
	for _, st := range s.plan().Record.Starts {
		if st.Job != "wk-000001" {
			t.Errorf("start %+v", st)
		}
		n += st.Tasks.Len()
	}
	if n != 4 {
		t.Errorf("%d tasks of the first gang start", n)
	}
}

// TestGangWithinItsLimit: a gang that would take its team beyond its limit, tasks
// that are told to stop included, does not start, and holds nothing.
func TestGangWithinItsLimit(t *testing.T) {
	s := gangScene(t, "a", "a", "a")
	s.w.Teams["red"] = config.Team{CPUsMax: 10}
	old := s.job("wk-000001", task("red", checkpoint.Standard, 1, 4))
	s.place(old, 0, "host-3").Halting = true
	s.job("wk-000002", gangSpec(4, 2))
	later := s.job("wk-000003", task("blue", checkpoint.Standard, 4, 2))
	later.Accepted = 1
	n := 0
	for _, st := range s.plan().Record.Starts {
		if st.Job == "wk-000002" {
			t.Errorf("a gang beyond its team's limit: %+v", st)
		}
		n += st.Tasks.Len()
	}
	if n != 4 {
		t.Errorf("%d tasks of the other team start", n)
	}
}

// TestGangHoldsItsLimit: while a gang waits for its team's limit, what is left of
// that goes to no other work of the team that comes after it.
func TestGangHoldsItsLimit(t *testing.T) {
	s := gangScene(t, "a", "a", "a")
	s.w.Teams["red"] = config.Team{CPUsMax: 10}
	s.place(s.job("wk-000001", task("red", checkpoint.Standard, 1, 4)), 0, "host-3")
	s.job("wk-000002", gangSpec(4, 2))
	later := s.job("wk-000003", task("red", checkpoint.Standard, 3, 2))
	later.Accepted = 1
	if starts := s.plan().Record.Starts; len(starts) > 0 {
		t.Errorf("starts %+v of what the gang waits for", starts)
	}
}

// TestGangIsNotStoppedInPart: no task of a gang is stopped to make room.
func TestGangIsNotStoppedInPart(t *testing.T) {
	s := gangScene(t, "a")
	low := gangSpec(2, 2)
	low.Priority = checkpoint.BestEffort
	j := s.job("wk-000001", low)
	s.place(j, 0, "host-1")
	s.place(j, 1, "host-1")
	s.job("wk-000002", task("blue", checkpoint.Prod, 1, 2))
	if stops := s.plan().Stops; len(stops) > 0 {
		t.Errorf("stops %+v", stops)
	}
}
