package controller

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/metrics"
	"badgerbay/internal/policy"
)

// coreFixture is the core of a leader with many machines. Once fillMachines has been called, the machines run service
// replicas and the tasks of array jobs.
type coreFixture struct {
	core                 *Core
	now                  clock.Instant
	revision             ident.Revision
	machines             []*fleet.Heartbeat
	advanceCount         int
	unresponsiveMachines map[int]bool // machines that send no heartbeats and answer no commands; keyed by index
}

func (g *coreFixture) Now() clock.Instant { return g.now }
func (g *coreFixture) Wall() time.Time    { return time.UnixMilli(1_700_000_000_000 + int64(g.now)/1e6) }

func newCoreFixture(tb testing.TB, machines int) *coreFixture {
	pol, err := policy.Default()
	if err != nil {
		tb.Fatal(err)
	}
	set := simulationSettings()
	set.Params.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	set.Params.Workers.HeartbeatSeconds = 5
	g := &coreFixture{now: clock.Instant(time.Hour), revision: 10}
	g.core = NewCore(set, pol, g, kvstore.NewBudget(3, 150, 20), rand.New(rand.NewPCG(1, 2)),
		slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.New())
	g.core.machineTypes = []*fleet.MachineType{
		{Name: "small", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 16}, CacheGB: 50, FetchGBps: 0.2, HourlyPrice: 0.24, HourlySpotPrice: 0.07, BootTime: 40 * time.Second, Zones: []ident.Zone{"a", "b"}},
		{Name: "large", Capacity: jobs.Resources{CPUs: 16, MemoryGB: 64}, CacheGB: 80, FetchGBps: 0.6, HourlyPrice: 1, HourlySpotPrice: 0.3, BootTime: 15 * time.Second, Zones: []ident.Zone{"a", "b"}}}
	g.step(Tick{})
	g.becomeLeader()
	for i := range machines {
		zone := ident.Zone([]string{"a", "b"}[i%2])
		typ := ident.MachineType("small")
		if i%4 == 0 {
			typ = "large"
		}
		g.machines = append(g.machines, &fleet.Heartbeat{Machine: ident.MachineID(fmt.Sprintf("host-%06d", i)),
			Addr: "127.0.0.1:1", Type: typ, Zone: zone, Spot: i%3 == 0, Session: 1, FencingToken: 10})
	}
	for i := range machines {
		g.sendHeartbeat(i)
	}
	return g
}

// becomeLeader makes the core the leader of a cluster without stored records.
func (g *coreFixture) becomeLeader() {
	g.step(ElectionInput{election.LeaderKeysRead{OK: true}})
	g.step(ElectionInput{election.LeaseGranted{OK: true, LeaseID: 1, SentAt: g.now}})
	g.step(ElectionInput{election.LeaderKeyAcquired{Outcome: election.OutcomeOK, Epoch: 10}})
	g.step(RecordsRead{Epoch: 10, OK: true})
}

// step passes an input to the core and simulates the state service and the workers: every transaction commits, and
// every task that is started runs.
func (g *coreFixture) step(in Input) {
	queue := []Input{in}
	for len(queue) > 0 {
		for _, e := range g.core.Step(g.now, queue[0]) {
			switch e := e.(type) {
			case CommitTransaction:
				g.revision++
				queue = append(queue, TransactionCompleted{Kind: e.Kind, Epoch: e.Epoch, Revision: g.revision})
			case SendCommands:
				queue = append(queue, g.executeCommand(e))
			case ReadQuotaRecords:
				queue = append(queue, QuotaRecordsRead{Epoch: e.Epoch, OK: true})
			case ElectionEffect:
				if r, ok := e.Effect.(election.RenewLease); ok && r.LeaseID != 0 {
					queue = append(queue, ElectionInput{election.LeaseRenewed{LeaseID: r.LeaseID, SentAt: g.now}})
				}
			}
		}
		queue = queue[1:]
	}
}

func (g *coreFixture) executeCommand(e SendCommands) CommandsAcknowledged {
	var i int
	fmt.Sscanf(string(e.Machine), "host-%d", &i)
	if g.unresponsiveMachines[i] {
		return CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch}
	}
	r := g.machines[i]
	next := *r
	next.HeartbeatSeq++
	next.Tasks = append([]fleet.TaskStatus(nil), r.Tasks...)
	for _, o := range e.Commands {
		if o.Kind == fleet.CommandStart {
			next.Tasks = append(next.Tasks, fleet.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: "running"})
		}
	}
	g.machines[i] = &next
	return CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch, Heartbeat: &next}
}

func (g *coreFixture) sendHeartbeat(i int) {
	if g.unresponsiveMachines[i] {
		return
	}
	r := *g.machines[i]
	r.HeartbeatSeq++
	g.machines[i] = &r
	g.step(HeartbeatReceived{Heartbeat: &r})
}

func (g *coreFixture) submit(i int, spec jobs.Spec) {
	id := ident.JobID(fmt.Sprintf("wk-%06d", i))
	g.revision++
	data, err := encodeRecord(jobs.NewRecord(spec, g.Wall().UnixMilli()))
	if err != nil {
		panic(err)
	}
	g.step(JobRecordRead{Job: id, OK: true, Item: kvstore.KeyValue{Key: jobs.Key(id), Value: data, ModRevision: g.revision}})
}

// fillMachines submits jobs that use about half of the machines' capacity and advances time until most of their tasks
// have started.
func (g *coreFixture) fillMachines(machines int) {
	service, array := serviceSpec, arraySpec
	service.Team, service.CPUs, service.Tasks = "blue", 1, 4
	array.Team, array.Tasks, array.EstimatedRunSeconds = "red", 40, 60
	for i := range machines / 3 {
		service.Image = ident.Image(fmt.Sprintf("svc-%d", i%12))
		g.submit(2*i, service)
		if i%10 == 0 {
			array.Image = ident.Image(fmt.Sprintf("arr-%d", i%14))
			g.submit(2*i+1, array)
		}
	}
	for range 40 {
		g.advance(time.Second)
	}
}

// advance advances time by d in ticks and delivers the heartbeats that are due.
func (g *coreFixture) advance(d time.Duration) {
	const ticks, interval = 20, 5 // each machine sends a heartbeat in every fifth call
	for k := range ticks {
		g.now = g.now.Add(d / ticks)
		g.step(Tick{})
		for i := (g.advanceCount%interval)*ticks + k; i < len(g.machines); i += interval * ticks {
			g.sendHeartbeat(i)
		}
	}
	g.advanceCount++
}

func encodeRecord(r *jobs.Record) ([]byte, error) { return msgpack.Marshal(r) }

// BenchmarkHeartbeat measures the cost of one heartbeat for a leader, by number of machines.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{10, 100, 1500, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newCoreFixture(b, n)
			g.fillMachines(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				g.now = g.now.Add(4 * time.Millisecond)
				g.sendHeartbeat(i % n)
			}
		})
	}
}

// BenchmarkSimulatedSecond measures the cost of one simulated second for a leader, by number of machines: heartbeats,
// ticks and scheduling rounds, while array jobs are submitted.
func BenchmarkSimulatedSecond(b *testing.B) {
	for _, n := range []int{10, 100, 1500, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newCoreFixture(b, n)
			g.fillMachines(n)
			array := arraySpec
			array.Team, array.Tasks = "red", 60
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if i%5 == 0 {
					g.submit(100_000+i, array)
				}
				g.advance(time.Second)
			}
		})
	}
}
