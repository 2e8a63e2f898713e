package round

import (
	"cmp"
	"slices"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// settled: a replica is moved only after so long, in seconds, since a start
// that is soon undone is no start to its user.
const settled = 40

const (
	// vacatePart: of the machines in use, one in so many is emptied at a time.
	vacatePart = 20
	// headroom is the part of the room for replicas that stays free, so that
	// those that come next need not wait for machines just returned.
	headroom = 0.1
)

// consolidate picks machines with few replicas that all fit on others which
// hold their images. They are emptied, so that they can be returned: replicas
// end one by one, and what is left would keep many machines for little. Tasks
// of arrays on them run to their end.
func (p *planner) consolidate(short []shortage) {
	if !p.w.MayVacate || len(p.missing) > 0 || !p.ampleSlackOnly(short) {
		return
	}
	var inUse, from []*bin
	for _, b := range p.bins {
		l := b.m.Load()
		if l.Tasks > 0 {
			inUse = append(inUse, b)
		}
		if l.Services > 0 && !b.started {
			from = append(from, b)
		}
	}
	slices.SortStableFunc(from, func(x, y *bin) int { return cmp.Compare(x.servicePart(), y.servicePart()) })
	v := &vacation{p: p, free: map[*bin]checkpoint.Resources{}, moved: map[*checkpoint.Job]int{}}
	for _, b := range inUse {
		v.free[b] = b.free
	}
	limit := max(1, len(inUse)/vacatePart)
	for i, b := range from {
		if len(p.plan.Vacate) == limit || i == 2*limit {
			return
		}
		if b.typ.Capacity.CPUs <= p.surplus {
			v.empty(b)
		}
	}
}

// ampleSlackOnly tells whether all work that found no room can wait.
func (p *planner) ampleSlackOnly(short []shortage) bool {
	for _, s := range short {
		if p.slack(s.job) < ampleSlack {
			return false
		}
	}
	return true
}

// servicePart is the part of the bin's machine that its replicas take, about.
func (b *bin) servicePart() float64 {
	return float64(b.m.Load().Services) / max(1, b.typ.Capacity.CPUs)
}

// vacation is the emptying of some machines in one plan.
type vacation struct {
	p     *planner
	free  map[*bin]checkpoint.Resources // of the machines in use that stay
	moved map[*checkpoint.Job]int
	// taken is the room that the replicas of the machine at hand have been given,
	// to be given back if not all of them find some. A copy of all machines for
	// each one that was tried cost 77 MB a plan at 4,000.
	taken []reservation
}

// reservation is room that was set aside on a bin.
type reservation struct {
	b    *bin
	need checkpoint.Resources
}

// empty stops the replicas of a machine if they fit on others in use, with the
// room kept free still there after it.
func (v *vacation) empty(b *bin) {
	live := replicasOf(b)
	if !v.p.movable(live) {
		return
	}
	own := v.free[b]
	delete(v.free, b)
	v.taken = v.taken[:0]
	if !v.fitAll(live, b.zone) || !v.roomLeft(&live[0].Job.Spec) {
		v.giveBack()
		v.free[b] = own
		return
	}
	v.p.surplus -= b.typ.Capacity.CPUs
	v.p.plan.Vacate = append(v.p.plan.Vacate, b.m.ID)
	for _, r := range live {
		v.moved[r.Job]++
		v.p.plan.Stops = append(v.p.plan.Stops, Stop{Placement: r})
	}
}

// fitAll finds a place for each of the replicas.
func (v *vacation) fitAll(live []*checkpoint.Placement, leaves unit.Zone) bool {
	for _, r := range live {
		if !v.fitOne(r.Job, leaves) {
			return false
		}
	}
	return true
}

// giveBack undoes what fitOne has set aside for the machine at hand.
func (v *vacation) giveBack() {
	for _, t := range v.taken {
		v.free[t.b] = v.free[t.b].Add(t.need)
	}
}

func replicasOf(b *bin) []*checkpoint.Placement {
	var out []*checkpoint.Placement
	for _, v := range b.running() {
		if v.Job.Spec.Service {
			out = append(out, v)
		}
	}
	return out
}

func (p *planner) movable(live []*checkpoint.Placement) bool {
	for _, v := range live {
		if v.State != checkpoint.PlacementRunning || v.Stopping || p.w.Now.Sub(v.RunningSince).Seconds() < settled {
			return false
		}
	}
	return true
}

// roomLeft tells whether the machines that stay keep the headroom for replicas
// like these, and the room kept free for the classes that must start fast.
func (v *vacation) roomLeft(spec *checkpoint.Spec) bool {
	var free, all checkpoint.Resources
	for b, room := range v.free {
		if spec.AllowsMachine(b.typ.Name, b.zone, b.spot) {
			free = free.Add(room)
			all = all.Add(b.typ.Capacity)
		}
	}
	if !free.Fits(all.Scale(headroom)) {
		return false
	}
	for _, s := range v.p.w.Spares {
		left := 0
		for b, room := range v.free {
			if s.AllowsMachine(b.typ.Name, b.zone, b.spot) {
				left += room.Add(v.p.below(s, b)).MaxCopies(s.TaskResources())
			}
		}
		if left < v.p.w.Policy.SpareTasks {
			return false
		}
	}
	return true
}

// fitOne finds a place for a replica that leaves the zone. Of a job only one
// replica is moved in a plan, so that its own place in the zone is free again.
func (v *vacation) fitOne(j *checkpoint.Job, leaves unit.Zone) bool {
	if v.moved[j] > 0 {
		return false
	}
	for _, b := range v.p.bins {
		room, ok := v.free[b]
		if ok && room.Fits(j.Spec.TaskResources()) && v.p.allowed(j, b) && b.m.HasImage(j.Spec.Image) &&
			(b.zone == leaves || v.p.zoneRoom(j, b.zone) > 0) {
			v.free[b] = room.Sub(j.Spec.TaskResources())
			v.taken = append(v.taken, reservation{b, j.Spec.TaskResources()})
			return true
		}
	}
	return false
}
