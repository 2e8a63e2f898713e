package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// jobInfo is what the users and the checks know of a job.
type jobInfo struct {
	id       string
	spec     jobs.Spec
	run      time.Duration // of each task; 0: until the job is cancelled
	done     map[ident.TaskIndex]bool
	accepted bool
	cancelAt time.Time // when the user first asked to cancel it
	// final is the first final state that its user was told, and finalAt when the answer arrived.
	final   string
	finalAt time.Time
	started int // starts of tasks
}

// world holds the machines, the cloud, the jobs and what the rules need.
type world struct {
	clock  clock.Clock
	params params
	log    *recorder
	nodes  []*node
	state  *stateService
	cloud  *cloudService

	mu       sync.Mutex
	machines *fake.Cloud
	running  map[ident.MachineID]*machine
	jobs     map[ident.JobID]*jobInfo
	places   map[ident.TaskID]ident.MachineID // where each started task is
	usage    map[ident.Team]float64           // CPUs of started tasks
	broken   []string                         // rules that were broken
	fetch    time.Duration
	repeats  func() bool // whether a message is delivered again later; nil: never
}

// later calls a function after a random time of up to half a minute.
func later(ctx context.Context, f func()) {
	go func() {
		if sleep(ctx, time.Duration(rand.IntN(30_000))*time.Millisecond) {
			f()
		}
	}()
}

func newWorld(p params, log *recorder, types []*fleet.MachineType, capacity map[cloud.Offer]int) *world {
	w := &world{clock: clock.NewSystem(), params: p, log: log, machines: fake.NewCloud(types, capacity), running: map[ident.MachineID]*machine{},
		jobs: map[ident.JobID]*jobInfo{}, places: map[ident.TaskID]ident.MachineID{}, usage: map[ident.Team]float64{}, fetch: 300 * time.Millisecond}
	return w
}

// breach records a broken rule; the caller holds the lock of the world.
func (w *world) breach(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.log.add("RULE BROKEN %s", text)
}

func (w *world) nodeIndex(label string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.label == label })
}

// run boots machines and advances the tasks until ctx ends.
func (w *world) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		now := w.clock.Now()
		w.machines.StartReadyWorkers(now, func(m *fake.Machine) *fake.Worker {
			worker := fake.NewWorker(m.ID, w.machines.Type(m.Offer.Type), m.Offer.Zone, m.Offer.Spot, clock.Seconds(w.params.Workers.LeaseS), now)
			worker.FetchTime, worker.Spec, worker.OnTaskChange, worker.OnExit = w.fetch, w.specOf, w.taskChanged, w.taskExited
			if err := w.startMachine(ctx, worker); err != nil {
				w.log.add("machine %s did not start: %v", m.ID, err)
			}
			return worker
		})
		var workers []*fake.Worker
		for _, id := range slices.Sorted(maps.Keys(w.running)) {
			m := w.running[id]
			if m.hung {
				m.worker.ExpireLease(now)
				continue
			}
			m.worker.Advance(now)
			workers = append(workers, m.worker)
		}
		fake.AdvanceGangs(now, workers, clock.Seconds(w.params.Workers.GangWaitS), clock.Seconds(w.params.Workers.GangPeerS),
			func(ident.MachineID) bool { return false })
		w.checkCancelled()
		w.cloud.snapshot()
		w.mu.Unlock()
		time.Sleep(25 * time.Millisecond)
	}
}

func (w *world) specOf(id ident.JobID) (*jobs.Spec, time.Duration, bool) {
	j := w.jobs[id]
	if j == nil {
		return nil, 0, false
	}
	return &j.spec, j.run, true
}

// taskChanged checks the rules at the start of a task, and notes its end.
func (w *world) taskChanged(_ clock.Instant, worker *fake.Worker, id ident.TaskID, started bool) {
	j := w.jobs[id.Job]
	team := j.spec.Team
	if !started {
		w.log.add("task %v off %s", id, worker.ID)
		if w.places[id] == worker.ID {
			delete(w.places, id)
		}
		w.usage[team] -= j.spec.CPUs
		return
	}
	w.log.add("task %v on %s (%s)", id, worker.ID, worker.Zone)
	j.started++
	if other, ok := w.places[id]; ok {
		w.breach("ran_twice", "%v starts on %s while it is on %s", id, worker.ID, other)
	}
	w.places[id] = worker.ID
	w.usage[team] += j.spec.CPUs
	for _, t := range w.params.Teams {
		if t.Name == string(team) && t.CPUsMax > 0 && w.usage[team] > t.CPUsMax+1e-6 {
			w.breach("quota", "team %s uses %v of %v CPUs as %v starts", team, w.usage[team], t.CPUsMax, id)
		}
	}
	if !j.spec.AllowsMachine(worker.Type.Name, worker.Zone, worker.Spot) {
		w.breach("wrong_place", "%v starts on %s, %s in %s, loaner %v", id, worker.ID, worker.Type.Name, worker.Zone, worker.Spot)
	}
	zones := map[ident.Zone]int{}
	for other, place := range w.places {
		if m := w.running[place]; other.Job == id.Job && m != nil {
			zones[m.worker.Zone]++
		}
	}
	if j.spec.ZoneAffinity && len(zones) > 1 || zones[worker.Zone] > j.spec.MaxTasksPerZone() {
		w.breach("wrong_place", "%v starts on %s in %s, the tasks of the job are in %v", id, worker.ID, worker.Zone, zones)
	}
	if limit := clock.Seconds(w.params.Workers.CancelS); j.final == "cancelled" && time.Since(j.finalAt) > limit {
		w.breach("ran_cancelled", "%v starts on %s, %v after its user was told", id, worker.ID, time.Since(j.finalAt))
	}
}

func (w *world) taskExited(id ident.TaskID, t *fake.Task) {
	if j := w.jobs[id.Job]; t.Cause == fleet.ExitDone {
		j.done[id.Index] = true
		for i := 0; j.spec.Gang && i < j.spec.Tasks; i++ { // the tasks of a gang complete together
			j.done[ident.TaskIndex(i)] = true
		}
	}
	w.log.add("task %v exits: %s", id, t.Cause)
}

// checkCancelled checks that no task of a cancelled job is on a machine after cancel_s.
func (w *world) checkCancelled() {
	limit := clock.Seconds(w.params.Workers.CancelS)
	for id, place := range w.places {
		j := w.jobs[id.Job]
		if j.final == "cancelled" && time.Since(j.finalAt) > limit {
			w.breach("ran_cancelled", "%v is on %s %v after its user was told", id, place, time.Since(j.finalAt))
			delete(w.places, id)
		}
	}
}
