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

// largeFleetMachines is the number of machines that the service must be able to manage.
const largeFleetMachines = 4000

// lostSessions returns the number of workers that have lost a lease, and with it their first session.
func (s *simulation) lostSessions() int {
	n := 0
	for _, h := range s.cloud.Machines {
		if h.Worker != nil && h.Worker.Session > 1 {
			n++
		}
	}
	return n
}

// TestFourThousandMachines checks a fleet of about 4,000 machines: the service rents them, all of them reconnect
// after every node has crashed, and then a third of them are reclaimed together. No other machine may lose its lease.
// At the end all jobs are cancelled at once, and their tasks must end in time.
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
		t.Fatal("no node leads with scheduling open 22 s after all nodes restarted")
	}
	if lost := s.lostSessions(); lost > 0 {
		t.Errorf("%d machines lost their leases when all nodes crashed", lost)
	}
	s.forRandomThirdOfMachines(s.reclaimMachine)
	s.runFor(20 * time.Second)
	if lost := s.lostSessions(); lost > 0 {
		t.Errorf("%d machines lost their leases when a third of the fleet was reclaimed", lost)
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		s.cancelJob(id)
	}
	s.runFor(s.settings.Params.Workers.CancelTimeout())
	for id, j := range s.jobs {
		if !j.isFinished() || s.hasRunningTasks(id) {
			t.Errorf("%s is %q; tasks still running: %v", id, j.reportedState, s.hasRunningTasks(id))
		}
	}
}

// TestPagedMachineListWithinCallRate checks that the machine list is read in pages within the cloud's call rate, and is
// complete before any machine is considered gone. Even a rate of one call per second is sufficient.
func TestPagedMachineListWithinCallRate(t *testing.T) {
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
				t.Fatal("the machine list was not complete within 40 s")
			}
			if n := l.core.term.fleet.Len(); n != 400 {
				t.Errorf("%d of 400 machines are known, with %d machines per page", n, machineListPageSize)
			}
		})
	}
}

// TestDelegationExcludesFourThousandMachines checks that a single message can hold a grant that excludes every
// machine with a task that must end. If the machine IDs did not fit, nothing would be granted.
func TestDelegationExcludesFourThousandMachines(t *testing.T) {
	t.Parallel()
	fixture := newCoreFixture(t, largeFleetMachines)
	job := jobs.NewJob("wk-000001", jobs.NewRecord(arraySpec, 0), 1, fixture.now)
	job.Phase = jobs.PhaseCancelled
	fixture.core.term.jobs.byID[job.ID] = job
	for i := range fixture.machines {
		p := &jobs.Placement{Job: job, Task: ident.TaskIndex(i), Machine: fixture.machines[i].Machine, Session: 1, Attempt: 1}
		fixture.core.term.fleet.AddPlacement(fixture.now, p)
	}
	status := fixture.core.term.delegationGrant(10)
	if status.GrantDuration == 0 || len(status.ExcludedMachines) != largeFleetMachines {
		t.Errorf("the grant lasts %v and excludes %d machines, want more than 0 s and %d machines",
			status.GrantDuration, len(status.ExcludedMachines), largeFleetMachines)
	}
	delegate := leasedelegation.NewDelegate("a", fixture.core.settings.Params.Workers, fixture.now)
	grant, err := peer.PackDelegationStatus(status).Unpack()
	if err != nil {
		t.Fatal(err)
	}
	delegate.AcceptStatus(fixture.now, grant)
	later := fixture.now.Add(10 * time.Second)
	for _, heartbeat := range []*fleet.Heartbeat{fixture.machines[0], fixture.machines[largeFleetMachines-2]} {
		if v := delegate.Decide(later, leasedelegation.NodeIsolated, heartbeat); v == leasedelegation.RenewLease {
			t.Errorf("the lease of %s was renewed although it has a task that must end", heartbeat.Machine)
		}
	}
}

// BenchmarkFailover measures the cost of reading the records of a large cluster and of the first heartbeats of all
// its machines afterwards.
func BenchmarkFailover(b *testing.B) {
	for _, n := range []int{100, 1500, largeFleetMachines} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fixture := newCoreFixture(b, n)
			fixture.fillMachines(n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				fixture.step(ElectionInput{election.LeadershipLost{}})
				fixture.becomeLeader()
				for i := range fixture.machines {
					fixture.sendHeartbeat(i)
				}
			}
		})
	}
}
