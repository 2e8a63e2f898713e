package round

import (
	"slices"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
)

// gangPart is what of a gang goes to one machine.
type gangPart struct {
	b     *bin
	tasks []unit.TaskIndex
}

// placeGang starts a gang whole, or not at all. One that does not fit holds what
// is free or coming in one zone, as long as that zone can hold it, so that tasks
// that come one by one do not fill each hole before it. It returns how many
// tasks machines must be rented for: those of the whole gang that its zone lacks.
func (p *planner) placeGang(j *checkpoint.Job) int {
	n := j.Queue.Len()
	// What is left of an earlier attempt must be over first: it stays on its
	// machines, and in its zone.
	if len(j.Live) > 0 || p.full {
		return 0
	}
	if may := p.quota(j); may < n {
		// It holds no machine, but what is left of its team's limit: else tasks
		// of its team that come one by one would take each bit as it comes free.
		p.usage[j.Spec.Team] = p.usage[j.Spec.Team].Plus(j.Spec.Need().Times(may))
		return 0
	}
	if parts := p.fitGang(j, p.ranked(j)); parts != nil {
		for _, part := range parts {
			p.start(j, part.b, part.tasks)
		}
		return 0
	}
	p.plan.Short += n
	p.demand[j.Spec.Class] += n
	return p.holdForGang(j, n)
}

// gangZones are the zones that a gang may be in, one for each choice; "" stands
// for all together.
func (p *planner) gangZones(j *checkpoint.Job) []unit.Zone {
	switch {
	case !j.Spec.OneZone:
		return []unit.Zone{""}
	case j.Spec.Zone != "":
		return []unit.Zone{j.Spec.Zone}
	}
	return p.w.Zones
}

// fitGang finds room for all tasks of a gang, in one zone if it must be, within
// what the job's record and the round's still hold. It returns nil if there is
// none. bins are in the order of preference; the zone of the first that holds
// the gang is taken.
func (p *planner) fitGang(j *checkpoint.Job, bins []*bin) []gangPart {
	zones := p.gangZones(j)
	if j.Spec.OneZone {
		zones = nil
		for _, b := range bins {
			if !slices.Contains(zones, b.zone) {
				zones = append(zones, b.zone)
			}
		}
	}
	for _, z := range zones {
		if parts := p.fitGangIn(j, bins, z); parts != nil {
			return parts
		}
	}
	return nil
}

func (p *planner) fitGangIn(j *checkpoint.Job, bins []*bin, zone unit.Zone) []gangPart {
	var tasks []unit.TaskIndex
	j.Queue.Each(func(i unit.TaskIndex) bool { tasks = append(tasks, i); return true })
	var parts []gangPart
	room, size, used := p.room(j), p.size, map[unit.Zone]int{}
	for _, b := range bins {
		if zone != "" && b.zone != zone {
			continue
		}
		n := min(len(tasks), fitCount(b.free, j.Spec.Need()), p.zoneRoom(j, b.zone)-used[b.zone])
		n = j.Fit(room, b.m.ID, n)
		if n <= 0 {
			continue
		}
		st := startOf(j, b, tasks[:n])
		size += st.SizeOf()
		if size+2*hireSize > p.w.ValueBytes {
			return nil
		}
		parts = append(parts, gangPart{b, tasks[:n]})
		used[b.zone] += n
		room -= j.Cost(b.m.ID, n)
		if tasks = tasks[n:]; len(tasks) == 0 {
			return parts
		}
	}
	return nil
}

// holdForGang picks the zone that lacks least for a gang and keeps what is free
// and coming there for it. It returns for how many tasks machines are missing,
// and notes that these must be rented in that zone.
func (p *planner) holdForGang(j *checkpoint.Job, n int) int {
	best, zone, found := -1, unit.Zone(""), false
	for _, z := range p.gangZones(j) {
		have := p.gangRoom(j, z)
		// Where it can't be completed it holds nothing, unless machines that
		// others use now are enough for it.
		if have < n && !p.canRent(j, z) && p.gangCapacity(j, z) < n {
			continue
		}
		if have > best {
			best, zone, found = have, z, true
		}
	}
	if !found {
		return 0
	}
	if best < n && p.mayPreempt(j) {
		p.makeRoomForGang(j, zone, n-best)
	}
	p.keepForGang(j, zone, n)
	p.gangZone[j] = zone
	return max(0, n-best)
}

// eachGangBin calls f for the machines of a zone that the gang may use, those
// that are up first.
func (p *planner) eachGangBin(j *checkpoint.Job, zone unit.Zone, f func(*bin)) {
	for _, bins := range [][]*bin{p.bins, p.come} {
		for _, b := range bins {
			if (zone == "" || b.zone == zone) && p.allowed(j, b) && (b.m == nil || p.mayUse(j, b)) {
				f(b)
			}
		}
	}
}

// gangRoom is for how many tasks of a gang a zone has, or will have, free room.
func (p *planner) gangRoom(j *checkpoint.Job, zone unit.Zone) int {
	in := map[unit.Zone]int{}
	p.eachGangBin(j, zone, func(b *bin) {
		in[b.zone] = min(p.zoneRoom(j, b.zone), in[b.zone]+fitCount(b.free, j.Spec.Need()))
	})
	sum := 0
	for _, n := range in {
		sum += n
	}
	return sum
}

// gangCapacity is how many tasks of a gang a zone would hold if it were empty.
func (p *planner) gangCapacity(j *checkpoint.Job, zone unit.Zone) int {
	sum := 0
	p.eachGangBin(j, zone, func(b *bin) { sum += fitCount(b.typ.Capacity, j.Spec.Need()) })
	return sum
}

// canRent tells whether a machine for the gang may be rented in the zone.
func (p *planner) canRent(j *checkpoint.Job, zone unit.Zone) bool {
	can := false
	p.eachOffer(j, func(o rental.Offer, t *fleet.Type) {
		can = can || (zone == "" || o.Zone == zone) && !p.w.Blocked(o) && t.Capacity.Fits(j.Spec.Need()) && p.worth(j, t, o.Spot)
	})
	return can
}

// keepForGang keeps room for up to n tasks of a gang from what is planned after
// it. It starts nothing.
func (p *planner) keepForGang(j *checkpoint.Job, zone unit.Zone, n int) {
	p.eachGangBin(j, zone, func(b *bin) {
		if k := min(n, fitCount(b.free, j.Spec.Need())); k > 0 {
			n -= k
			b.free = b.free.Minus(j.Spec.Need().Times(k))
		}
	})
}

// makeRoomForGang stops what yields to a gang in one zone, if that makes room
// for all n tasks that lack it: a part would be stopped for nothing.
func (p *planner) makeRoomForGang(j *checkpoint.Job, zone unit.Zone, n int) {
	yields := 0
	p.eachGangBin(j, zone, func(b *bin) {
		if b.m != nil {
			free := b.free.Plus(b.later)
			yields += fitCount(free.Plus(p.below(&j.Spec, b)), j.Spec.Need()) - fitCount(b.free, j.Spec.Need())
		}
	})
	if yields < n {
		return
	}
	there := *j // the same gang, bound to the zone
	if zone != "" {
		there.Spec.Zone = zone
	}
	p.makeRoom(&there, n, false)
}
