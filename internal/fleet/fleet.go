// Package fleet keeps what the leader knows of the machines and of the tasks
// on them. It is a pure state machine: reports and time go in, orders and
// changes come out.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// Type is a machine type as the cloud describes it.
type Type struct {
	Name      unit.MachineType
	Capacity  checkpoint.Resources
	CacheGB   float64
	FetchGBps float64
	Price     float64
	SpotPrice float64
	Boot      time.Duration
	Zones     []unit.Zone
}

// Machine is one machine as the leader knows it.
type Machine struct {
	ID      unit.MachineID
	Addr    string
	Type    unit.MachineType
	Zone    unit.Zone
	Spot    bool
	Session unit.Session
	Tally   unit.Tally
	Token   unit.Epoch // the highest the worker has reported

	Up         bool // has reported in its present session, and is not lost
	Listed     unit.Instant
	Failed     bool
	Since      unit.Instant // when this leader learned of it
	Born       unit.Instant // about when it was rented
	LastReport unit.Instant
	LastBeat   unit.Instant // when it last reported by itself, not in answer to a command
	LastAnswer unit.Instant // the latest that its lease may have been renewed
	IdleSince  unit.Instant
	NoticeAt   unit.Instant // when the cloud takes it; 0: no notice
	Releasing  bool         // a release is recorded: never a task again
	Gone       bool
	Suspect    int // tasks that failed here in a row
	Drained    bool
	Vacating   bool // is being emptied, to be returned
	// Confirmed tells that the machine surely exists: a record or a rental names
	// it, it has answered a command, or has reported the token of this leader.
	// Until then a report may be a copy that was long on its way.
	Confirmed bool
	unheard   int          // commands in a row that it did not answer
	missed    unit.Instant // when it did not answer the last of them

	places  map[placeKey]*checkpoint.Placement
	live    Load
	strays  map[placeKey]Entry // of jobs not known, or a second copy of a task
	used    checkpoint.Resources
	images  map[unit.Image]cached
	pushing bool
	probed  unit.Instant // when it was last sent an empty command
}

// Load counts the placements that may exist on a machine, so that a round need
// not look at each.
type Load struct {
	Tasks    int
	Services int
	Halting  int
	// ServiceCPUs is what the replicas hold.
	ServiceCPUs float64
	// ByPriority counts by the job's priority.
	ByPriority [checkpoint.Prod + 1]int
}

func (l *Load) count(p *checkpoint.Placement, n int) {
	l.Tasks += n
	l.ByPriority[p.Job.Spec.Priority] += n
	if p.Job.Spec.Service {
		l.Services += n
		l.ServiceCPUs += float64(n) * p.Job.Spec.CPUs
	}
	if p.Halting {
		l.Halting += n
	}
}

// Below counts the placements of lower priority.
func (l *Load) Below(prio checkpoint.Priority) int {
	n := 0
	for _, k := range l.ByPriority[:prio] {
		n += k
	}
	return n
}

// placeKey tells the attempts of a task apart: the tombstone of one must stay
// while the next runs.
type placeKey struct {
	task    unit.TaskID
	attempt unit.Attempt
}

func keyOf(p *checkpoint.Placement) placeKey { return placeKey{p.ID(), p.Attempt} }

type cached struct {
	gb   float64
	used unit.Instant
}

// Times are the workers' times and the margins the leader adds.
type Times struct {
	Report time.Duration
	Lease  time.Duration
}

// leaseMargin is added to a worker's lease for timers that fire late, and
// drift for steady clocks that differ.
const (
	leaseMargin = 500 * time.Millisecond
	drift       = 0.0005
	// maxOrders bounds the orders of one message, so that it stays well below
	// MaxBody.
	maxOrders = 400
)

// Ended is a placement that is over.
type Ended struct {
	Placement *checkpoint.Placement
	Cause     Cause
	Stored    bool
}

// Started is a placement first seen running.
type Started struct{ Placement *checkpoint.Placement }

// Changes are what a report brought.
type Changes struct {
	Stale   bool // older than what is known; not taken in
	Higher  bool // the worker has seen a higher token than ours
	Ended   []Ended
	Started []Started
	NewUp   bool // the machine is new, or back in a new session
	Noticed bool
}

// Fleet is all machines.
type Fleet struct {
	times     Times
	types     map[unit.MachineType]*Type
	machines  map[unit.MachineID]*Machine
	sorted    []*Machine            // machines by name; nil: to be made anew
	due       map[*Machine]struct{} // those that a direct command is asked for
	jobs      func(unit.JobID) *checkpoint.Job
	takeover  unit.Instant
	epoch     unit.Epoch
	first     unit.Epoch // with which the leader began
	tombs     int
	gone      map[unit.MachineID]unit.Instant   // machines surely gone, and since when
	delegated func(unit.Zone) (Delegated, bool) // nil: nobody else may keep leases
}

// Delegated says what nodes other than the leader may have done to keep the
// leases of a zone's workers, by grants that leaders gave them: at Last one may
// have kept some, from then to Free surely none did, and after End none can.
type Delegated struct{ Last, Free, End unit.Instant }

// SetDelegated tells where to find what others may have done for a zone.
func (f *Fleet) SetDelegated(of func(unit.Zone) (Delegated, bool)) { f.delegated = of }

// New returns an empty fleet of a leader that acquired its epoch at takeover.
func New(times Times, epoch unit.Epoch, takeover unit.Instant, jobs func(unit.JobID) *checkpoint.Job) *Fleet {
	return &Fleet{times: times, epoch: epoch, first: epoch, takeover: takeover, jobs: jobs,
		types: map[unit.MachineType]*Type{}, machines: map[unit.MachineID]*Machine{}, due: map[*Machine]struct{}{},
		gone: map[unit.MachineID]unit.Instant{}}
}

// SetTypes takes in the machine types.
func (f *Fleet) SetTypes(types []*Type) {
	for _, t := range types {
		f.types[t.Name] = t
	}
}

// Type returns a machine type, or nil.
func (f *Fleet) Type(name unit.MachineType) *Type { return f.types[name] }

// SetEpoch takes in a raised token.
func (f *Fleet) SetEpoch(e unit.Epoch) { f.epoch = e }

// Machine returns a machine, or nil.
func (f *Fleet) Machine(id unit.MachineID) *Machine { return f.machines[id] }

// Machines returns all machines in the order of their names. The list is kept
// until a machine comes or goes: sorting it for each report took half of a
// leader's processor time at 1,500 machines. It must not be changed.
func (f *Fleet) Machines() []*Machine {
	if f.sorted == nil {
		f.sorted = byName(slices.Collect(maps.Values(f.machines)))
	}
	return f.sorted
}

func byName(list []*Machine) []*Machine {
	slices.SortFunc(list, func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Len counts the machines.
func (f *Fleet) Len() int { return len(f.machines) }

// Reporting counts the machines that are up, or may run tasks.
func (f *Fleet) Reporting() int {
	n := 0
	for _, m := range f.machines {
		if (m.Up || m.Busy()) && !m.Failed && !m.Releasing {
			n++
		}
	}
	return n
}

// Tombstones counts exits that wait to be reaped.
func (f *Fleet) Tombstones() int { return f.tombs }

// Ensure returns the machine, making it if it is not known.
func (f *Fleet) Ensure(now unit.Instant, id unit.MachineID) *Machine {
	m := f.machines[id]
	if m == nil {
		m = &Machine{ID: id, Since: now, Born: now, IdleSince: now,
			places: map[placeKey]*checkpoint.Placement{}, strays: map[placeKey]Entry{},
			images: map[unit.Image]cached{}}
		f.machines[id], f.sorted = m, nil
	}
	return m
}

// Free is what is left on the machine by all placements that may exist.
func (f *Fleet) Free(m *Machine) checkpoint.Resources {
	t := f.types[m.Type]
	if t == nil {
		return checkpoint.Resources{}
	}
	return t.Capacity.Minus(m.used)
}

const (
	// maxUnheard commands in a row without an answer, a machine gets no task:
	// nothing may reach it although its reports arrive. Guards against placing
	// on such a machine again in each of its sessions.
	maxUnheard = 2
	// unheardFor is how long that counts: reports may be answered again.
	unheardFor = time.Minute
)

// Placeable tells whether the machine may get tasks.
func (f *Fleet) Placeable(m *Machine) bool {
	return m.Up && m.Confirmed && m.unheard < maxUnheard && !m.Releasing && !m.Gone && !m.Failed && m.NoticeAt == 0 && !m.Drained && !m.Vacating &&
		!m.StrayRuns() && f.types[m.Type] != nil
}

// Quiet tells whether the machine has missed reports, so that a launch sent
// to it would probably hang. Answers to commands are no reports: a machine that
// takes commands but reaches no node loses all it has with its lease.
func (f *Fleet) Quiet(now unit.Instant, m *Machine) bool {
	return now.Sub(m.LastBeat) > 2*f.times.Report+f.times.Report/2
}

// HasImage tells whether the image is known to be on the machine.
func (m *Machine) HasImage(i unit.Image) bool { _, ok := m.images[i]; return ok }

// Knows tells whether a task of the job was placed here in the attempt, and its
// exit may still be on the machine.
func (m *Machine) Knows(job unit.JobID, attempt unit.Attempt) bool {
	for k := range m.places {
		if k.task.Job == job && k.attempt == attempt {
			return true
		}
	}
	return false
}

// Load returns the counts of the placements that may exist on the machine.
func (m *Machine) Load() *Load { return &m.live }

// Live returns the placements that may exist on the machine.
func (m *Machine) Live() []*checkpoint.Placement {
	if m.live.Tasks == 0 {
		return nil
	}
	out := make([]*checkpoint.Placement, 0, m.live.Tasks)
	for _, p := range m.places {
		if p.State != checkpoint.Ended {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(a, b int) bool { return less(out[a].ID(), out[b].ID()) })
	return out
}

// Busy tells whether any placement may exist on the machine.
func (m *Machine) Busy() bool { return m.live.Tasks > 0 || m.StrayRuns() }

// Anchored tells whether a service runs on the machine, so that it won't be
// returned soon anyway.
func (m *Machine) Anchored() bool { return m.live.Services > 0 }

func less(a, b unit.TaskID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Index < b.Index
}

// Place puts a placement on its machine.
func (f *Fleet) Place(now unit.Instant, p *checkpoint.Placement) {
	m := f.Ensure(now, p.Machine)
	m.places[keyOf(p)] = p
	m.used = m.used.Plus(p.Job.Spec.Need())
	m.live.count(p, 1)
	p.Job.Start(p, m.Zone)
}

// Withdraw takes back a placement whose launch was never sent and never will.
func (f *Fleet) Withdraw(now unit.Instant, p *checkpoint.Placement) {
	f.end(now, p, true)
	f.drop(p)
}

// end notes that a placement is over; it stays as a tombstone.
func (f *Fleet) end(now unit.Instant, p *checkpoint.Placement, requeue bool) {
	if p.State == checkpoint.Ended {
		return
	}
	m := f.machines[p.Machine]
	m.used = m.used.Minus(p.Job.Spec.Need())
	m.live.count(p, -1)
	p.Job.End(now, p, m.Zone, requeue)
	p.State = checkpoint.Ended
	f.tombs++
	if !m.Busy() {
		m.used = checkpoint.Resources{}
		m.IdleSince = now
	}
}

// drop forgets a placement that is over and can't be launched any more.
func (f *Fleet) drop(p *checkpoint.Placement) {
	m := f.machines[p.Machine]
	if m != nil && m.places[keyOf(p)] == p {
		delete(m.places, keyOf(p))
		f.tombs--
	}
}

// Take takes in a report, or the report that answers a command. With answered
// the worker's lease is going to be renewed by an answer that leaves now.
func (f *Fleet) Take(now unit.Instant, r *Report, answered bool) Changes {
	m := f.Ensure(now, r.Machine)
	if r.Session < m.Session || r.Session == m.Session && r.Tally <= m.Tally || m.Gone {
		if answered {
			// Even an old report that gets an answer may renew the lease, but
			// from when it was sent: before the newest that is known. Copies of
			// the reports of a dead machine must not keep its lease alive.
			m.LastAnswer = max(m.LastAnswer, m.LastReport)
		}
		return Changes{Stale: true}
	}
	if answered {
		m.LastAnswer, m.LastBeat = now, now
	} else {
		m.Confirmed = true
	}
	var c Changes
	c.NewUp = !m.Up
	if r.Session > m.Session {
		c.NewUp = true
		f.endAll(now, m, &c)
		// The lease of a new session runs from its beginning, whether or not
		// any report of it was answered: the session may have become known by
		// the refusal of a direct command.
		m.LastAnswer = max(m.LastAnswer, now)
	}
	f.describe(now, m, r)
	if r.Token > f.epoch {
		c.Higher = true
	}
	if r.Noticed && m.NoticeAt == 0 {
		c.Noticed = true
		m.NoticeAt = now.Add(r.Notice)
	} else if !r.Noticed {
		m.NoticeAt = 0
	}
	f.match(now, m, r, &c)
	return c
}

func (f *Fleet) describe(now unit.Instant, m *Machine, r *Report) {
	if m.Zone != r.Zone {
		f.moveZone(m, r.Zone)
	}
	m.Addr, m.Type, m.Spot = r.Addr, r.Type, r.Spot
	m.Session, m.Tally = r.Session, r.Tally
	m.Token = max(m.Token, r.Token)
	m.Confirmed = m.Confirmed || r.Token >= f.first
	if now.Sub(m.missed) > unheardFor {
		m.unheard = 0
	}
	m.Up, m.LastReport = true, now
}

// moveZone corrects the zone counts of jobs whose placements were read back
// before the machine's zone was known.
func (f *Fleet) moveZone(m *Machine, z unit.Zone) {
	for _, p := range m.places {
		if p.State != checkpoint.Ended {
			p.Job.ByZone[m.Zone]--
			p.Job.ByZone[z]++
		}
	}
	m.Zone = z
}

// match compares the tasks of a report with the placements.
func (f *Fleet) match(now unit.Instant, m *Machine, r *Report, c *Changes) {
	seen := make(map[placeKey]bool, len(r.Entries))
	m.strays = map[placeKey]Entry{}
	for _, e := range r.Entries {
		k := placeKey{e.Task, e.Attempt}
		p := m.places[k]
		if p == nil {
			p = f.stray(now, m, k, e, r.Token)
		}
		if p != nil {
			seen[k] = true
			f.observe(now, m, p, e, c)
		}
	}
	for k, p := range m.places {
		if !seen[k] {
			f.absent(now, p, r, c)
		}
	}
}

// stray takes in a task that no placement names, and makes one for it, so that
// it counts like any other: what may run must not be started elsewhere. If the
// job is not known, or the task has a placement already, the worker is told to
// halt it and the machine gets nothing until it is gone. Its launch was sent under
// the token that the worker had seen, at most: with this leader's own, a task that
// only an old copy of a report named could not be proven gone, and waited on.
func (f *Fleet) stray(now unit.Instant, m *Machine, k placeKey, e Entry, token unit.Epoch) *checkpoint.Placement {
	j := f.jobs(e.Task.Job)
	if j == nil || int(e.Task.Index) >= j.Spec.Tasks || (e.State != stateExited && j.Live[e.Task.Index] != nil) {
		m.strays[k] = e
		return nil
	}
	p := &checkpoint.Placement{Job: j, Task: e.Task.Index, Machine: m.ID, Session: m.Session,
		Attempt: e.Attempt, Token: token, Since: now}
	if e.State == stateExited {
		if e.Cause == CauseDone {
			j.Complete(now, p.Task)
		}
		p.State, p.EndSeq = checkpoint.Ended, j.Seq
		m.places[k] = p
		f.tombs++
		return p
	}
	p.State = checkpoint.Fetching
	f.Place(now, p)
	j.Touch(now)
	if j.Phase.Final() || j.Done.Has(p.Task) {
		f.Halt(now, p, 0)
	}
	return p
}

// StrayRuns tells whether a task that no placement names may run here.
func (m *Machine) StrayRuns() bool {
	for _, e := range m.strays {
		if e.State != stateExited {
			return true
		}
	}
	return false
}

func (f *Fleet) observe(now unit.Instant, m *Machine, p *checkpoint.Placement, e Entry, c *Changes) {
	if p.State == checkpoint.Ended {
		return
	}
	switch e.State {
	case stateFetching, stateGathering:
		p.State = checkpoint.Fetching
	case stateRunning:
		f.touchImage(now, m, &p.Job.Spec)
		if p.State != checkpoint.Running {
			p.State, p.Ran = checkpoint.Running, now
			c.Started = append(c.Started, Started{p})
		}
	case stateFlushing:
		p.State = checkpoint.Flushing
	case stateExited:
		if e.Cause == CauseDone {
			f.touchImage(now, m, &p.Job.Spec)
			p.Job.Complete(now, p.Task)
		}
		f.end(now, p, true)
		c.Ended = append(c.Ended, Ended{p, e.Cause, e.Stored})
	}
}

// absent handles a placement that a report lacks. Its launch may be on the
// way, so absence proves something only if the worker has seen a higher token
// than any that the launch was sent under: then it will never be executed.
func (f *Fleet) absent(now unit.Instant, p *checkpoint.Placement, r *Report, c *Changes) {
	if r.Token <= p.Token {
		return
	}
	if p.State == checkpoint.Ended {
		f.drop(p) // reaped
		return
	}
	if p.Launch && p.Token == 0 {
		return // committed under this epoch and not sent yet
	}
	f.end(now, p, true)
	f.drop(p)
	c.Ended = append(c.Ended, Ended{p, CauseLost, false})
}

func (f *Fleet) touchImage(now unit.Instant, m *Machine, s *checkpoint.Spec) {
	m.images[s.Image] = cached{gb: s.ImageGB, used: now}
	t := f.types[m.Type]
	if t == nil || t.CacheGB <= 0 {
		return
	}
	for m.cachedGB() > t.CacheGB && len(m.images) > 1 {
		delete(m.images, m.oldestImage())
	}
}

func (m *Machine) cachedGB() float64 {
	sum := 0.0
	for _, c := range m.images {
		sum += c.gb
	}
	return sum
}

func (m *Machine) oldestImage() unit.Image {
	var oldest unit.Image
	first := true
	for i, c := range m.images {
		if first || c.used < m.images[oldest].used || c.used == m.images[oldest].used && i < oldest {
			oldest, first = i, false
		}
	}
	return oldest
}

// endAll ends every placement of the machine, which surely runs none of them.
func (f *Fleet) endAll(now unit.Instant, m *Machine, c *Changes) {
	for _, p := range m.Live() {
		f.end(now, p, true)
		c.Ended = append(c.Ended, Ended{p, CauseLost, false})
	}
	for id := range m.places {
		delete(m.places, id)
		f.tombs--
	}
	m.strays = map[placeKey]Entry{}
	m.used = checkpoint.Resources{}
}

// Remove takes out a machine that is surely gone.
func (f *Fleet) Remove(now unit.Instant, id unit.MachineID) Changes {
	var c Changes
	m := f.machines[id]
	if m == nil {
		return c
	}
	f.endAll(now, m, &c)
	m.Gone = true
	m.Up = false
	delete(f.machines, id)
	delete(f.due, m)
	f.sorted = nil
	f.gone[id] = now
	return c
}

// Fail notes that a machine has stopped by itself, with all that was on it.
func (f *Fleet) Fail(now unit.Instant, m *Machine) Changes {
	var c Changes
	f.endAll(now, m, &c)
	m.Failed, m.Up = true, false
	return c
}

// Gone tells whether a machine is known to be gone. Old lists and late reports
// may still name it.
func (f *Fleet) Gone(id unit.MachineID) bool { _, gone := f.gone[id]; return gone }

// Forget drops the memory of machines gone for longer than d.
func (f *Fleet) Forget(now unit.Instant, d time.Duration) {
	for id, at := range f.gone {
		if now.Sub(at) > d {
			delete(f.gone, id)
		}
	}
}

// Describe sets what is known of a machine that has not reported.
func (f *Fleet) Describe(m *Machine, t unit.MachineType, z unit.Zone, spot bool) {
	if m.Zone != z {
		f.moveZone(m, z)
	}
	m.Type, m.Spot = t, spot
}

// LeaseOver tells whether the machine's worker has surely lost its lease: it
// counts from the last answer that anybody entitled can have given, a node that
// keeps leases by a grant included.
func (f *Fleet) LeaseOver(now unit.Instant, m *Machine) bool {
	last := max(m.LastAnswer, f.takeover)
	life := time.Duration(float64(f.times.Lease)*(1+2*drift)) + leaseMargin
	if f.delegated != nil {
		if v, ok := f.delegated(m.Zone); ok {
			// It was over while surely nobody kept it, or it is so since nobody
			// can keep it any more.
			last = max(last, v.Last)
			return min(now, v.Free).Sub(last) > life || now.Sub(max(last, v.End)) > life
		}
	}
	return now.Sub(last) > life
}

// Expire ends the placements of machines whose lease has surely run out. Their
// session is over, so what they say of it from now on is stale.
func (f *Fleet) Expire(now unit.Instant) Changes {
	var c Changes
	for _, m := range f.Machines() {
		if !f.LeaseOver(now, m) || (!m.Up && !m.Busy()) {
			continue
		}
		f.endAll(now, m, &c)
		if m.Session > 0 {
			m.Session, m.Tally = m.Session+1, 0
		}
		m.Up = false
	}
	return c
}

// Halt tells a placement to stop, saving first if it has leave to. One whose
// launch has never left is over at once: it is never sent again.
func (f *Fleet) Halt(now unit.Instant, p *checkpoint.Placement, leave time.Duration) {
	if p.State == checkpoint.Ended || p.Halting && leave >= p.Leave {
		return
	}
	m := f.machines[p.Machine]
	if !p.Halting {
		p.Halted = now
		if m != nil {
			m.live.Halting++
		}
	}
	p.Halting, p.Leave = true, leave
	if p.State == checkpoint.Pending && p.Token == 0 {
		f.Withdraw(now, p)
		return
	}
	f.Push(p.Machine)
}

// Push asks for a direct command to the machine.
func (f *Fleet) Push(id unit.MachineID) {
	if m := f.machines[id]; m != nil {
		f.due[m] = struct{}{}
	}
}

// Pushes returns the machines that a direct command is due to, and marks them
// as being sent one.
func (f *Fleet) Pushes() []*Machine {
	var out []*Machine
	for m := range f.due {
		if !m.pushing && m.Up && m.Addr != "" {
			delete(f.due, m)
			m.pushing = true
			out = append(out, m)
		}
	}
	return byName(out)
}

// Probes returns the machines that have missed a report, and those that have
// reported and that nothing vouches for, and marks them as being sent a command:
// an empty one, whose answer shows that they live.
func (f *Fleet) Probes(now unit.Instant) []*Machine {
	var out []*Machine
	for _, m := range f.Machines() {
		if !m.Up || m.pushing || m.Addr == "" {
			continue
		}
		missed := now.Sub(m.LastReport) > f.times.Report*7/5 && now.Sub(m.probed) > f.times.Report/2
		if missed || !m.Confirmed && m.unheard < maxUnheard {
			m.pushing, m.probed = true, now
			out = append(out, m)
		}
	}
	return out
}

// Pushed notes that a direct command was answered, or given up.
func (f *Fleet) Pushed(now unit.Instant, id unit.MachineID, answered bool) {
	m := f.machines[id]
	if m == nil {
		return
	}
	m.pushing = false
	if answered {
		m.unheard = 0
		return
	}
	m.unheard++
	m.missed = now
}

// Orders are the commands the machine is due: halts, launches and, in the
// answer to a report, reaps. Repeating any of them is harmless: launches and
// halts name an attempt, and an exit is reaped only when no copy of its launch
// can still be under way.
func (f *Fleet) Orders(now unit.Instant, m *Machine, reaps bool) []Order {
	var halts, launches, rest []Order
	for _, p := range m.places {
		switch {
		case p.State == checkpoint.Ended:
			if reaps && f.reapable(m, p) {
				rest = append(rest, Order{Verb: Reap, Task: p.ID(), Attempt: p.Attempt})
			}
		case p.Halting:
			if p.State != checkpoint.Flushing || p.Leave == 0 {
				halts = append(halts, Order{Verb: Halt, Task: p.ID(), Attempt: p.Attempt, Leave: p.Leave})
			}
		case p.State == checkpoint.Pending && p.Launch && p.Session == m.Session:
			p.Token = f.epoch
			launches = append(launches, Order{Verb: Launch, Task: p.ID(), Attempt: p.Attempt})
		}
	}
	for k, e := range m.strays {
		if e.State != stateExited {
			halts = append(halts, Order{Verb: Halt, Task: k.task, Attempt: k.attempt})
		}
	}
	return cut(sorted(halts), sorted(launches), sorted(rest))
}

func sorted(o []Order) []Order {
	sort.Slice(o, func(a, b int) bool { return less(o[a].Task, o[b].Task) })
	return o
}

func cut(lists ...[]Order) []Order {
	var out []Order
	for _, l := range lists {
		out = append(out, l...)
	}
	if len(out) > maxOrders {
		out = out[:maxOrders]
	}
	return out
}

// reapable: the meaning of the exit is stored, and the worker has seen a
// higher token than any launch of the attempt was sent under. Late copies of
// the launch are refused from then on; before, the exit is a tombstone that
// keeps such a copy from running the task a second time.
func (f *Fleet) reapable(m *Machine, p *checkpoint.Placement) bool {
	return p.Job.Stored >= p.EndSeq && m.Token > p.Token
}
