package quota

import (
	"maps"
	"slices"
	"time"

	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

const (
	// askEvery is the pause between two asks of a holder, and storeEvery the least
	// time between two changes of its reservations.
	askEvery   = time.Second
	storeEvery = time.Second
	// demandFor is how long a submission counts as demand of its team, and
	// forgetAfter how long after the last a holder gives back what it does not use.
	demandFor   = 5 * time.Second
	forgetAfter = 10 * time.Second
	// retryRegister is the pause between two attempts to become a holder.
	retryRegister = 3 * time.Second
)

// HolderInput is what a holder takes: one of the types below.
type HolderInput interface{ holderInput() }

// Inputs of a holder.
type (
	// Tick lets time pass.
	Tick struct{}
	// Submitted is a job that this node has just stored, and nobody else has.
	Submitted struct {
		Job   unit.JobID
		Team  unit.Team
		Tasks int
		Need  Units
		Gang  bool // is admitted whole or not at all
	}
	// Registered answers Register. Stamp 0: it failed.
	Registered struct{ Stamp unit.Revision }
	// Stored answers Store.
	Stored struct {
		Outcome StoreOutcome
		Stamp   unit.Revision // of the reservations
	}
	// Answered answers SendAsk; nil: nothing came.
	Answered struct{ Answer *Answer }
)

func (Tick) holderInput()       {}
func (Submitted) holderInput()  {}
func (Registered) holderInput() {}
func (Stored) holderInput()     {}
func (Answered) holderInput()   {}

// StoreOutcome is what became of a change of the reservations.
type StoreOutcome int

// Outcomes.
const (
	StoreOK StoreOutcome = iota
	// StoreRefused: it was surely not carried out; try again.
	StoreRefused
	// StoreFenced: the holder key is not what it was. Nothing that this holder had
	// counts any more.
	StoreFenced
	// StoreOtherLeader: the leader that said what may be freed does not lead now.
	StoreOtherLeader
)

// HolderEffect is what a holder asks for: one of the types below.
type HolderEffect interface{ holderEffect() }

// Effects of a holder.
type (
	// Register sets the holder key anew.
	Register struct{ Node string }
	// Store writes the reservations under the guards; its outcome is found out if
	// it is not answered.
	Store struct {
		Key      string
		Reserved *Reserved
		Guards   []statestore.Condition
	}
	// SendAsk asks the leader.
	SendAsk struct{ Ask Ask }
)

func (Register) holderEffect() {}
func (Store) holderEffect()    {}
func (SendAsk) holderEffect()  {}

// share is what a holder has of a team's limit.
type share struct {
	allotted  Units // that it may use: confirmed, and not given back
	promise   uint64
	confirmed uint64 // the last promise that the leader has stored
	demand    []demand
}

// demand is what a submission would have taken.
type demand struct {
	at    unit.Instant
	units Units
}

// hold is a reservation as the holder knows it. It counts for the larger of what is
// stored and what is to be stored.
type hold struct {
	team   unit.Team
	need   Units
	tasks  int // that are to be stored
	stored int // that are, or may be
	sent   int // in the change under way
}

func (h *hold) units() Units { return h.need.Times(max(h.tasks, h.stored)) }

// Holder is the state machine of one holder.
type Holder struct {
	node    string
	maxJobs int
	stamp   unit.Revision // of the holder key; 0: not a holder
	teams   map[unit.Team]*share
	holds   map[unit.JobID]*hold

	registering bool
	nextTry     unit.Instant
	lastDemand  unit.Instant
	asking      bool
	nextAsk     unit.Instant
	asked       unit.JobID // the last job that was asked about
	leader      unit.Epoch // of the last answer

	storing       bool
	dirty         bool // the stored reservations differ
	nextStore     unit.Instant
	reservedStamp unit.Revision // of the stored reservations
	refused       int           // submissions that could not be admitted here
	admitted      int
}

// bytesPerReservation bounds what a reservation takes of a value, in JSON: a job's and
// a team's name, three numbers, and base64.
const bytesPerReservation = 72

// NewHolder returns the holder of a node whose reservations may take so many bytes.
func NewHolder(node string, valueBytes int) *Holder {
	const head = 512 // of the record, with its sums
	return &Holder{node: node, maxJobs: max(0, (valueBytes-head)/bytesPerReservation), teams: map[unit.Team]*share{}, holds: map[unit.JobID]*hold{}}
}

// Step takes one input at now and returns what to do.
func (h *Holder) Step(now unit.Instant, in HolderInput) []HolderEffect {
	switch in := in.(type) {
	case Tick:
		return h.tick(now)
	case Submitted:
		h.submitted(now, in)
	case Registered:
		h.registered(now, in)
	case Stored:
		h.stored(now, in)
	case Answered:
		h.answered(now, in)
	}
	return nil
}

func (h *Holder) share(team unit.Team) *share {
	s := h.teams[team]
	if s == nil {
		s = &share{}
		h.teams[team] = s
	}
	return s
}

// reserved is what is reserved of a team's limit.
func (h *Holder) reserved(team unit.Team) Units {
	var sum Units
	for _, r := range h.holds {
		if r.team == team {
			sum = sum.Plus(r.units())
		}
	}
	return sum
}

// submitted admits what fits of a job. What does not is the leader's to admit.
func (h *Holder) submitted(now unit.Instant, in Submitted) {
	s := h.share(in.Team)
	s.demand = append(s.demand, demand{now, in.Need.Times(in.Tasks)})
	h.lastDemand = now
	if h.stamp == 0 || h.holds[in.Job] != nil || len(h.holds) >= h.maxJobs {
		h.refused++
		return
	}
	n := min(in.Tasks, s.allotted.Minus(h.reserved(in.Team)).Holds(in.Need))
	if n == 0 || in.Gang && n < in.Tasks {
		h.refused++
		return
	}
	h.holds[in.Job] = &hold{team: in.Team, need: in.Need, tasks: n}
	h.dirty = true
	h.admitted++
}

func (h *Holder) tick(now unit.Instant) []HolderEffect {
	var out []HolderEffect
	if h.stamp == 0 {
		return h.register(now)
	}
	if h.dirty && !h.storing && !now.Before(h.nextStore) {
		out = append(out, h.store(now)...)
	}
	if !h.asking && !now.Before(h.nextAsk) {
		out = append(out, h.ask(now)...)
	}
	return out
}

// register makes this node a holder, once anything is submitted to it.
func (h *Holder) register(now unit.Instant) []HolderEffect {
	if h.registering || now.Before(h.nextTry) || h.lastDemand == 0 || now.Sub(h.lastDemand) > demandFor {
		return nil
	}
	h.registering = true
	return []HolderEffect{Register{Node: h.node}}
}

func (h *Holder) registered(now unit.Instant, in Registered) {
	h.registering = false
	h.nextTry = now.Add(retryRegister)
	h.stamp = in.Stamp
}

// lose gives up everything: the holder key is gone, so nothing that is stored under
// it can follow.
func (h *Holder) lose(now unit.Instant) {
	h.stamp, h.reservedStamp, h.dirty, h.storing = 0, 0, false, false
	h.holds = map[unit.JobID]*hold{}
	for _, s := range h.teams {
		s.allotted, s.promise, s.confirmed = Units{}, 0, 0
	}
	h.nextTry = now.Add(retryRegister)
}

// store writes the reservations as they are to be. Freeing some is guarded by the
// epoch of the leader that has allowed it: a later one may have read the stored ones,
// and places by them.
func (h *Holder) store(now unit.Instant) []HolderEffect {
	var all []Reservation
	for _, id := range slices.Sorted(maps.Keys(h.holds)) {
		r := h.holds[id]
		if r.tasks > 0 {
			all = append(all, Reservation{Job: id, Team: r.team, Tasks: r.tasks, Need: r.need})
		}
	}
	record, err := NewReserved(h.stamp, all)
	if err != nil {
		h.lose(now)
		return nil
	}
	guards := []statestore.Condition{{Key: HolderKey(h.node), ModRevision: h.stamp}, {Key: ReservedKey(h.node), ModRevision: h.reservedStamp}}
	lowering := false
	for _, r := range h.holds {
		lowering = lowering || r.tasks < r.stored
		r.stored, r.sent = max(r.stored, r.tasks), r.tasks
	}
	if lowering {
		guards = append(guards, leaderGuard(h.leader))
	}
	h.storing, h.dirty, h.nextStore = true, false, now.Add(storeEvery)
	return []HolderEffect{Store{Key: ReservedKey(h.node), Reserved: record, Guards: guards}}
}

func (h *Holder) stored(now unit.Instant, in Stored) {
	if !h.storing {
		return
	}
	h.storing = false
	switch in.Outcome {
	case StoreOK:
		h.reservedStamp = in.Stamp
		h.settle()
	case StoreFenced:
		h.lose(now)
	case StoreOtherLeader:
		h.keepAll()
		h.dirty = true
	default:
		h.dirty = true
	}
}

// settle takes in that the reservations are stored as they were when they were sent.
func (h *Holder) settle() {
	for id, r := range h.holds {
		r.stored = r.sent
		h.dirty = h.dirty || r.tasks != r.stored
		if r.tasks == 0 && r.stored == 0 {
			delete(h.holds, id)
		}
	}
}

// keepAll takes back what was to be freed and is not yet: the leader that has allowed
// it does not lead now, or may not.
func (h *Holder) keepAll() {
	for _, r := range h.holds {
		r.tasks = max(r.tasks, r.stored)
	}
}

// ask tells the leader what this holder has and wants. What it wants less it has given
// up before it says so.
func (h *Holder) ask(now unit.Instant) []HolderEffect {
	ask := Ask{Holder: HolderID{h.node, h.stamp}, Jobs: h.someJobs()}
	for _, team := range slices.Sorted(maps.Keys(h.teams)) {
		s := h.teams[team]
		want := h.want(now, team, s)
		if want.Within(s.allotted) && want != s.allotted {
			s.allotted = want
			s.promise++
		}
		if (!s.allotted.Zero() || !want.Zero() || s.promise != s.confirmed) && len(ask.Teams) < mostTeams {
			ask.Teams = append(ask.Teams, TeamAsk{Team: team, Promise: s.promise, Ceiling: s.allotted, Want: want})
		}
	}
	h.nextAsk = now.Add(askEvery)
	if len(ask.Teams) == 0 {
		return nil
	}
	h.asking = true
	return []HolderEffect{SendAsk{ask}}
}

// want is what a holder wants of a team's limit: what it has reserved, and as much
// again as was submitted in the last seconds. What it has it keeps for a while.
func (h *Holder) want(now unit.Instant, team unit.Team, s *share) Units {
	recent := s.demand[:0]
	var sum Units
	last := unit.Instant(0)
	for _, d := range s.demand {
		if now.Sub(d.at) <= forgetAfter {
			recent = append(recent, d)
			last = d.at
		}
		if now.Sub(d.at) <= demandFor {
			sum = sum.Plus(d.units)
		}
	}
	s.demand = recent
	want := h.reserved(team).Plus(sum)
	if last != 0 {
		want = want.Max(s.allotted)
	}
	return want
}

// someJobs lists some jobs with reservations, others each time.
func (h *Holder) someJobs() []unit.JobID {
	ids := slices.Sorted(maps.Keys(h.holds))
	from, _ := slices.BinarySearch(ids, h.asked+"\x00")
	out := append(ids[from:len(ids):len(ids)], ids[:from]...)
	out = out[:min(len(out), mostJobs)]
	if len(out) > 0 {
		h.asked = out[len(out)-1]
	}
	return out
}

// answered takes in what the leader answers.
func (h *Holder) answered(now unit.Instant, in Answered) {
	h.asking = false
	a := in.Answer
	if a == nil || h.stamp == 0 || a.Holder != (HolderID{h.node, h.stamp}) {
		return
	}
	if a.Revoked {
		h.lose(now)
		return
	}
	for _, t := range a.Teams {
		s := h.teams[t.Team]
		if s == nil || t.Promise != s.promise || !t.Units.valid() {
			continue // of before what was given back
		}
		s.allotted, s.confirmed = t.Units, t.Promise
		h.giveBack(now, t.Team, s, t.Recall)
	}
	if a.Epoch < h.leader {
		return
	}
	if a.Epoch > h.leader {
		h.leader = a.Epoch
		h.keepAll()
	}
	for _, j := range a.Jobs {
		if r := h.holds[j.Job]; r != nil && j.Remaining < r.tasks && j.Remaining >= 0 {
			r.tasks = j.Remaining
			h.dirty = true
		}
	}
}

// giveBack gives back what is wanted, as far as nothing is reserved of it, and says so
// at once.
func (h *Holder) giveBack(now unit.Instant, team unit.Team, s *share, recall Units) {
	if recall.Zero() || !recall.valid() {
		return
	}
	left := s.allotted.Minus(recall).Max(h.reserved(team))
	if left.Within(s.allotted) && left != s.allotted {
		s.allotted = left
		s.promise++
		s.demand = nil
		h.nextAsk = now
	}
}

// HolderStatus is what an operator may know of a holder.
type HolderStatus struct {
	Stamp             unit.Revision
	Jobs              int
	Admitted, Refused int
	Teams             map[unit.Team]ShareStatus
}

// ShareStatus is what a holder has of a team's limit.
type ShareStatus struct{ Allotted, Reserved Units }

// Status tells how the holder is.
func (h *Holder) Status() HolderStatus {
	out := HolderStatus{Stamp: h.stamp, Jobs: len(h.holds), Admitted: h.admitted, Refused: h.refused, Teams: map[unit.Team]ShareStatus{}}
	for team, s := range h.teams {
		out.Teams[team] = ShareStatus{s.allotted, h.reserved(team)}
	}
	return out
}
