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

// anyZone stands for all zones together, where a gang needs not be in one.
const anyZone = ident.Zone("")

// gangPlacer places gangs, each whole or not at all.
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

// gangAssignment is the part of a gang that goes to one machine.
type gangAssignment struct {
	machine *candidateMachine
	tasks   []ident.TaskIndex
}

// place starts a gang whole, or not at all. One that does not fit reserves what is free or
// pending in one zone, as long as that zone can hold it, so that tasks that come one by one
// do not fill each hole before it. It returns for how many tasks machines must be
// provisioned: for those of the whole gang that its zone lacks.
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
	p.quotas.noteReservationBlocked(gang, n)
	if allowed := p.quotas.tasksWithinQuota(gang); allowed < n {
		// It reserves no machine, but what is left of its team's limit: else tasks of its
		// team that come one by one would take each bit as it comes free.
		p.quotas.use(gang, allowed)
		return 0
	}
	if found := p.fit(gang, p.selector.rank(gang)); found != nil {
		p.start(gang, found, 0)
		return 0
	}
	p.scaleOut.recordUnplaced(gang, n)
	return p.reserveZone(gang, n, entry.guaranteed)
}

// replaceTasks starts the tasks again that a gang lost before it began, under the attempt in
// which the others wait. What is left of any other attempt must be over first: it stays on
// its machines, and in its zone.
func (p *gangPlacer) replaceTasks(gang *jobs.Job) {
	attempt, ok := p.replacementAttempts[gang.ID]
	if !ok || p.quotas.tasksWithinQuota(gang) < gang.Queue.Len() {
		return
	}
	// A machine that still knows an exit of this attempt would ignore the start command.
	machines := slices.DeleteFunc(p.selector.rank(gang), func(m *candidateMachine) bool {
		return m.machine.HasAttempt(gang.ID, attempt)
	})
	if found := p.fit(gang, machines); found != nil {
		p.start(gang, found, attempt)
	}
}

// start records the starts of a gang in an attempt; 0: that of the round. If the record has
// no room left for them, a new round takes them.
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

// fit finds room for all queued tasks of a gang, in one zone if it must be, within what the
// job's record and the round's hold. It returns nil if there is none. The machines are in the
// order of preference; the zone of the first that holds the gang is taken. Where the records
// don't hold that many machines, those that take most tasks are tried first.
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

// zonesOf lists the zones of the machines, one for each choice of the gang.
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
		n := min(len(tasks), m.free.MaxCopies(gang.Spec.TaskResources()), p.zones.room(gang, m.zone)-used[m.zone])
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

// reserveZone picks the zone that lacks least for a gang and keeps what is free and pending
// there for it, unless it can preempt all it lacks. It returns for how many tasks machines
// are missing, and notes that these must be provisioned in that zone.
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

// zoneCapacity is a zone with the number of a gang's tasks that it has room for.
type zoneCapacity struct {
	zone  ident.Zone
	tasks int
}

// feasibleZones lists the zones that can come to hold n tasks of a gang, the one that lacks
// least first. A zone that can't be completed is no choice, unless the machines that others
// use now are enough for the gang.
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

// allowedZones are the zones that a gang may be in, one for each choice.
func (p *gangPlacer) allowedZones(gang *jobs.Job) []ident.Zone {
	switch {
	case !gang.Spec.ZoneAffinity:
		return []ident.Zone{anyZone}
	case gang.Spec.Zone != "":
		return []ident.Zone{gang.Spec.Zone}
	}
	return p.allZones
}

// eachMachine calls visit for the machines of a zone that the gang may use, those that are up
// first.
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

// freeTasks is for how many tasks of a gang a zone has, or will have, free room.
func (p *gangPlacer) freeTasks(gang *jobs.Job, zone ident.Zone) int {
	byZone := map[ident.Zone]int{}
	p.eachMachine(gang, zone, func(m *candidateMachine) {
		byZone[m.zone] = min(p.zones.room(gang, m.zone), byZone[m.zone]+m.free.MaxCopies(gang.Spec.TaskResources()))
	})
	sum := 0
	for _, n := range byZone {
		sum += n
	}
	return sum
}

// tasksIfEmpty is how many tasks of a gang a zone would hold if nothing else ran there.
func (p *gangPlacer) tasksIfEmpty(gang *jobs.Job, zone ident.Zone) int {
	sum := 0
	p.eachMachine(gang, zone, func(m *candidateMachine) {
		sum += m.machineType.Capacity.MaxCopies(gang.Spec.TaskResources())
	})
	return sum
}

// canProvision tells whether a machine for the gang may be provisioned in the zone.
func (p *gangPlacer) canProvision(gang *jobs.Job, zone ident.Zone) bool {
	can := false
	p.offers.each(gang, func(offer cloud.Offer, t *fleet.MachineType) {
		can = can || (zone == anyZone || offer.Zone == zone) && !p.offers.unavailable(offer) &&
			t.Capacity.Fits(gang.Spec.TaskResources()) && p.costs.worthProvisioning(gang, t, offer.Spot)
	})
	return can
}

// reserveCapacity keeps room for up to n tasks of a gang from what is planned after it. It starts
// nothing.
func (p *gangPlacer) reserveCapacity(gang *jobs.Job, zone ident.Zone, n int) {
	need := gang.Spec.TaskResources()
	p.eachMachine(gang, zone, func(m *candidateMachine) {
		if k := min(n, m.free.MaxCopies(need)); k > 0 {
			n -= k
			m.free = m.free.Sub(need.Multiply(k))
		}
	})
}
