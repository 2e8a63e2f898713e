package scheduler

import (
	"math"

	"badgerbay/internal/ident"
	"badgerbay/internal/roundlog"

	"badgerbay/internal/jobs"
)

func (p *planner) zoneCount(j *jobs.Job, z ident.Zone) int {
	return j.PlacementsByZone[z] + p.plannedByZone[j][z]
}

// zoneRoom tells how many more tasks of the job may be in the zone, given
// where its other tasks are or are about to be.
func (p *planner) zoneRoom(j *jobs.Job, z ident.Zone) int {
	// A machine whose zone is not known yet may be in any.
	if j.PlacementsByZone[""] > 0 && (j.Spec.ZoneAffinity || j.Spec.ZoneSpread) {
		return 0
	}
	if j.Spec.ZoneAffinity {
		for other, n := range j.PlacementsByZone {
			if n > 0 && other != z {
				return 0
			}
		}
		for other, n := range p.plannedByZone[j] {
			if n > 0 && other != z {
				return 0
			}
		}
	}
	if !j.Spec.ZoneSpread {
		return math.MaxInt32
	}
	return max(0, j.Spec.MaxTasksPerZone()-p.zoneCount(j, z))
}

// placeJob starts as many of the job's tasks as fit, and returns how many that
// could start by its limits found no room.
func (p *planner) placeJob(t queueEntry) int {
	j := t.job
	if j.Spec.Gang {
		return p.placeGang(t)
	}
	left := j.Queue.Len() - p.claimedTasks[j].Len()
	p.recordReservationBlocked(j, left)
	left = min(left, p.tasksWithinQuota(j))
	if t.guaranteed {
		left = min(left, p.tasksWithinGuarantee(j))
	}
	if t.aged {
		left = min(left, p.agedTasks(j))
	}
	if left <= 0 || p.recordFull {
		return 0
	}
	tasks := p.claimTasks(j, left, t.aged)
	p.placingAged = t.aged
	bins := p.rankMachines(j)
	rushed := false
	for _, b := range bins {
		if !rushed && !b.machine.HasImage(j.Spec.Image) && p.fetchTooSlow(j, b) {
			// The fetch alone would take too long: rather stop something
			// where the image is.
			rushed = true
			tasks = tasks[p.preempt(j, len(tasks), true):]
		}
		if len(tasks) == 0 || p.recordFull {
			break
		}
		n := min(len(tasks), b.free.MaxCopies(j.Spec.TaskResources()), p.zoneRoom(j, b.zone))
		if p.limitedToOneTask(j, b) {
			n = min(n, 1-min(1, p.startedTasks[j]))
		}
		if n = j.FittingTasks(p.recordRoom(j), b.machine.ID, n); n > 0 {
			n = p.startTasks(j, b, tasks[:n])
			tasks = tasks[n:]
		}
	}
	n := min(len(tasks), j.FittingSingleTasks(p.recordRoom(j)))
	if n == 0 || p.recordFull {
		return 0
	}
	if t.aged {
		p.reserveMachines(j, n)
	}
	return p.handleUnplaced(j, n, t.guaranteed)
}

// fetchTooSlow tells whether the job must start sooner than the bin's machine could
// fetch its image.
func (p *planner) fetchTooSlow(j *jobs.Job, b *candidateMachine) bool {
	within := p.snapshot.Objectives[j.Spec.Class].StartWithin.Seconds()
	return within > 0 && j.Spec.Priority >= jobs.PriorityHigh && b.machineType.FetchGBps > 0 && j.Spec.ImageGB/b.machineType.FetchGBps > within
}

// startTasks adds a group to the record, as far as the record has room, and
// returns how many tasks it took.
func (p *planner) startTasks(j *jobs.Job, b *candidateMachine, tasks []ident.TaskIndex) int {
	st := newStart(j, b, tasks)
	// Room is kept for one rental.
	if p.recordSize+st.MaxJSONSize()+2*roundlog.MaxProvisionJSONSize > p.snapshot.ValueBytes {
		p.recordFull = true
		return 0
	}
	p.addStart(j, b, st, len(tasks))
	return len(tasks)
}

// addStart adds a start of n tasks to the record.
func (p *planner) addStart(j *jobs.Job, b *candidateMachine, st roundlog.Start, n int) {
	p.recordSize += st.MaxJSONSize()
	p.plan.Record.Starts = append(p.plan.Record.Starts, st)
	b.receivesTasks = true
	p.startedTasks[j] += n
	p.recordRooms[j] -= j.GroupBytes(b.machine.ID, n)
	p.allocate(j, b, n)
}

func newStart(j *jobs.Job, b *candidateMachine, tasks []ident.TaskIndex) roundlog.Start {
	st := roundlog.Start{Job: j.ID, Machine: b.machine.ID, Session: b.machine.Session}
	for _, i := range tasks {
		st.Tasks.Add(i)
	}
	return st
}

// recordRoom is what the job's record still holds, with what this plan has started.
func (p *planner) recordRoom(j *jobs.Job) jobs.SpareBytes {
	r, ok := p.recordRooms[j]
	if !ok {
		r = j.SpareBytes(p.snapshot.ValueBytes, p.snapshot.MaxJobValues, p.snapshot.SpecJSONSize(j))
		p.recordRooms[j] = r
	}
	return r
}

func (p *planner) allocate(j *jobs.Job, b *candidateMachine, n int) {
	b.free = b.free.Sub(j.Spec.TaskResources().Multiply(n))
	if j.Spec.Service {
		p.plannedReplicas[b] += n
	}
	p.countPlaced(j, b, n)
}

// countPlaced counts n tasks of the job as being on the bin's machine.
func (p *planner) countPlaced(j *jobs.Job, b *candidateMachine, n int) {
	p.usage[j.Spec.Team] = p.usage[j.Spec.Team].Add(j.Spec.TaskResources().Multiply(n))
	p.useReservation(j, n)
	if p.plannedByZone[j] == nil {
		p.plannedByZone[j] = map[ident.Zone]int{}
	}
	p.plannedByZone[j][b.zone] += n
}

// handleUnplaced handles tasks that fit no free machine: room is made for them by
// stopping others where the rules allow it; else they wait for machines that
// are coming. It returns how many need a machine rented.
func (p *planner) handleUnplaced(j *jobs.Job, n int, guaranteed bool) int {
	p.plan.UnplacedTasks += n
	p.demand[j.Spec.Class] += n
	if guaranteed || p.mayPreempt(j) {
		n -= p.preempt(j, n, false)
	}
	need := j.Spec.TaskResources()
	for _, b := range p.pending {
		if n == 0 {
			break
		}
		// Work that can wait does not count on dear machines: they were rented
		// for what can't.
		if !b.free.Fits(need) || !j.Spec.AllowsMachine(b.machineType.Name, b.zone, b.spot) || !p.hasGuarantees && !p.worthProvisioning(j, b.machineType, b.spot) {
			continue
		}
		k := min(n, b.free.MaxCopies(j.Spec.TaskResources()), p.zoneRoom(j, b.zone))
		if p.needsOnlyOneStart(j) && !p.isCheap(j, b.machineType, b.spot) {
			k = min(k, 1-min(1, p.tasksAwaitingMachines[j]))
		}
		p.tasksAwaitingMachines[j] += k
		p.allocate(j, b, k)
		n -= k
	}
	return n
}
