package controller

import (
	"flag"
	"testing"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/quota"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// quotaScript enables team quotas beside the warm standby.
const quotaScript = "warm_standby = {}\nteam_quotas = {}"

var quotaDays = flag.Int("quotadays", 4, "days that TestQuotaDays plays")

// leftOver is what is still allotted or reserved.
func (s *sim) leftOver() int {
	items, _, _ := s.state.List(quota.KeyPrefix)
	left := 0
	for _, item := range items {
		if r, err := quota.DecodeTeamRecord(item.Value); err == nil && len(r.Allocations) > 0 && !r.Allocated().IsZero() {
			left++
		}
		if _, jobs, err := quota.DecodeReservationRecord(item.Value); err == nil {
			left += len(jobs)
		}
	}
	return left
}

// TestQuotaDays plays days on which holders admit work of teams that are at their
// limits while leaders stop, nodes die and stand still, the mesh is cut, the state
// service is slow, away, or refuses one, and writes land late. What is stored is
// checked at every change, and what runs at every start. Once it is quiet, no unit is
// left with anybody.
func TestQuotaDays(t *testing.T) {
	eachSeed(t, *quotaDays, func(t *testing.T, seed uint64) {
		script := quotaScript
		if seed%2 == 1 {
			script = "team_quotas = {}"
		}
		s := newLossySim(t, 900+seed, script)
		s.again(10*time.Second, 20*time.Second, s.trouble)
		if s.pol.Features.WarmStandby != nil {
			s.again(10*time.Second, 20*time.Second, s.aroundTakeover)
		}
		s.playLossyDay()
		s.run(30 * time.Second)
		if n := s.leftOver(); n > 0 {
			t.Errorf("%d allotments and reservations are left", n)
		}
		if s.admissions == 0 {
			t.Error("no holder has admitted anything")
		}
	})
}

// TestHoldersAdmit: on a calm day jobs are admitted by the nodes that took them, and
// everything runs and ends as it does without.
func TestHoldersAdmit(t *testing.T) {
	s := newSimOf(t, 5, quotaScript)
	s.submitSteadily(60 * time.Second)
	s.load()
	if s.admissions < 40 {
		t.Errorf("%d jobs were admitted by holders", s.admissions)
	}
	s.finish()
}

// withIdleHolder returns a day on which a holder has most of red's limit and uses none
// of it, and that holder.
func withIdleHolder(t *testing.T, seed uint64) (*sim, *simNode) {
	s := newSimOf(t, seed, quotaScript)
	s.submit(1, spread, 0)
	s.run(30 * time.Second)
	var holder *simNode
	for _, n := range s.nodes {
		if n != s.leader() {
			holder = n
		}
	}
	for range 6 {
		// Of jobs that nobody stores, and so of no reservation that is ever used.
		s.holderStep(holder, quota.JobSubmitted{Job: "wk-999999", Team: "red", Tasks: 1, TaskDemand: quota.Quantity{MilliCPU: 40_000}})
		s.run(time.Second)
	}
	if got := holder.holder.Status().Teams["red"].Allocated; got.MilliCPU < 30_000 {
		t.Fatalf("the holder has %v of 40 CPUs", got)
	}
	return s, holder
}

// TestIdleUnitsComeBack: what a holder does not use is back within ten seconds once
// other work of the team needs it, whether the holder answers, is dead, stands still,
// or can't be reached; and a holder that was thought dead and is not can do nothing
// with it.
func TestIdleUnitsComeBack(t *testing.T) {
	const bound = 10 * time.Second
	for what, trouble := range map[string]func(*sim, *simNode){
		"answers":          func(*sim, *simNode) {},
		"is dead":          func(s *sim, n *simNode) { s.crash(n, time.Minute) },
		"stands still":     func(s *sim, n *simNode) { s.frozen[n.index] = s.now.Add(20 * time.Second) },
		"can't be reached": func(s *sim, _ *simNode) { s.meshCut = true },
		"and a new leader": func(s *sim, n *simNode) { s.crash(n, time.Minute); s.crash(s.leader(), time.Minute) },
	} {
		for seed := range uint64(2) {
			s, holder := withIdleHolder(t, seed)
			trouble(s, holder)
			job := batch
			job.Tasks, job.CPUs = 9, 4 // 36 of the 40 CPUs
			s.submitAt(50, job, 30*time.Second)
			s.run(bound + 3*time.Second) // and a takeover, where there is one
			l := s.leader()
			if l == nil {
				t.Fatalf("%s: nobody leads", what)
			}
			if left := l.core.term.quotas.Allocated("red"); left.MilliCPU > 4_000 {
				t.Errorf("%s, seed %d: %v of 40 CPUs are still allotted", what, seed, left)
			}
			s.meshCut = false
			s.run(30 * time.Second)
			if err := s.onMachines(); err != nil {
				t.Errorf("%s: %v", what, err)
			}
		}
	}
}

// submitAt submits a job that no holder admits.
func (s *sim) submitAt(n int, spec checkpoint.Spec, run time.Duration) unit.JobID {
	held := make([]*quota.Holder, len(s.nodes))
	for i, node := range s.nodes {
		held[i], node.holder = node.holder, nil
	}
	id := s.submit(n, spec, run)
	for i, node := range s.nodes {
		node.holder = held[i]
	}
	return id
}

// TestCheckFindsHoldersThatOverstep: a holder that reserves more than it was allotted,
// and a leader that allots what another has, are found in what is stored.
func TestCheckFindsHoldersThatOverstep(t *testing.T) {
	teams := simSettings().Params.TeamsByName()
	s, holder := withIdleHolder(t, 1)
	if err := s.checkQuotas(); err != nil {
		t.Fatal(err)
	}
	stamp := holder.holder.Status().ModRevision
	all := []quota.Reservation{{Job: "wk-000007", Team: "red", Tasks: 1, TaskDemand: quota.Quantity{MilliCPU: 41_000}}}
	over, err := quota.NewReservationRecord(stamp, all)
	if err != nil {
		t.Fatal(err)
	}
	put(t, s, quota.ReservationKey(holder.name), over)
	if s.checkQuotas() == nil {
		t.Error("a reservation beyond the allotment is not found")
	}
	s, _ = withIdleHolder(t, 1)
	twice := quota.TeamRecord{SchemaVersion: 1}
	for _, node := range []string{"n0", "n1"} {
		twice.Allocations = append(twice.Allocations, quota.Allocation{Holder: quota.HolderID{Node: node, ModRevision: 1}, Quantity: quota.Quantity{MilliCPU: 30_000}})
	}
	put(t, s, quota.TeamKey("red"), twice)
	if s.checkQuotas() == nil || teams["red"].CPULimit != 40 {
		t.Error("60 of 40 CPUs are allotted, and it is not found")
	}
}

// put stores a value as nobody should.
func put(t *testing.T, s *sim, key string, value any) {
	t.Helper()
	if _, err := s.state.Commit(statestore.Txn{Operations: []statestore.Operation{{SetKey: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}
