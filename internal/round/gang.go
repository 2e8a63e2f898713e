package round

import (
	"cmp"
	"maps"
	"slices"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/parts"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
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
func (p *planner) placeGang(t turn) int {
	j := t.job
	if p.full {
		return 0
	}
	if len(j.Placements) > 0 {
		p.replaceInGang(j)
		return 0
	}
	n := j.Queue.Len()
	p.noteBlocked(j, n)
	if may := p.quota(j); may < n {
		// It holds no machine, but what is left of its team's limit: else tasks
		// of its team that come one by one would take each bit as it comes free.
		p.usage[j.Spec.Team] = p.usage[j.Spec.Team].Add(j.Spec.TaskResources().Multiply(may))
		return 0
	}
	if found := p.fitGang(j, p.ranked(j)); found != nil {
		p.startGang(j, found, 0)
		return 0
	}
	p.plan.Short += n
	p.demand[j.Spec.Class] += n
	return p.holdForGang(j, n, t.guaranteed)
}

// replaceInGang starts the tasks again that a gang lost before it began, under the
// attempt that the others wait in. What is left of any other attempt must be over
// first: it stays on its machines, and in its zone.
func (p *planner) replaceInGang(j *checkpoint.Job) {
	attempt, may := p.w.Replace[j.ID]
	if !may || p.quota(j) < j.Queue.Len() {
		return
	}
	// A machine that still knows an exit of this attempt would ignore the launch.
	bins := slices.DeleteFunc(p.ranked(j), func(b *bin) bool { return b.m.HasAttempt(j.ID, attempt) })
	if found := p.fitGang(j, bins); found != nil {
		p.startGang(j, found, attempt)
	}
}

// startGang records the starts of a gang in an attempt; 0: that of the round. If
// the round has no room left for them, a new one takes them: in one value where
// they fit into one, else in as many as a transaction holds.
func (p *planner) startGang(j *checkpoint.Job, found []gangPart, attempt unit.Attempt) {
	size := wire.PackedLen(len(j.ID)) + 2*hireSize
	var starts []Start
	for _, part := range found {
		st := startOf(j, part.b, part.tasks)
		st.Attempt = attempt
		starts = append(starts, st)
		size += st.nextSize()
	}
	limit := p.w.ValueBytes
	if p.plan.Record.headSize()+size > limit {
		limit = gangBytes(p.w.ValueBytes, p.w.RoundParts)
	}
	if p.size+size > limit && len(p.plan.Record.Starts) > 0 {
		p.full = true
		return
	}
	for i, part := range found {
		p.record(j, part.b, starts[i], len(part.tasks))
	}
}

// gangZones are the zones that a gang may be in, one for each choice; "" stands
// for all together.
func (p *planner) gangZones(j *checkpoint.Job) []unit.Zone {
	switch {
	case !j.Spec.ZoneAffinity:
		return []unit.Zone{""}
	case j.Spec.Zone != "":
		return []unit.Zone{j.Spec.Zone}
	}
	return p.w.Zones
}

// fitGang finds room for all queued tasks of a gang, in one zone if it must be,
// within what the job's record and the round's hold. It returns nil if there is
// none. bins are in the order of preference; the zone of the first that holds the
// gang is taken. Where the records don't hold that many machines, those that take
// most tasks are tried first.
func (p *planner) fitGang(j *checkpoint.Job, bins []*bin) []gangPart {
	if found := p.fitGangZone(j, bins); found != nil {
		return found
	}
	need := j.Spec.TaskResources()
	roomiest := slices.Clone(bins)
	slices.SortStableFunc(roomiest, func(x, y *bin) int { return cmp.Compare(y.free.MaxCopies(need), x.free.MaxCopies(need)) })
	return p.fitGangZone(j, roomiest)
}

func (p *planner) fitGangZone(j *checkpoint.Job, bins []*bin) []gangPart {
	zones := []unit.Zone{""}
	if j.Spec.ZoneAffinity {
		zones = nil
		for _, b := range bins {
			if !slices.Contains(zones, b.zone) {
				zones = append(zones, b.zone)
			}
		}
	}
	for _, z := range zones {
		if found := p.fitGangIn(j, bins, z); found != nil {
			return found
		}
	}
	return nil
}

func (p *planner) fitGangIn(j *checkpoint.Job, bins []*bin, zone unit.Zone) []gangPart {
	var tasks []unit.TaskIndex
	j.Queue.Each(func(i unit.TaskIndex) bool { tasks = append(tasks, i); return true })
	var found []gangPart
	room, size, used := p.room(j), p.plan.Record.headSize()+2*hireSize, map[unit.Zone]int{}
	for _, b := range bins {
		if zone != "" && b.zone != zone {
			continue
		}
		n := min(len(tasks), b.free.MaxCopies(j.Spec.TaskResources()), p.zoneRoom(j, b.zone)-used[b.zone])
		n = j.FittingTasks(room, b.m.ID, n)
		if n <= 0 {
			continue
		}
		st := startOf(j, b, tasks[:n])
		size += st.nextSize()
		if size > gangBytes(p.w.ValueBytes, p.w.RoundParts) {
			return nil
		}
		found = append(found, gangPart{b, tasks[:n]})
		used[b.zone] += n
		room -= j.GroupBytes(b.m.ID, n)
		if tasks = tasks[n:]; len(tasks) == 0 {
			return found
		}
	}
	return nil
}

// gangBytes is how large the record of a round may be that starts a gang: as large
// as all values that one transaction holds, where nodes know parts.
func gangBytes(limit, values int) int { return limit + parts.Capacity(limit, values-1) }

// holdForGang picks the zone that lacks least for a gang and keeps what is free
// and coming there for it. It returns for how many tasks machines are missing,
// and notes that these must be rented in that zone.
func (p *planner) holdForGang(j *checkpoint.Job, n int, guaranteed bool) int {
	zones := p.feasibleZones(j, n)
	if len(zones) == 0 {
		return 0
	}
	best := zones[0]
	lacks := max(0, n-best.room)
	if lacks > 0 && (guaranteed || p.mayPreempt(j)) {
		for _, z := range zones {
			if p.makeRoomForGang(j, z.zone, n) {
				return 0
			}
		}
	}
	p.keepForGang(j, best.zone, n)
	p.gangZone[j] = best.zone
	return lacks
}

// gangZone is a zone with the number of a gang's tasks that it has room for.
type gangZone struct {
	zone unit.Zone
	room int
}

// feasibleZones lists the zones that can come to hold n tasks of a gang, the one
// that lacks least first. A zone that can't be completed holds nothing, unless the
// machines that others use now are enough for the gang.
func (p *planner) feasibleZones(j *checkpoint.Job, n int) []gangZone {
	var out []gangZone
	for _, z := range p.gangZones(j) {
		room := p.gangRoom(j, z)
		if room >= n || p.canRent(j, z) || p.gangCapacity(j, z) >= n {
			out = append(out, gangZone{z, room})
		}
	}
	slices.SortStableFunc(out, func(x, y gangZone) int { return cmp.Compare(y.room, x.room) })
	return out
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
		in[b.zone] = min(p.zoneRoom(j, b.zone), in[b.zone]+b.free.MaxCopies(j.Spec.TaskResources()))
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
	p.eachGangBin(j, zone, func(b *bin) { sum += b.typ.Capacity.MaxCopies(j.Spec.TaskResources()) })
	return sum
}

// canRent tells whether a machine for the gang may be rented in the zone.
func (p *planner) canRent(j *checkpoint.Job, zone unit.Zone) bool {
	can := false
	p.eachOffer(j, func(o rental.Offer, t *fleet.MachineType) {
		can = can || (zone == "" || o.Zone == zone) && !p.w.Blocked(o) && t.Capacity.Fits(j.Spec.TaskResources()) && p.worth(j, t, o.Spot)
	})
	return can
}

// keepForGang keeps room for up to n tasks of a gang from what is planned after
// it. It starts nothing.
func (p *planner) keepForGang(j *checkpoint.Job, zone unit.Zone, n int) {
	p.eachGangBin(j, zone, func(b *bin) {
		if k := min(n, b.free.MaxCopies(j.Spec.TaskResources())); k > 0 {
			n -= k
			b.free = b.free.Sub(j.Spec.TaskResources().Multiply(k))
		}
	})
}

// makeRoomForGang stops what yields to a gang in one zone, if that makes room for
// all n tasks there with what is free, and tells whether it does. A part would be
// stopped for nothing; machines that are coming may never come, and don't count.
func (p *planner) makeRoomForGang(j *checkpoint.Job, zone unit.Zone, n int) bool {
	there := *j // the same gang, bound to the zone
	if zone != "" {
		there.Spec.Zone = zone
	}
	before := p.save()
	if p.makeRoom(&there, n, false) == n {
		return true
	}
	p.restore(before)
	return false
}

// saved is what making room changes of a plan.
type saved struct {
	stops  int
	taken  map[*checkpoint.Placement]bool
	usage  map[unit.Team]checkpoint.Resources
	giving map[unit.Team]checkpoint.Resources
	free   []checkpoint.Resources // of each bin
	later  []checkpoint.Resources
}

func (p *planner) save() saved {
	s := saved{stops: len(p.plan.Stops), taken: maps.Clone(p.taken), usage: maps.Clone(p.usage), giving: maps.Clone(p.giving)}
	for _, b := range p.bins {
		s.free, s.later = append(s.free, b.free), append(s.later, b.later)
	}
	return s
}

func (p *planner) restore(s saved) {
	p.plan.Stops = p.plan.Stops[:s.stops]
	p.taken, p.usage, p.giving = s.taken, s.usage, s.giving
	for i, b := range p.bins {
		b.free, b.later = s.free[i], s.later[i]
	}
}
