package round

import (
	"cmp"
	"math"
	"slices"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/policy"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
)

// Coming is a machine that has been rented, or is being rented, and is not up.
type Coming struct {
	Offer rental.Offer
}

// World is what a round is planned from.
type World struct {
	Now        unit.Instant
	WallMs     int64
	No         unit.RoundNo
	Epoch      unit.Epoch
	Jobs       []*checkpoint.Job // those with tasks to place; any order
	All        []*checkpoint.Job // those with placements
	Fleet      *fleet.Fleet
	Types      []*fleet.Type
	Zones      []unit.Zone
	Teams      map[unit.Team]config.Team
	Expect     map[unit.Class]Expect
	Spares     []*checkpoint.Spec // classes to keep room free for
	Typical    []*checkpoint.Spec // what the classes look like
	Coming     []Coming
	MayVacate  bool
	Active     func(unit.Team) bool // has had work a moment ago
	Blocked    func(rental.Offer) bool
	MayHire    bool
	Policy     *policy.Policy
	ValueBytes int
	Parts      int // values that a job's record may take
	RoundParts int // values that a round's record may take
	// Replace names the attempt of gangs that wait for tasks which were lost before
	// they began; these may be replaced.
	Replace  map[unit.JobID]unit.Attempt
	SpecSize func(*checkpoint.Job) int
}

// Stop is a placement to be stopped to make room.
type Stop struct {
	Placement *checkpoint.Placement
	For       unit.JobID
}

// Expect is what the objectives say of a class; 0: nothing.
type Expect struct{ Start, Finish time.Duration }

// Plan is what a round decides.
type Plan struct {
	Record Record
	Stops  []Stop
	// Short counts the tasks that found no room.
	Short int
	// HireFor is the job that the rental was decided for, if it was one.
	HireFor unit.JobID
	// Vacate are machines to be emptied, so that they can be returned.
	Vacate []unit.MachineID
	// Keep are idle machines that hold the room kept free for a class.
	Keep map[unit.MachineID]bool
	// Work counts the machines that were looked at, for one job or another:
	// what the plan cost.
	Work int
}

type bin struct {
	m    *fleet.Machine // nil: coming
	typ  *fleet.Type
	zone unit.Zone
	spot bool
	free checkpoint.Resources
	// later is room that stops are making and nobody is promised yet. Nothing
	// may start in it before their exits are seen.
	later checkpoint.Resources
	live  []*checkpoint.Placement // see running
	// started: this plan starts tasks here.
	started bool
}

// running lists the placements on the bin's machine. A plan changes none, so
// they are listed once.
func (b *bin) running() []*checkpoint.Placement {
	if b.live == nil {
		b.live = b.m.Live()
	}
	return b.live
}

// promise keeps room for one task: what is being made first, then what is free.
func (b *bin) promise(need checkpoint.Resources) {
	rest := b.later.Minus(need)
	b.later = rest.Max(checkpoint.Resources{})
	b.free = b.free.Plus(rest.Minus(b.later)).Max(checkpoint.Resources{})
}

type planner struct {
	w    *World
	plan *Plan
	size int
	bins []*bin
	come []*bin
	// byMachine finds the bins of machines; see binOf.
	byMachine map[unit.MachineID]*bin
	// usage counts all placements that may exist. What is told to stop stays
	// in it until its exit is seen; giving counts it for the guarantees.
	usage  map[unit.Team]checkpoint.Resources
	giving map[unit.Team]checkpoint.Resources
	queue  []turn
	// claimed are the tasks of a job that this plan has dealt with.
	claimed map[*checkpoint.Job]unit.Ranges
	added   map[*checkpoint.Job]map[unit.Zone]int // tasks given a place in this plan
	taken   map[*checkpoint.Placement]bool
	rooms   map[*checkpoint.Job]checkpoint.Room
	full    bool
	first   bool           // the turn at hand is one of old work
	nowhere map[shape]bool // what fits no machine

	missing []shortage                  // of the room kept free
	placed  map[*bin]int                // replicas given a place in this plan
	starts  map[*checkpoint.Job]float64 // see soonest
	least   map[*checkpoint.Job]float64 // see cheapest
	// demand counts the tasks of a class that found no room, those that wait
	// for machines to come included: many small jobs that arrive one by one
	// share large machines, as one large job would.
	demand  map[unit.Class]int
	guards  bool              // some team has a guarantee
	surplus float64           // CPUs beyond what the guarantees want as machines
	inZone  map[unit.Zone]int // machines, coming ones too

	work   [checkpoint.Prod + 1]float64 // CPU seconds of arrays by priority, see countWork
	ahead  map[*checkpoint.Job]float64  // see queueWork
	usable map[shape]float64            // see drain
	// spareForOld is what old jobs may still start before others, in CPUs.
	spareForOld float64

	elders map[*checkpoint.Job]*checkpoint.Placement // see eldest

	began map[*checkpoint.Job]int // tasks that this plan starts
	// promised counts the tasks of a job that wait for machines to come.
	promised map[*checkpoint.Job]int
	// gangZone is where machines for a gang must be rented; "": anywhere.
	gangZone map[*checkpoint.Job]unit.Zone
}

// Make plans a round. It changes nothing it is given.
func Make(w *World) *Plan {
	p := &planner{w: w, plan: &Plan{}, usage: map[unit.Team]checkpoint.Resources{}, giving: map[unit.Team]checkpoint.Resources{},
		placed: map[*bin]int{}, claimed: map[*checkpoint.Job]unit.Ranges{}, starts: map[*checkpoint.Job]float64{}, least: map[*checkpoint.Job]float64{},
		added: map[*checkpoint.Job]map[unit.Zone]int{}, taken: map[*checkpoint.Placement]bool{}, rooms: map[*checkpoint.Job]checkpoint.Room{},
		demand: map[unit.Class]int{}, nowhere: map[shape]bool{}, inZone: map[unit.Zone]int{},
		elders: map[*checkpoint.Job]*checkpoint.Placement{}, ahead: map[*checkpoint.Job]float64{}, usable: map[shape]float64{}, began: map[*checkpoint.Job]int{}, promised: map[*checkpoint.Job]int{}, gangZone: map[*checkpoint.Job]unit.Zone{}}
	p.plan.Record = Record{Schema: schemaPlain, No: w.No, Epoch: w.Epoch}
	p.size = p.plan.Record.SizeOf()
	p.countUsage()
	p.countWork()
	for _, t := range w.Teams {
		p.guards = p.guards || t.CPUs > 0
	}
	p.makeBins()
	p.order()
	p.spareForOld = p.forNeglected()
	var short []shortage
	spared := false
	for _, t := range p.queue {
		p.queueWork(t.job)
		if !spared && t.job.Spec.Priority < checkpoint.High {
			// Before work that would yield to it takes the room.
			spared = true
			p.countSpare()
		}
		if n := p.placeJob(t); n > 0 && !p.full {
			short = append(short, shortage{t.job, n})
		}
	}
	if !spared {
		p.countSpare()
	}
	p.rent(short)
	p.rentSpare()
	p.keepGuaranteed()
	p.consolidate(short)
	return p.plan
}

type shortage struct {
	job *checkpoint.Job
	n   int
}

func (p *planner) countUsage() {
	for _, j := range p.w.All {
		p.usage[j.Spec.Team] = p.usage[j.Spec.Team].Plus(j.Spec.Need().Times(len(j.Live)))
		for _, v := range j.Live {
			if v.Halting {
				p.giving[j.Spec.Team] = p.giving[j.Spec.Team].Plus(j.Spec.Need())
			}
		}
	}
}

func (p *planner) makeBins() {
	for _, m := range p.w.Fleet.Machines() {
		if p.w.Fleet.Placeable(m) && !p.w.Fleet.Quiet(p.w.Now, m) {
			p.bins = append(p.bins, &bin{m: m, typ: p.w.Fleet.Type(m.Type), zone: m.Zone, spot: m.Spot, free: p.w.Fleet.Free(m)})
		}
	}
	for _, b := range p.bins {
		p.inZone[b.zone]++
	}
	for _, c := range p.w.Coming {
		p.inZone[c.Offer.Zone]++
		if t := p.w.Fleet.Type(c.Offer.Type); t != nil {
			p.come = append(p.come, &bin{typ: t, zone: c.Offer.Zone, spot: c.Offer.Spot, free: t.Capacity})
		}
	}
}

func (p *planner) zoneCount(j *checkpoint.Job, z unit.Zone) int { return j.ByZone[z] + p.added[j][z] }

// zoneRoom tells how many more tasks of the job may be in the zone, given
// where its other tasks are or are about to be.
func (p *planner) zoneRoom(j *checkpoint.Job, z unit.Zone) int {
	// A machine whose zone is not known yet may be in any.
	if j.ByZone[""] > 0 && (j.Spec.OneZone || j.Spec.Spread) {
		return 0
	}
	if j.Spec.OneZone {
		for other, n := range j.ByZone {
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
	if !j.Spec.Spread {
		return math.MaxInt32
	}
	return max(0, j.Spec.ZoneCap()-p.zoneCount(j, z))
}

// placeJob starts as many of the job's tasks as fit, and returns how many that
// could start by its limits found no room.
func (p *planner) placeJob(t turn) int {
	j := t.job
	if j.Spec.Gang {
		return p.placeGang(t)
	}
	left := min(j.Queue.Len()-p.claimed[j].Len(), p.quota(j))
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
		n := min(len(tasks), b.free.Holds(j.Spec.Need()), p.zoneRoom(j, b.zone))
		if p.onlyOne(j, b) {
			n = min(n, 1-min(1, p.began[j]))
		}
		if n = j.Fit(p.room(j), b.m.ID, n); n > 0 {
			n = p.start(j, b, tasks[:n])
			tasks = tasks[n:]
		}
	}
	n := min(len(tasks), j.Alone(p.room(j)))
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
	return within > 0 && j.Spec.Priority >= checkpoint.High && b.typ.FetchGBps > 0 && j.Spec.ImageGB/b.typ.FetchGBps > within
}

// allowed tells whether the bin may take the job's tasks.
func (p *planner) allowed(j *checkpoint.Job, b *bin) bool {
	if !j.Spec.Allows(b.typ.Name, b.zone, b.spot) {
		return false
	}
	if b.m == nil {
		return true
	}
	return !p.avoids(j, b)
}

// avoids tells whether the job has just failed on the bin's machine.
func (p *planner) avoids(j *checkpoint.Job, b *bin) bool {
	until, bad := j.Avoid[b.m.ID]
	return bad && !until.Before(p.w.Now)
}

// candidate is a bin with what ranks it.
type candidate struct {
	b        *bin
	image    bool
	anchored bool
	replicas int
}

// ranked returns the bins for the job, best first: those that hold the image,
// then spot machines for tasks that may use them, then the most free room.
func (p *planner) ranked(j *checkpoint.Job) []*bin {
	need, shape := j.Spec.Need(), shapeOf(&j.Spec)
	if p.nowhere[shape] {
		return nil
	}
	p.plan.Work += len(p.bins)
	var found []candidate
	fits := false
	for _, b := range p.bins {
		if !b.free.Fits(need) || !j.Spec.Allows(b.typ.Name, b.zone, b.spot) {
			continue
		}
		fits = true
		if p.avoids(j, b) || !p.mayUse(j, b) {
			continue
		}
		c := candidate{b: b, image: b.m.HasImage(j.Spec.Image), anchored: b.m.Anchored()}
		if j.Spec.Service {
			c.replicas = p.replicas(b)
		}
		found = append(found, c)
	}
	// Within a plan free room only shrinks: what fits nowhere now need not be
	// tried again for the next job of the same shape.
	p.nowhere[shape] = !fits
	slices.SortStableFunc(found, func(x, y candidate) int { return p.compare(j, x, y) })
	out := make([]*bin, len(found))
	for i, c := range found {
		out[i] = c.b
	}
	return out
}

func (p *planner) compare(j *checkpoint.Job, x, y candidate) int {
	switch {
	case x.image != y.image:
		return first(x.image)
	case p.w.Policy.PreferSpot && x.b.spot != y.b.spot:
		return first(x.b.spot)
	case !x.image:
		return cmp.Compare(y.b.free.CPUs, x.b.free.CPUs)
	// Among those that hold the image, the fullest: so that others run empty
	// and can be returned.
	case x.anchored != y.anchored:
		return first(x.anchored)
	// Replicas go where fewest are: a machine that dies takes few of them.
	case x.replicas != y.replicas:
		return cmp.Compare(x.replicas, y.replicas)
	}
	return cmp.Compare(x.b.free.CPUs, y.b.free.CPUs)
}

// first orders what is so before what isn't.
func first(so bool) int {
	if so {
		return -1
	}
	return 1
}

// shape is what decides on which machines a task may go, leaving aside where
// the job's other tasks are.
type shape struct {
	need  checkpoint.Resources
	zone  unit.Zone
	spot  bool
	types string
}

func shapeOf(s *checkpoint.Spec) shape {
	types := ""
	for _, t := range s.Types {
		types += string(t) + " "
	}
	return shape{need: s.Need(), zone: s.Zone, spot: s.Spot, types: types}
}

// replicas counts the service tasks on the bin's machine, or about to be there.
func (p *planner) replicas(b *bin) int { return p.placed[b] + b.m.Load().Services }

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
	p.rooms[j] -= j.Cost(b.m.ID, n)
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
func (p *planner) room(j *checkpoint.Job) checkpoint.Room {
	r, ok := p.rooms[j]
	if !ok {
		r = j.Room(p.w.ValueBytes, p.w.Parts, p.w.SpecSize(j))
		p.rooms[j] = r
	}
	return r
}

func (p *planner) take(j *checkpoint.Job, b *bin, n int) {
	b.free = b.free.Minus(j.Spec.Need().Times(n))
	if j.Spec.Service {
		p.placed[b] += n
	}
	p.count(j, b, n)
}

// count counts n tasks of the job as being on the bin's machine.
func (p *planner) count(j *checkpoint.Job, b *bin, n int) {
	p.usage[j.Spec.Team] = p.usage[j.Spec.Team].Plus(j.Spec.Need().Times(n))
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
	need := j.Spec.Need()
	for _, b := range p.come {
		if n == 0 {
			break
		}
		// Work that can wait does not count on dear machines: they were rented
		// for what can't.
		if !b.free.Fits(need) || !j.Spec.Allows(b.typ.Name, b.zone, b.spot) || !p.guards && !p.worth(j, b.typ, b.spot) {
			continue
		}
		k := min(n, b.free.Holds(j.Spec.Need()), p.zoneRoom(j, b.zone))
		if p.needsOnlyBegin(j) && !p.isCheap(j, b.typ, b.spot) {
			k = min(k, 1-min(1, p.promised[j]))
		}
		p.promised[j] += k
		p.take(j, b, k)
		n -= k
	}
	return n
}
