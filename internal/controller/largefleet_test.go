package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/peer"
)

// largeFleetMachines is how many machines the service must be able to run.
const largeFleetMachines = 4000

// lostSessions counts the workers that have lost a lease.
func (s *simulation) lostSessions() int {
	n := 0
	for _, h := range s.cloud.Machines {
		if h.Worker != nil && h.Worker.Session > 1 {
			n++
		}
	}
	return n
}

// TestFourThousandMachines starts a service that rents some 4,000 machines, takes
// it over with all of them reconnecting after every node has crashed, and lets a
// third of them die together. Nobody may lose a lease by it. In the end all jobs are
// cancelled at once, and their tasks are gone in time.
func TestFourThousandMachines(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 4000)
	s.scaleCloud([]ident.Zone{"a", "b"}, largeFleetMachines)
	s.settings.Params.Workers.HeartbeatSeconds = 5
	s.settings.Params.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	array, replicas := arraySpec, serviceSpec
	array.Tasks, array.CPUs, array.EstimatedRunSeconds, array.Priority = 400, 4, 100, jobs.PriorityHigh
	replicas.Tasks = 20
	for i := range 26 {
		s.submit(2*i, array, 100*time.Second)
		s.submit(2*i+1, replicas, 0)
	}
	s.runFor(70 * time.Second)
	up := 0
	for _, h := range s.cloud.Machines {
		if h.Worker != nil {
			up++
		}
	}
	if up < largeFleetMachines*9/10 {
		t.Fatalf("%d machines are up after 70 s", up)
	}
	for _, n := range s.nodes {
		s.crash(n, 3*time.Second)
	}
	s.runFor(25 * time.Second)
	if l := s.leader(); l == nil || !l.core.term.recovery.schedulingOpen {
		t.Fatal("nobody leads and places 22 s after all nodes were back")
	}
	if lost := s.lostSessions(); lost > 0 {
		t.Errorf("%d machines lost their leases as all nodes crashed", lost)
	}
	s.forThirdOfMachines(s.reclaimMachine)
	s.runFor(20 * time.Second)
	if lost := s.lostSessions(); lost > 0 {
		t.Errorf("%d machines lost their leases as a third of them died", lost)
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		s.cancelJob(id)
	}
	s.runFor(s.settings.Params.Workers.CancelTimeout())
	for id, j := range s.jobs {
		if !j.isOver() || s.hasRunningTasks(id) {
			t.Errorf("%s is %q, tasks of it on machines: %v", id, j.reportedState, s.hasRunningTasks(id))
		}
	}
}

// TestListOfFourThousandMachines: the list comes in pages within the cloud's call
// rate, and is whole before anything is taken for gone. A rate of one call a second
// leaves room for it too.
func TestListOfFourThousandMachines(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{1, 2, 5} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, 3)
			s.settings.Params.Cloud = config.Cloud{RPS: rate, ListLagSeconds: 1}
			for _, n := range s.nodes {
				s.startNode(n)
			}
			offer := cloud.Offer{Type: "large", Zone: "a"}
			s.cloud.Capacity[offer] = 400
			s.cloud.BootTime = func() time.Duration { return time.Hour }
			if _, err := s.cloud.Provision(s.now, "by-hand", offer, 400); err != nil {
				t.Fatal(err)
			}
			s.runFor(40 * time.Second)
			l := s.leader()
			if l == nil || !l.core.term.provisioner.hasListed() {
				t.Fatal("the list was not read within 40 s")
			}
			if n := l.core.term.fleet.Len(); n != 400 {
				t.Errorf("%d of 400 machines are known, listed %d a page", n, machineListPageSize)
			}
		})
	}
}

// TestDelegationExcludingFourThousandMachines: a grant names every machine that must end
// something, in one message; where it could not, none would be given.
func TestDelegationExcludingFourThousandMachines(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, largeFleetMachines)
	job := jobs.NewJob("wk-000001", jobs.NewRecord(arraySpec, 0), 1, g.now)
	job.Phase = jobs.PhaseCancelled
	g.core.term.jobs.byID[job.ID] = job
	for i := range g.machines {
		p := &jobs.Placement{Job: job, Task: ident.TaskIndex(i), Machine: g.machines[i].Machine, Session: 1, Attempt: 1}
		g.core.term.fleet.Place(g.now, p)
	}
	status := g.core.term.delegationGrant(10)
	if status.GrantDuration == 0 || len(status.ExcludedMachines) != largeFleetMachines {
		t.Errorf("a grant of %v without %d machines", status.GrantDuration, len(status.ExcludedMachines))
	}
	keeper := leasedelegation.NewDelegate("a", g.core.settings.Params.Workers, g.now)
	grant, err := peer.PackDelegationStatus(status).Unpack()
	if err != nil {
		t.Fatal(err)
	}
	keeper.AcceptStatus(g.now, grant)
	late := g.now.Add(10 * time.Second)
	for _, m := range []*fleet.Heartbeat{g.machines[0], g.machines[largeFleetMachines-2]} {
		if v := keeper.Decide(late, leasedelegation.NodeIsolated, m); v == leasedelegation.RenewLease {
			t.Errorf("%s is kept, with a task that must end", m.Machine)
		}
	}
}

// BenchmarkFailover shows what reading the records of a large cluster costs, and what
// all machines reporting for the first time after it does.
func BenchmarkFailover(b *testing.B) {
	for _, n := range []int{100, 1500, largeFleetMachines} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newCoreFixture(b, n)
			g.fillMachines(n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				g.step(ElectionInput{election.LeadershipLost{}})
				g.becomeLeader()
				for i := range g.machines {
					g.sendHeartbeat(i)
				}
			}
		})
	}
}
