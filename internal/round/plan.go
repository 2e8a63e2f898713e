package round

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"sort"
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
	SpecSize   func(*checkpoint.Job) int
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
}

// Make plans a round. It changes nothing it is given.
func Make(w *World) *Plan {
	p := &planner{w: w, plan: &Plan{}, usage: map[unit.Team]checkpoint.Resources{}, giving: map[unit.Team]checkpoint.Resources{},
		placed: map[*bin]int{}, claimed: map[*checkpoint.Job]unit.Ranges{}, starts: map[*checkpoint.Job]float64{}, least: map[*checkpoint.Job]float64{},
		added: map[*checkpoint.Job]map[unit.Zone]int{}, taken: map[*checkpoint.Placement]bool{}, rooms: map[*checkpoint.Job]checkpoint.Room{},
		demand: map[unit.Class]int{}, nowhere: map[shape]bool{}, inZone: map[unit.Zone]int{},
		elders: map[*checkpoint.Job]*checkpoint.Placement{}, ahead: map[*checkpoint.Job]float64{}, usable: map[shape]float64{}, began: map[*checkpoint.Job]int{}, promised: map[*checkpoint.Job]int{}}
	p.plan.Record = Record{Schema: Schema, No: w.No, Epoch: w.Epoch}
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

// turn is a job's place in the order. A job has two turns if only some of its
// tasks fit its team's guarantee: those come first. One that has waited long
// has a turn for the tasks that never ran before all work below High.
type turn struct {
	job        *checkpoint.Job
	guaranteed bool
	first      bool
}

// rank orders turns by priority, the highest first.
func (t turn) rank() int {
	if t.first {
		return 2*int(checkpoint.High) - 1
	}
	return 2 * int(t.job.Spec.Priority)
}

const (
	// neglected, in seconds: what has waited so long and has not begun goes
	// before others, so that nothing waits for ever behind what goes first.
	neglected = 140
	// neglectedPart bounds the part of the machines that such work may have.
	neglectedPart = 0.3
	// reservedPart: of what a machine could hold of an old job's tasks, one in
	// so many is counted on when it is reserved.
	reservedPart = 2
	// overdue, in seconds: what has waited so long goes before others with all
	// its tasks that never ran, whatever part of the machines that takes.
	overdue = 180
)

// isOld tells whether the job may have been neglected.
func (p *planner) isOld(j *checkpoint.Job) bool {
	return j.Spec.Priority < checkpoint.High && !j.Spec.Gang && !j.Spec.Service &&
		float64(p.w.WallMs-j.Accepted) >= neglected*1000
}

// forNeglected is how many CPUs old jobs may have beyond what they hold. What
// nothing runs of has one task all the same.
func (p *planner) forNeglected() float64 {
	room := 0.0
	for _, b := range p.bins {
		room += neglectedPart * b.typ.Capacity.CPUs
	}
	for _, j := range p.w.All {
		if p.isOld(j) {
			room -= float64(len(j.Live)) * j.Spec.CPUs
		}
	}
	return room
}

// order sorts the jobs: by priority, then work within a team's guarantee
// first, then arrival.
func (p *planner) order() {
	for _, j := range p.w.Jobs {
		p.queue = append(p.queue, turn{job: j})
		if p.isOld(j) && len(j.Fresh(1)) > 0 {
			p.queue = append(p.queue, turn{job: j, first: true})
		}
		if p.withinGuarantee(j) && !j.Spec.Gang {
			p.queue = append(p.queue, turn{job: j, guaranteed: true})
		}
	}
	sort.SliceStable(p.queue, func(a, b int) bool {
		x, y := p.queue[a], p.queue[b]
		switch {
		case x.rank() != y.rank():
			return x.rank() > y.rank()
		case x.guaranteed != y.guaranteed:
			return x.guaranteed
		case x.job.Accepted != y.job.Accepted:
			return x.job.Accepted < y.job.Accepted
		}
		return x.job.ID < y.job.ID
	})
}

// guaranteed tells how many more tasks of the job its team's guarantee covers.
func (p *planner) guaranteed(j *checkpoint.Job) int {
	t, used := p.w.Teams[j.Spec.Team], p.usage[j.Spec.Team]
	n := int((t.CPUs - used.CPUs + 1e-6) / j.Spec.CPUs)
	if j.Spec.GPUs > 0 {
		n = min(n, int((t.GPUs-used.GPUs+1e-6)/j.Spec.GPUs))
	}
	return max(0, n)
}

// withinGuarantee tells whether one more task of the job keeps its team within
// its guarantee.
func (p *planner) withinGuarantee(j *checkpoint.Job) bool {
	t := p.w.Teams[j.Spec.Team]
	after := p.usage[j.Spec.Team].Plus(j.Spec.Need())
	return t.CPUs > 0 && after.CPUs <= t.CPUs+1e-6 && (after.GPUs == 0 || after.GPUs <= t.GPUs+1e-6)
}

// quota tells how many more tasks of the job its team's limit allows.
func (p *planner) quota(j *checkpoint.Job) int {
	t, used := p.w.Teams[j.Spec.Team], p.usage[j.Spec.Team]
	n := math.MaxInt32
	if t.CPUsMax > 0 && j.Spec.CPUs > 0 {
		n = min(n, int((t.CPUsMax-used.CPUs+1e-6)/j.Spec.CPUs))
	}
	if t.GPUsMax > 0 && j.Spec.GPUs > 0 {
		n = min(n, int((t.GPUsMax-used.GPUs+1e-6)/j.Spec.GPUs))
	}
	return max(0, n)
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
	if j.Spec.Gang && !p.holdsAll(j, bins, left) {
		return p.wholeGang(j, left)
	}
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
		n := min(len(tasks), fitCount(b.free, j.Spec.Need()), p.zoneRoom(j, b.zone))
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

// reserve keeps machines for n tasks of an old job that found no room: what
// becomes free there goes to nobody after it. Smaller tasks filled every hole
// as it opened, and larger ones waited behind them for ever.
func (p *planner) reserve(j *checkpoint.Job, n int) {
	var held []*bin
	for _, b := range p.bins {
		if p.allowed(j, b) && p.mayUse(j, b) && b.typ.Capacity.Fits(j.Spec.Need()) && p.zoneRoom(j, b.zone) > 0 {
			held = append(held, b)
		}
	}
	// Those that need the least to be given back first.
	slices.SortStableFunc(held, func(x, y *bin) int { return cmp.Compare(y.free.CPUs, x.free.CPUs) })
	most := int(neglectedPart * float64(len(p.bins)))
	for i, b := range held {
		if n <= 0 || i == most {
			return
		}
		n -= max(1, fitCount(b.typ.Capacity, j.Spec.Need())/reservedPart)
		b.free = checkpoint.Resources{}
	}
}

// rush tells whether the job must start sooner than the bin's machine could
// fetch its image.
func (p *planner) rush(j *checkpoint.Job, b *bin) bool {
	within := p.w.Expect[j.Spec.Class].Start.Seconds()
	return within > 0 && j.Spec.Priority >= checkpoint.High && b.typ.FetchGBps > 0 && j.Spec.ImageGB/b.typ.FetchGBps > within
}

// firstTasks is how many tasks an old job may start before others.
func (p *planner) firstTasks(j *checkpoint.Job) int {
	n := int(p.spareForOld / j.Spec.CPUs)
	if float64(p.w.WallMs-j.Accepted) >= overdue*1000 {
		n = math.MaxInt32
	}
	if len(j.Live) == 0 {
		n = max(n, 1)
	}
	n = len(j.Fresh(min(max(0, n), j.Queue.Len())))
	p.spareForOld -= float64(n) * j.Spec.CPUs
	return n
}

// claim lists n queued tasks of the job that the plan has not dealt with yet,
// or only such as never ran.
func (p *planner) claim(j *checkpoint.Job, n int, fresh bool) []unit.TaskIndex {
	var out []unit.TaskIndex
	claimed := p.claimed[j]
	if fresh {
		out = j.Fresh(n)
	} else {
		j.Queue.Each(func(i unit.TaskIndex) bool {
			if !claimed.Has(i) {
				out = append(out, i)
			}
			return len(out) < n
		})
	}
	for _, i := range out {
		claimed.Add(i)
	}
	p.claimed[j] = claimed
	return out
}

func fitCount(free, need checkpoint.Resources) int {
	n := math.MaxInt32
	if need.CPUs > 0 {
		n = min(n, int((free.CPUs+1e-6)/need.CPUs))
	}
	if need.GPUs > 0 {
		n = min(n, int((free.GPUs+1e-6)/need.GPUs))
	}
	if need.MemoryGB > 0 {
		n = min(n, int((free.MemoryGB+1e-6)/need.MemoryGB))
	}
	return max(0, n)
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
	st := Start{Job: j.ID, Machine: b.m.ID, Shift: b.m.Shift}
	for _, i := range tasks {
		st.Tasks.Add(i)
	}
	// Room is kept for one rental.
	if p.size+st.SizeOf()+2*hireSize > p.w.ValueBytes {
		p.full = true
		return 0
	}
	p.size += st.SizeOf()
	p.plan.Record.Starts = append(p.plan.Record.Starts, st)
	b.started = true
	p.began[j] += len(tasks)
	p.rooms[j] -= j.Cost(b.m.ID, len(tasks))
	p.take(j, b, len(tasks))
	return len(tasks)
}

// room is what the job's record still holds, with what this plan has started.
func (p *planner) room(j *checkpoint.Job) checkpoint.Room {
	r, ok := p.rooms[j]
	if !ok {
		r = j.Room(p.w.ValueBytes, p.w.SpecSize(j))
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
		k := min(n, fitCount(b.free, j.Spec.Need()), p.zoneRoom(j, b.zone))
		if p.needsOnlyBegin(j) && !p.isCheap(j, b.typ, b.spot) {
			k = min(k, 1-min(1, p.promised[j]))
		}
		p.promised[j] += k
		p.take(j, b, k)
		n -= k
	}
	return n
}

func (p *planner) mayPreempt(j *checkpoint.Job) bool {
	if j.Spec.Priority >= checkpoint.High || p.patience(j) < 2*urgentBelow {
		return true
	}
	return p.w.Now.Sub(j.QueuedAt) >= p.w.Policy.PreemptAfter
}

// holdsAll tells whether a gang fits the free room whole: all its tasks that
// are not done must be queued, and there must be room for each now. A gang
// enters a round whole or not at all.
func (p *planner) holdsAll(j *checkpoint.Job, bins []*bin, left int) bool {
	if len(j.Live) > 0 || left < j.Queue.Len() {
		return false
	}
	room := map[unit.Zone]int{}
	size := p.size
	for _, b := range bins {
		n := fitCount(b.free, j.Spec.Need())
		room[b.zone] = min(p.zoneRoom(j, b.zone), room[b.zone]+n)
		size += (&Start{Job: j.ID, Machine: b.m.ID, Tasks: unit.Full(max(1, n))}).SizeOf()
	}
	if size+2*hireSize > p.w.ValueBytes {
		return false
	}
	if j.Spec.OneZone {
		return p.pickZone(j, bins, room, left)
	}
	sum := 0
	for _, n := range room {
		sum += n
	}
	return sum >= left
}

// pickZone puts the bins of a zone that holds the whole gang first.
func (p *planner) pickZone(j *checkpoint.Job, bins []*bin, room map[unit.Zone]int, left int) bool {
	for _, b := range bins {
		if room[b.zone] >= left {
			zone := b.zone
			sort.SliceStable(bins, func(a, c int) bool { return bins[a].zone == zone && bins[c].zone != zone })
			return true
		}
	}
	return false
}

// wholeGang handles a gang that does not fit: what is coming may hold it, else
// machines are rented for the whole of it.
func (p *planner) wholeGang(j *checkpoint.Job, left int) int {
	if len(j.Live) > 0 || left < j.Queue.Len() {
		return 0
	}
	p.plan.Short += left
	room := 0
	for _, b := range append(append([]*bin(nil), p.bins...), p.come...) {
		if j.Spec.Allows(b.typ.Name, b.zone, b.spot) {
			room += fitCount(b.free, j.Spec.Need())
		}
	}
	return max(0, left-room)
}

// spot is where room for one task can be made, and what that costs.
type spot struct {
	b     *bin
	stops []*checkpoint.Placement
	cost  float64
}

// makeRoom makes room for up to n tasks of the job where that costs least
// work, by stopping what is in their way, and returns for how many it did. Room
// that is already being made, or is left there, is kept for the job. With
// holders only machines that hold the image count.
func (p *planner) makeRoom(j *checkpoint.Job, n int, holders bool) int {
	if n <= 0 {
		return 0
	}
	spots := &spots{}
	borrowed := p.mayTakeBack(j)
	p.plan.Work += len(p.bins)
	for _, b := range p.bins {
		if !b.yields(j, borrowed) || !p.allowed(j, b) || p.zoneRoom(j, b.zone) == 0 || holders && !b.m.HasImage(j.Spec.Image) {
			continue
		}
		if s, ok := p.spotAt(j, b); ok {
			*spots = append(*spots, s)
		}
	}
	heap.Init(spots)
	made := 0
	for made < n && spots.Len() > 0 {
		// What was decided since may have changed what this one costs.
		s, ok := p.spotAt(j, (*spots)[0].b)
		switch {
		case !ok || p.zoneRoom(j, s.b.zone) == 0:
			heap.Pop(spots)
		case s.cost > (*spots)[0].cost:
			(*spots)[0] = s
			heap.Fix(spots, 0)
		default:
			p.stop(j, s)
			made++
		}
	}
	return made
}

// yields tells whether the bin can hold a task of the job at all after stops.
func (b *bin) yields(j *checkpoint.Job, borrowed bool) bool {
	l := b.m.Load()
	return borrowed || l.Halting > 0 || l.Below(j.Spec.Priority) > 0 || b.free.Plus(b.later).Fits(j.Spec.Need())
}

// mayTakeBack tells whether work of any priority may be stopped for the job:
// its team is within its guarantee, and another beyond its own.
func (p *planner) mayTakeBack(j *checkpoint.Job) bool {
	if !p.guards || !p.withinGuarantee(j) {
		return false
	}
	for name, t := range p.w.Teams {
		if name != j.Spec.Team && p.usage[name].Minus(p.giving[name]).CPUs > t.CPUs {
			return true
		}
	}
	return false
}

func (p *planner) spotAt(j *checkpoint.Job, b *bin) (spot, bool) {
	stops, cost, ok := p.victims(j, b)
	if !b.m.HasImage(j.Spec.Image) {
		cost += 1 + j.Spec.ImageGB*4
	}
	return spot{b, stops, cost}, ok
}

func (p *planner) stop(j *checkpoint.Job, s spot) {
	for _, v := range s.stops {
		p.taken[v] = true
		s.b.later = s.b.later.Plus(v.Job.Spec.Need())
		if !v.Halting {
			p.plan.Stops = append(p.plan.Stops, Stop{v, j.ID})
			p.giving[v.Job.Spec.Team] = p.giving[v.Job.Spec.Team].Plus(v.Job.Spec.Need())
		}
	}
	s.b.promise(j.Spec.Need())
	p.count(j, s.b, 1)
}

// spots is a heap, the cheapest first.
type spots []spot

func (s spots) Len() int           { return len(s) }
func (s spots) Less(a, b int) bool { return s[a].cost < s[b].cost }
func (s spots) Swap(a, b int)      { s[a], s[b] = s[b], s[a] }
func (s *spots) Push(x any)        { *s = append(*s, x.(spot)) }
func (s *spots) Pop() any          { o := *s; x := o[len(o)-1]; *s = o[:len(o)-1]; return x }

// victims returns what must stop on the bin's machine to fit one task of the
// job, and what it costs in CPU seconds of lost work.
func (p *planner) victims(j *checkpoint.Job, b *bin) ([]*checkpoint.Placement, float64, bool) {
	need := j.Spec.Need()
	if !b.typ.Capacity.Fits(need) {
		return nil, 0, false
	}
	free, cost := b.free.Plus(b.later), 0.0
	var out []*checkpoint.Placement
	for _, v := range p.candidates(j, b) {
		if free.Fits(need) {
			break
		}
		out = append(out, v)
		free = free.Plus(v.Job.Spec.Need())
		cost += p.lost(v)
	}
	return out, cost, free.Fits(need)
}

// candidates lists what may be stopped for the job: first what is stopping
// already, then the lowest priority, then what loses least.
func (p *planner) candidates(j *checkpoint.Job, b *bin) []*checkpoint.Placement {
	var out []*checkpoint.Placement
	p.plan.Work += b.m.Load().Tasks
	for _, v := range b.running() {
		if !p.taken[v] && (v.Halting || p.mayStop(j, v)) {
			out = append(out, v)
		}
	}
	sort.SliceStable(out, func(a, c int) bool {
		x, y := out[a], out[c]
		if x.Halting != y.Halting {
			return x.Halting
		}
		if x.Job.Spec.Priority != y.Job.Spec.Priority {
			return x.Job.Spec.Priority < y.Job.Spec.Priority
		}
		return p.lost(x) < p.lost(y)
	})
	return out
}

func (p *planner) mayStop(j *checkpoint.Job, v *checkpoint.Placement) bool {
	if j.Spec.Priority < checkpoint.High && p.mustRun(v) {
		return false
	}
	if v.Job.Spec.Priority < j.Spec.Priority {
		return true
	}
	// Work beyond another team's guarantee must yield whatever its priority;
	// but stopping what would go before the job again is of no use to anybody.
	if v.Job.Spec.Team == j.Spec.Team || v.Job.Spec.Priority > j.Spec.Priority || !p.withinGuarantee(j) {
		return false
	}
	t := p.w.Teams[v.Job.Spec.Team]
	// Stopping it must leave its team no less than its guarantee.
	left := p.usage[v.Job.Spec.Team].Minus(p.giving[v.Job.Spec.Team]).Minus(v.Job.Spec.Need())
	return left.CPUs >= t.CPUs-1e-6
}

// mustRun tells whether the placement belongs to a job that waited long for it,
// and has not run for long enough to count as started, or has run longest of a
// job with nothing done, and is let run to its end.
func (p *planner) mustRun(v *checkpoint.Placement) bool {
	j := v.Job
	if !p.isOld(j) {
		return false
	}
	fresh := !j.Ran.Has(v.Task) && (v.State != checkpoint.Running || p.w.Now.Sub(v.Ran) < checkpoint.Counts)
	return fresh || len(j.Done) == 0 && p.eldest(j) == v
}

// eldest is the placement of the job that has run longest.
func (p *planner) eldest(j *checkpoint.Job) *checkpoint.Placement {
	if v, ok := p.elders[j]; ok {
		return v
	}
	var out *checkpoint.Placement
	for _, v := range j.Live {
		if out == nil || elder(v, out) {
			out = v
		}
	}
	p.elders[j] = out
	return out
}

// elder tells whether one placement of a job has run longer than another.
func elder(v, w *checkpoint.Placement) bool {
	switch {
	case (v.Ran == 0) != (w.Ran == 0):
		return v.Ran != 0
	case v.Ran != w.Ran:
		return v.Ran < w.Ran
	}
	return v.Task < w.Task
}

// lost is the work, in CPU seconds, that stopping a placement throws away.
func (p *planner) lost(v *checkpoint.Placement) float64 {
	if v.Halting {
		return 0
	}
	s := &v.Job.Spec
	if v.State != checkpoint.Running {
		return 0.5 * s.CPUs
	}
	if s.CheckpointS > 0 {
		return (1 + s.SaveS) * s.CPUs
	}
	return (1 + p.w.Now.Sub(v.Ran).Seconds()) * s.CPUs
}
