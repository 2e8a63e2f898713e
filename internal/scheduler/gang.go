package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"badgerbay/internal/ident"
	"badgerbay/internal/roundlog"

	"badgerbay/internal/chunk"
	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
	"badgerbay/internal/wire"
)

// gangAssignment is what of a gang goes to one machine.
type gangAssignment struct {
	machine *candidateMachine
	tasks   []ident.TaskIndex
}

// placeGang starts a gang whole, or not at all. One that does not fit holds what
// is free or coming in one zone, as long as that zone can hold it, so that tasks
// that come one by one do not fill each hole before it. It returns how many
// tasks machines must be rented for: those of the whole gang that its zone lacks.
func (p *planner) placeGang(t queueEntry) int {
	j := t.job
	if p.recordFull {
		return 0
	}
	if len(j.Placements) > 0 {
		p.replaceGangTasks(j)
		return 0
	}
	n := j.Queue.Len()
	p.recordReservationBlocked(j, n)
	if may := p.tasksWithinQuota(j); may < n {
		// It holds no machine, but what is left of its team's limit: else tasks
		// of its team that come one by one would take each bit as it comes free.
		p.usage[j.Spec.Team] = p.usage[j.Spec.Team].Add(j.Spec.TaskResources().Multiply(may))
		return 0
	}
	if found := p.fitGang(j, p.rankMachines(j)); found != nil {
		p.startGang(j, found, 0)
		return 0
	}
	p.plan.UnplacedTasks += n
	p.demand[j.Spec.Class] += n
	return p.reserveZoneForGang(j, n, t.guaranteed)
}

// replaceGangTasks starts the tasks again that a gang lost before it began, under the
// attempt that the others wait in. What is left of any other attempt must be over
// first: it stays on its machines, and in its zone.
func (p *planner) replaceGangTasks(j *jobs.Job) {
	attempt, may := p.snapshot.ReplacementAttempts[j.ID]
	if !may || p.tasksWithinQuota(j) < j.Queue.Len() {
		return
	}
	// A machine that still knows an exit of this attempt would ignore the launch.
	bins := slices.DeleteFunc(p.rankMachines(j), func(b *candidateMachine) bool { return b.machine.HasAttempt(j.ID, attempt) })
	if found := p.fitGang(j, bins); found != nil {
		p.startGang(j, found, attempt)
	}
}

// startGang records the starts of a gang in an attempt; 0: that of the round. If
// the round has no room left for them, a new one takes them: in one value where
// they fit into one, else in as many as a transaction holds.
func (p *planner) startGang(j *jobs.Job, found []gangAssignment, attempt ident.Attempt) {
	size := wire.PackedLen(len(j.ID)) + 2*roundlog.MaxProvisionJSONSize
	var starts []roundlog.Start
	for _, part := range found {
		st := newStart(j, part.machine, part.tasks)
		st.Attempt = attempt
		starts = append(starts, st)
		size += st.MaxJSONSizeSameJob()
	}
	limit := p.snapshot.ValueBytes
	if p.plan.Record.MaxHeadJSONSize()+size > limit {
		limit = maxGangRecordSize(p.snapshot.ValueBytes, p.snapshot.MaxRoundValues)
	}
	if p.recordSize+size > limit && len(p.plan.Record.Starts) > 0 {
		p.recordFull = true
		return
	}
	for i, part := range found {
		p.addStart(j, part.machine, starts[i], len(part.tasks))
	}
}

// candidateZones are the zones that a gang may be in, one for each choice; "" stands
// for all together.
func (p *planner) candidateZones(j *jobs.Job) []ident.Zone {
	switch {
	case !j.Spec.ZoneAffinity:
		return []ident.Zone{""}
	case j.Spec.Zone != "":
		return []ident.Zone{j.Spec.Zone}
	}
	return p.snapshot.Zones
}

// fitGang finds room for all queued tasks of a gang, in one zone if it must be,
// within what the job's record and the round's hold. It returns nil if there is
// none. bins are in the order of preference; the zone of the first that holds the
// gang is taken. Where the records don't hold that many machines, those that take
// most tasks are tried first.
func (p *planner) fitGang(j *jobs.Job, bins []*candidateMachine) []gangAssignment {
	if found := p.fitGangInAnyZone(j, bins); found != nil {
		return found
	}
	need := j.Spec.TaskResources()
	roomiest := slices.Clone(bins)
	slices.SortStableFunc(roomiest, func(x, y *candidateMachine) int { return cmp.Compare(y.free.MaxCopies(need), x.free.MaxCopies(need)) })
	return p.fitGangInAnyZone(j, roomiest)
}

func (p *planner) fitGangInAnyZone(j *jobs.Job, bins []*candidateMachine) []gangAssignment {
	zones := []ident.Zone{""}
	if j.Spec.ZoneAffinity {
		zones = nil
		for _, b := range bins {
			if !slices.Contains(zones, b.zone) {
				zones = append(zones, b.zone)
			}
		}
	}
	for _, z := range zones {
		if found := p.fitGangInZone(j, bins, z); found != nil {
			return found
		}
	}
	return nil
}

func (p *planner) fitGangInZone(j *jobs.Job, bins []*candidateMachine, zone ident.Zone) []gangAssignment {
	var tasks []ident.TaskIndex
	j.Queue.Each(func(i ident.TaskIndex) bool { tasks = append(tasks, i); return true })
	var found []gangAssignment
	room, size, used := p.recordRoom(j), p.plan.Record.MaxHeadJSONSize()+2*roundlog.MaxProvisionJSONSize, map[ident.Zone]int{}
	for _, b := range bins {
		if zone != "" && b.zone != zone {
			continue
		}
		n := min(len(tasks), b.free.MaxCopies(j.Spec.TaskResources()), p.zoneRoom(j, b.zone)-used[b.zone])
		n = j.FittingTasks(room, b.machine.ID, n)
		if n <= 0 {
			continue
		}
		st := newStart(j, b, tasks[:n])
		size += st.MaxJSONSizeSameJob()
		if size > maxGangRecordSize(p.snapshot.ValueBytes, p.snapshot.MaxRoundValues) {
			return nil
		}
		found = append(found, gangAssignment{b, tasks[:n]})
		used[b.zone] += n
		room -= j.GroupBytes(b.machine.ID, n)
		if tasks = tasks[n:]; len(tasks) == 0 {
			return found
		}
	}
	return nil
}

// maxGangRecordSize is how large the record of a round may be that starts a gang: as large
// as all values that one transaction holds, where nodes know parts.
func maxGangRecordSize(limit, values int) int { return limit + chunk.Capacity(limit, values-1) }

// reserveZoneForGang picks the zone that lacks least for a gang and keeps what is free
// and coming there for it. It returns for how many tasks machines are missing,
// and notes that these must be rented in that zone.
func (p *planner) reserveZoneForGang(j *jobs.Job, n int, guaranteed bool) int {
	zones := p.feasibleZones(j, n)
	if len(zones) == 0 {
		return 0
	}
	best := zones[0]
	lacks := max(0, n-best.tasks)
	if lacks > 0 && (guaranteed || p.mayPreempt(j)) {
		for _, z := range zones {
			if p.preemptForGang(j, z.zone, n) {
				return 0
			}
		}
	}
	p.reserveRoomForGang(j, best.zone, n)
	p.provisionZone[j] = best.zone
	return lacks
}

// zoneRoom is a zone with the number of a gang's tasks that it has room for.
type zoneRoom struct {
	zone  ident.Zone
	tasks int
}

// feasibleZones lists the zones that can come to hold n tasks of a gang, the one
// that lacks least first. A zone that can't be completed holds nothing, unless the
// machines that others use now are enough for the gang.
func (p *planner) feasibleZones(j *jobs.Job, n int) []zoneRoom {
	var out []zoneRoom
	for _, z := range p.candidateZones(j) {
		room := p.gangTasksFitting(j, z)
		if room >= n || p.canProvisionForGang(j, z) || p.gangTasksIfEmpty(j, z) >= n {
			out = append(out, zoneRoom{z, room})
		}
	}
	slices.SortStableFunc(out, func(x, y zoneRoom) int { return cmp.Compare(y.tasks, x.tasks) })
	return out
}

// eachGangMachine calls f for the machines of a zone that the gang may use, those
// that are up first.
func (p *planner) eachGangMachine(j *jobs.Job, zone ident.Zone, f func(*candidateMachine)) {
	for _, bins := range [][]*candidateMachine{p.machines, p.pending} {
		for _, b := range bins {
			if (zone == "" || b.zone == zone) && p.allows(j, b) && (b.machine == nil || p.mayUseMachine(j, b)) {
				f(b)
			}
		}
	}
}

// gangTasksFitting is for how many tasks of a gang a zone has, or will have, free room.
func (p *planner) gangTasksFitting(j *jobs.Job, zone ident.Zone) int {
	in := map[ident.Zone]int{}
	p.eachGangMachine(j, zone, func(b *candidateMachine) {
		in[b.zone] = min(p.zoneRoom(j, b.zone), in[b.zone]+b.free.MaxCopies(j.Spec.TaskResources()))
	})
	sum := 0
	for _, n := range in {
		sum += n
	}
	return sum
}

// gangTasksIfEmpty is how many tasks of a gang a zone would hold if it were empty.
func (p *planner) gangTasksIfEmpty(j *jobs.Job, zone ident.Zone) int {
	sum := 0
	p.eachGangMachine(j, zone, func(b *candidateMachine) { sum += b.machineType.Capacity.MaxCopies(j.Spec.TaskResources()) })
	return sum
}

// canProvisionForGang tells whether a machine for the gang may be rented in the zone.
func (p *planner) canProvisionForGang(j *jobs.Job, zone ident.Zone) bool {
	can := false
	p.eachOffer(j, func(o cloud.Offer, t *fleet.MachineType) {
		can = can || (zone == "" || o.Zone == zone) && !p.snapshot.OfferUnavailable(o) && t.Capacity.Fits(j.Spec.TaskResources()) && p.worthProvisioning(j, t, o.Spot)
	})
	return can
}

// reserveRoomForGang keeps room for up to n tasks of a gang from what is planned after
// it. It starts nothing.
func (p *planner) reserveRoomForGang(j *jobs.Job, zone ident.Zone, n int) {
	p.eachGangMachine(j, zone, func(b *candidateMachine) {
		if k := min(n, b.free.MaxCopies(j.Spec.TaskResources())); k > 0 {
			n -= k
			b.free = b.free.Sub(j.Spec.TaskResources().Multiply(k))
		}
	})
}

// preemptForGang stops what yields to a gang in one zone, if that makes room for
// all n tasks there with what is free, and tells whether it does. A part would be
// stopped for nothing; machines that are coming may never come, and don't count.
func (p *planner) preemptForGang(j *jobs.Job, zone ident.Zone, n int) bool {
	there := *j // the same gang, bound to the zone
	if zone != "" {
		there.Spec.Zone = zone
	}
	before := p.saveState()
	if p.preempt(&there, n, false) == n {
		return true
	}
	p.restoreState(before)
	return false
}

// savedState is what making room changes of a plan.
type savedState struct {
	evictions    int
	evicted      map[*jobs.Placement]bool
	usage        map[ident.Team]jobs.Resources
	evictedUsage map[ident.Team]jobs.Resources
	free         []jobs.Resources // of each bin
	freeing      []jobs.Resources
}

func (p *planner) saveState() savedState {
	s := savedState{evictions: len(p.plan.Evictions), evicted: maps.Clone(p.evicted), usage: maps.Clone(p.usage), evictedUsage: maps.Clone(p.evictedUsage)}
	for _, b := range p.machines {
		s.free, s.freeing = append(s.free, b.free), append(s.freeing, b.freeing)
	}
	return s
}

func (p *planner) restoreState(s savedState) {
	p.plan.Evictions = p.plan.Evictions[:s.evictions]
	p.evicted, p.usage, p.evictedUsage = s.evicted, s.usage, s.evictedUsage
	for i, b := range p.machines {
		b.free, b.freeing = s.free[i], s.freeing[i]
	}
}
