package fleet

import (
	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
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
		if p.State != checkpoint.PlacementEnded {
			p.Job.PlacementsByZone[m.Zone]--
			p.Job.PlacementsByZone[z]++
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
	if j == nil || int(e.Task.Index) >= j.Spec.Tasks || (e.State != stateExited && j.Placements[e.Task.Index] != nil) {
		m.strays[k] = e
		return nil
	}
	p := &checkpoint.Placement{Job: j, Task: e.Task.Index, Machine: m.ID, Session: m.Session,
		Attempt: e.Attempt, FencingToken: token, PlacedAt: now}
	if e.State == stateExited {
		if e.Cause == CauseDone {
			j.CompleteTask(now, p.Task)
		}
		p.State, p.EndSeq = checkpoint.PlacementEnded, j.ChangeSeq
		m.places[k] = p
		f.tombs++
		return p
	}
	p.State = checkpoint.PlacementFetching
	f.Place(now, p)
	j.MarkDirty(now)
	if j.Phase.Final() || j.Done.Contains(p.Task) {
		f.Halt(now, p, 0)
	}
	return p
}

func (f *Fleet) observe(now unit.Instant, m *Machine, p *checkpoint.Placement, e Entry, c *Changes) {
	if p.State == checkpoint.PlacementEnded {
		return
	}
	switch e.State {
	case stateFetching, stateGathering:
		p.State = checkpoint.PlacementFetching
	case stateRunning:
		f.touchImage(now, m, &p.Job.Spec)
		if p.State != checkpoint.PlacementRunning {
			p.State, p.RunningSince = checkpoint.PlacementRunning, now
			c.Started = append(c.Started, Started{p})
		}
	case stateFlushing:
		p.State = checkpoint.PlacementCheckpointing
	case stateExited:
		if e.Cause == CauseDone {
			f.touchImage(now, m, &p.Job.Spec)
			p.Job.CompleteTask(now, p.Task)
		}
		f.end(now, p, true)
		c.Ended = append(c.Ended, Ended{p, e.Cause, e.Stored})
	}
}

// absent handles a placement that a report lacks. Its launch may be on the
// way, so absence proves something only if the worker has seen a higher token
// than any that the launch was sent under: then it will never be executed.
func (f *Fleet) absent(now unit.Instant, p *checkpoint.Placement, r *Report, c *Changes) {
	if r.Token <= p.FencingToken {
		return
	}
	if p.State == checkpoint.PlacementEnded {
		f.drop(p) // reaped
		return
	}
	if p.StartAllowed && p.FencingToken == 0 {
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
