package scheduler

import (
	"cmp"
	"slices"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/roundlog"
)

// anyZone stands for all zones together, for gangs without zone affinity.
const anyZone = ident.Zone("")

// gangPlacer places gangs: either all tasks of a gang start or none.
type gangPlacer struct {
	urgency             *urgency
	allZones            []ident.Zone
	replacementAttempts map[ident.JobID]ident.Attempt // see Snapshot.ReplacementAttempts
	machines            *machinePool
	zones               *zoneTracker
	quotas              *quotaTracker
	record              *recordBuilder
	offers              *offerCatalog
	costs               *costPolicy
	selector            *machineSelector
	assignments         *assignments
	preemptor           *preemptor
	scaleOut            *scaleOut
}

func newGangPlacer(s *Snapshot, p *planner) *gangPlacer {
	return &gangPlacer{
		urgency:             p.urgency,
		allZones:            s.Zones,
		replacementAttempts: s.ReplacementAttempts,
		machines:            p.machines,
		zones:               p.zones,
		quotas:              p.quotas,
		record:              p.record,
		offers:              p.offers,
		costs:               p.costs,
		selector:            p.selector,
		assignments:         p.assignments,
		preemptor:           p.preemptor,
		scaleOut:            p.scaleOut,
	}
}

// gangAssignment holds the tasks of a gang that are assigned to one machine.
type gangAssignment struct {
	machine *candidateMachine
	tasks   []ident.TaskIndex
}

// place starts all tasks of a gang or none. If the gang does not fit, place reserves free and
// pending capacity for it in one zone that can eventually hold all of it, so that individually
// placed tasks do not use that capacity first. It returns for how many tasks of the gang the
// zone lacks capacity, so that machines must be provisioned.
func (p *gangPlacer) place(entry queueEntry) int {
	gang := entry.job
	if p.record.full {
		return 0
	}
	if len(gang.Placements) > 0 {
		p.replaceTasks(gang)
		return 0
	}
	n := gang.Queue.Len()
	p.quotas.recordReservationBlocked(gang, n)
	if allowed := p.quotas.tasksWithinQuota(gang); allowed < n {
		// The gang reserves no machine, but it reserves the rest of its team's limit.
		// Otherwise, individually placed tasks of the team use up the limit bit by bit as it
		// becomes available.
		p.quotas.addUsage(gang, allowed)
		return 0
	}
	if found := p.fit(gang, p.selector.rank(gang)); found != nil {
		p.start(gang, found, 0)
		return 0
	}
	p.scaleOut.recordUnplaced(gang, n)
	return p.reserveZone(gang, n, entry.guaranteed)
}

// replaceTasks restarts the tasks that a gang lost before it began, in the attempt in which the
// other tasks wait. The placements of any other attempt must have ended first, because they
// keep their machines and their zone.
func (p *gangPlacer) replaceTasks(gang *jobs.Job) {
	attempt, ok := p.replacementAttempts[gang.ID]
	if !ok || p.quotas.tasksWithinQuota(gang) < gang.Queue.Len() {
		return
	}
	// A machine that still remembers an exit of this attempt ignores the start command.
	machines := slices.DeleteFunc(p.selector.rank(gang), func(m *candidateMachine) bool {
		return m.machine.HasAttempt(gang.ID, attempt)
	})
	if found := p.fit(gang, machines); found != nil {
		p.start(gang, found, attempt)
	}
}

// start records the starts of a gang in an attempt; 0 means the attempt of this round. If the
// record has no space left for them, a new round starts the gang.
func (p *gangPlacer) start(gang *jobs.Job, parts []gangAssignment, attempt ident.Attempt) {
	var starts []roundlog.Start
	for _, part := range parts {
		start := newStart(gang, part.machine, part.tasks)
		start.Attempt = attempt
		starts = append(starts, start)
	}
	if !p.record.fitsGang(gang.ID, starts) {
		return
	}
	for i, part := range parts {
		p.assignments.start(gang, part.machine, starts[i], len(part.tasks))
	}
}

// fit finds capacity for all queued tasks of a gang, in one zone if the gang has zone affinity,
// within the free space of the job's record and of the round record. It returns nil if there is
// none. The machines are tried in order of preference, and the zone of the first machine whose
// zone holds the gang is used. If that fails, which may be because the records have no space for
// that many machines, the machines that fit the most tasks are tried first.
func (p *gangPlacer) fit(gang *jobs.Job, machines []*candidateMachine) []gangAssignment {
	if found := p.fitInFirstZone(zonesOf(gang, machines), gang, machines); found != nil {
		return found
	}
	need := gang.Spec.TaskResources()
	byFreeCapacity := slices.Clone(machines)
	slices.SortStableFunc(byFreeCapacity, func(x, y *candidateMachine) int {
		return cmp.Compare(y.free.MaxCopies(need), x.free.MaxCopies(need))
	})
	return p.fitInFirstZone(zonesOf(gang, byFreeCapacity), gang, byFreeCapacity)
}

// zonesOf returns the zones of the machines in which the gang may be placed, in the order of
// the machines.
func zonesOf(gang *jobs.Job, machines []*candidateMachine) []ident.Zone {
	if !gang.Spec.ZoneAffinity {
		return []ident.Zone{anyZone}
	}
	var zones []ident.Zone
	for _, m := range machines {
		if !slices.Contains(zones, m.zone) {
			zones = append(zones, m.zone)
		}
	}
	return zones
}

func (p *gangPlacer) fitInFirstZone(zones []ident.Zone, gang *jobs.Job, machines []*candidateMachine) []gangAssignment {
	for _, zone := range zones {
		if found := p.fitInZone(gang, machines, zone); found != nil {
			return found
		}
	}
	return nil
}

func (p *gangPlacer) fitInZone(gang *jobs.Job, machines []*candidateMachine, zone ident.Zone) []gangAssignment {
	tasks := slices.Collect(gang.Queue.All())
	var found []gangAssignment
	used := map[ident.Zone]int{}
	spare := p.record.jobSpareBytes(gang)
	size := p.record.record.MaxHeadJSONSize() + provisionReserve
	for _, m := range machines {
		if zone != anyZone && m.zone != zone {
			continue
		}
		n := min(len(tasks), m.free.MaxCopies(gang.Spec.TaskResources()), p.zones.allowedTasks(gang, m.zone)-used[m.zone])
		n = gang.FittingTasks(spare, m.machine.ID, n)
		if n <= 0 {
			continue
		}
		start := newStart(gang, m, tasks[:n])
		size += start.MaxJSONSizeSameJob()
		if size > p.record.maxGangRecordSize() {
			return nil
		}
		found = append(found, gangAssignment{m, tasks[:n]})
		used[m.zone] += n
		spare -= gang.GroupBytes(m.machine.ID, n)
		if tasks = tasks[n:]; len(tasks) == 0 {
			return found
		}
	}
	return nil
}

// reserveZone selects the zone that lacks the least capacity for a gang and reserves the free
// and pending capacity there, unless preemptions can free all that is missing. It returns how
// many tasks lack machines, and records that these machines must be provisioned in that zone.
func (p *gangPlacer) reserveZone(gang *jobs.Job, n int, guaranteed bool) int {
	zones := p.feasibleZones(gang, n)
	if len(zones) == 0 {
		return 0
	}
	best := zones[0]
	missing := max(0, n-best.tasks)
	if missing > 0 && (guaranteed || p.preemptor.mayPreempt(gang)) {
		for _, z := range zones {
			if p.preemptor.preemptForGang(gang, z.zone, n) {
				return 0
			}
		}
	}
	p.reserveCapacity(gang, best.zone, n)
	p.scaleOut.requiredZone[gang] = best.zone
	return missing
}

// zoneCapacity is a zone with the number of a gang's tasks that it has capacity for.
type zoneCapacity struct {
	zone  ident.Zone
	tasks int
}

// feasibleZones returns the zones that can eventually hold n tasks of a gang, the zone that
// lacks the least capacity first. A zone in which no machine can be provisioned is feasible
// only if its machines, including those that other work uses now, are enough for the gang.
func (p *gangPlacer) feasibleZones(gang *jobs.Job, n int) []zoneCapacity {
	var feasible []zoneCapacity
	for _, zone := range p.allowedZones(gang) {
		tasks := p.freeTasks(gang, zone)
		if tasks >= n || p.canProvision(gang, zone) || p.tasksIfEmpty(gang, zone) >= n {
			feasible = append(feasible, zoneCapacity{zone, tasks})
		}
	}
	slices.SortStableFunc(feasible, func(x, y zoneCapacity) int { return cmp.Compare(y.tasks, x.tasks) })
	return feasible
}

// allowedZones returns the zones in which a gang may be placed.
func (p *gangPlacer) allowedZones(gang *jobs.Job) []ident.Zone {
	switch {
	case !gang.Spec.ZoneAffinity:
		return []ident.Zone{anyZone}
	case gang.Spec.Zone != "":
		return []ident.Zone{gang.Spec.Zone}
	}
	return p.allZones
}

// eachMachine calls visit for the machines of a zone that the gang may use: first those that
// are up, then those that are pending.
func (p *gangPlacer) eachMachine(gang *jobs.Job, zone ident.Zone, visit func(*candidateMachine)) {
	for _, machines := range [][]*candidateMachine{p.machines.up, p.machines.pending} {
		for _, m := range machines {
			inZone, pending := zone == anyZone || m.zone == zone, m.machine == nil
			if inZone && m.accepts(gang, p.urgency.now) && (pending || p.costs.mayUse(gang, m)) {
				visit(m)
			}
		}
	}
}

// freeTasks returns how many tasks of a gang fit into the free capacity of a zone, pending
// machines included.
func (p *gangPlacer) freeTasks(gang *jobs.Job, zone ident.Zone) int {
	byZone := map[ident.Zone]int{}
	p.eachMachine(gang, zone, func(m *candidateMachine) {
		byZone[m.zone] = min(p.zones.allowedTasks(gang, m.zone), byZone[m.zone]+m.free.MaxCopies(gang.Spec.TaskResources()))
	})
	sum := 0
	for _, n := range byZone {
		sum += n
	}
	return sum
}

// tasksIfEmpty returns how many tasks of a gang a zone could hold if nothing else ran there.
func (p *gangPlacer) tasksIfEmpty(gang *jobs.Job, zone ident.Zone) int {
	sum := 0
	p.eachMachine(gang, zone, func(m *candidateMachine) {
		sum += m.machineType.Capacity.MaxCopies(gang.Spec.TaskResources())
	})
	return sum
}

// canProvision reports whether a machine for the gang may be provisioned in the zone.
func (p *gangPlacer) canProvision(gang *jobs.Job, zone ident.Zone) bool {
	can := false
	p.offers.each(gang, func(offer cloud.Offer, t *fleet.MachineType) {
		can = can || (zone == anyZone || offer.Zone == zone) && !p.offers.unavailable(offer) &&
			t.Capacity.Fits(gang.Spec.TaskResources()) && p.costs.worthProvisioning(gang, t, offer.Spot)
	})
	return can
}

// reserveCapacity reserves capacity for up to n tasks of a gang, so that work planned later
// does not use it. It starts no task.
func (p *gangPlacer) reserveCapacity(gang *jobs.Job, zone ident.Zone, n int) {
	need := gang.Spec.TaskResources()
	p.eachMachine(gang, zone, func(m *candidateMachine) {
		if k := min(n, m.free.MaxCopies(need)); k > 0 {
			n -= k
			m.free = m.free.Sub(need.Multiply(k))
		}
	})
}
