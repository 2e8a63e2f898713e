package round

import (
	"math"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

func (p *planner) zoneCount(j *checkpoint.Job, z unit.Zone) int {
	return j.PlacementsByZone[z] + p.added[j][z]
}

// zoneRoom tells how many more tasks of the job may be in the zone, given
// where its other tasks are or are about to be.
func (p *planner) zoneRoom(j *checkpoint.Job, z unit.Zone) int {
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
		for other, n := range p.added[j] {
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
func (p *planner) placeJob(t turn) int {
	j := t.job
	if j.Spec.Gang {
		return p.placeGang(t)
	}
	left := j.Queue.Len() - p.claimed[j].Len()
	p.noteBlocked(j, left)
	left = min(left, p.quota(j))
	if t.guaranteed {
		left = min(left, p.guaranteed(j))
	}
	if t.first {
		left = min(left, p.firstTasks(j))
	}
	if left <= 0 || p.full {
		return 0
	}
	tasks := p.claim(j, left, t.first)
	p.first = t.first
	bins := p.ranked(j)
	rushed := false
	for _, b := range bins {
		if !rushed && !b.m.HasImage(j.Spec.Image) && p.rush(j, b) {
			// The fetch alone would take too long: rather stop something
			// where the image is.
			rushed = true
			tasks = tasks[p.makeRoom(j, len(tasks), true):]
		}
		if len(tasks) == 0 || p.full {
			break
		}
		n := min(len(tasks), b.free.MaxCopies(j.Spec.TaskResources()), p.zoneRoom(j, b.zone))
		if p.onlyOne(j, b) {
			n = min(n, 1-min(1, p.began[j]))
		}
		if n = j.FittingTasks(p.room(j), b.m.ID, n); n > 0 {
			n = p.start(j, b, tasks[:n])
			tasks = tasks[n:]
		}
	}
	n := min(len(tasks), j.FittingSingleTasks(p.room(j)))
	if n == 0 || p.full {
		return 0
	}
	if t.first {
		p.reserve(j, n)
	}
	return p.noRoom(j, n, t.guaranteed)
}

// rush tells whether the job must start sooner than the bin's machine could
// fetch its image.
func (p *planner) rush(j *checkpoint.Job, b *bin) bool {
	within := p.w.Expect[j.Spec.Class].Start.Seconds()
	return within > 0 && j.Spec.Priority >= checkpoint.PriorityHigh && b.typ.FetchGBps > 0 && j.Spec.ImageGB/b.typ.FetchGBps > within
}

// start adds a group to the record, as far as the record has room, and
// returns how many tasks it took.
func (p *planner) start(j *checkpoint.Job, b *bin, tasks []unit.TaskIndex) int {
	st := startOf(j, b, tasks)
	// Room is kept for one rental.
	if p.size+st.SizeOf()+2*hireSize > p.w.ValueBytes {
		p.full = true
		return 0
	}
	p.record(j, b, st, len(tasks))
	return len(tasks)
}

// record adds a start of n tasks to the record.
func (p *planner) record(j *checkpoint.Job, b *bin, st Start, n int) {
	p.size += st.SizeOf()
	p.plan.Record.Starts = append(p.plan.Record.Starts, st)
	b.started = true
	p.began[j] += n
	p.rooms[j] -= j.GroupBytes(b.m.ID, n)
	p.take(j, b, n)
}

func startOf(j *checkpoint.Job, b *bin, tasks []unit.TaskIndex) Start {
	st := Start{Job: j.ID, Machine: b.m.ID, Session: b.m.Session}
	for _, i := range tasks {
		st.Tasks.Add(i)
	}
	return st
}

// room is what the job's record still holds, with what this plan has started.
func (p *planner) room(j *checkpoint.Job) checkpoint.SpareBytes {
	r, ok := p.rooms[j]
	if !ok {
		r = j.SpareBytes(p.w.ValueBytes, p.w.Parts, p.w.SpecSize(j))
		p.rooms[j] = r
	}
	return r
}

func (p *planner) take(j *checkpoint.Job, b *bin, n int) {
	b.free = b.free.Sub(j.Spec.TaskResources().Multiply(n))
	if j.Spec.Service {
		p.placed[b] += n
	}
	p.count(j, b, n)
}

// count counts n tasks of the job as being on the bin's machine.
func (p *planner) count(j *checkpoint.Job, b *bin, n int) {
	p.usage[j.Spec.Team] = p.usage[j.Spec.Team].Add(j.Spec.TaskResources().Multiply(n))
	p.cover(j, n)
	if p.added[j] == nil {
		p.added[j] = map[unit.Zone]int{}
	}
	p.added[j][b.zone] += n
}

// noRoom handles tasks that fit no free machine: room is made for them by
// stopping others where the rules allow it; else they wait for machines that
// are coming. It returns how many need a machine rented.
func (p *planner) noRoom(j *checkpoint.Job, n int, guaranteed bool) int {
	p.plan.Short += n
	p.demand[j.Spec.Class] += n
	if guaranteed || p.mayPreempt(j) {
		n -= p.makeRoom(j, n, false)
	}
	need := j.Spec.TaskResources()
	for _, b := range p.come {
		if n == 0 {
			break
		}
		// Work that can wait does not count on dear machines: they were rented
		// for what can't.
		if !b.free.Fits(need) || !j.Spec.AllowsMachine(b.typ.Name, b.zone, b.spot) || !p.guards && !p.worth(j, b.typ, b.spot) {
			continue
		}
		k := min(n, b.free.MaxCopies(j.Spec.TaskResources()), p.zoneRoom(j, b.zone))
		if p.needsOnlyBegin(j) && !p.isCheap(j, b.typ, b.spot) {
			k = min(k, 1-min(1, p.promised[j]))
		}
		p.promised[j] += k
		p.take(j, b, k)
		n -= k
	}
	return n
}
