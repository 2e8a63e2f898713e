package fleet

import (
	"sort"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/jobs"
)

// EndedPlacement is a placement that is over.
type EndedPlacement struct {
	Placement        *jobs.Placement
	Cause            ExitCause
	CheckpointStored bool
}

// StartedPlacement is a placement first seen running.
type StartedPlacement struct{ Placement *jobs.Placement }

// Changes are what a report brought.
type Changes struct {
	Stale               bool // older than what is known; not taken in
	HigherFencingToken  bool // the worker has seen a higher token than ours
	Ended               []EndedPlacement
	Started             []StartedPlacement
	CameUp              bool // the machine is new, or back in a new session
	InterruptionNoticed bool
}

// ApplyHeartbeat takes in a report, or the report that answers a command. With answered
// the worker's lease is going to be renewed by an answer that leaves now.
func (f *Fleet) ApplyHeartbeat(now clock.Instant, r *Heartbeat, answered bool) Changes {
	m := f.Ensure(now, r.Machine)
	if r.Session < m.Session || r.Session == m.Session && r.HeartbeatSeq <= m.HeartbeatSeq || m.Removed {
		if answered {
			// Even an old report that gets an answer may renew the lease, but
			// from when it was sent: before the newest that is known. Copies of
			// the reports of a dead machine must not keep its lease alive.
			m.LastRenewal = max(m.LastRenewal, m.LastContact)
		}
		return Changes{Stale: true}
	}
	if answered {
		m.LastRenewal, m.LastHeartbeat = now, now
	} else {
		m.Confirmed = true
	}
	var c Changes
	c.CameUp = !m.Up
	if r.Session > m.Session {
		c.CameUp = true
		f.endAllPlacements(now, m, &c)
		// The lease of a new session runs from its beginning, whether or not
		// any report of it was answered: the session may have become known by
		// the refusal of a direct command.
		m.LastRenewal = max(m.LastRenewal, now)
	}
	f.updateMachine(now, m, r)
	if r.FencingToken > f.epoch {
		c.HigherFencingToken = true
	}
	if r.InterruptionNoticed && m.InterruptionAt == 0 {
		c.InterruptionNoticed = true
		m.InterruptionAt = now.Add(r.InterruptionIn)
	} else if !r.InterruptionNoticed {
		m.InterruptionAt = 0
	}
	f.reconcilePlacements(now, m, r, &c)
	return c
}

func (f *Fleet) updateMachine(now clock.Instant, m *Machine, r *Heartbeat) {
	if m.Zone != r.Zone {
		f.moveToZone(m, r.Zone)
	}
	m.Addr, m.Type, m.Spot = r.Addr, r.Type, r.Spot
	m.Session, m.HeartbeatSeq = r.Session, r.HeartbeatSeq
	m.FencingToken = max(m.FencingToken, r.FencingToken)
	m.Confirmed = m.Confirmed || r.FencingToken >= f.firstEpoch
	if now.Sub(m.lastUnanswered) > unansweredCommandWindow {
		m.unansweredCommands = 0
	}
	m.Up, m.LastContact = true, now
}

// moveToZone corrects the zone counts of jobs whose placements were read back
// before the machine's zone was known.
func (f *Fleet) moveToZone(m *Machine, z ident.Zone) {
	for _, p := range m.placements {
		if p.State != jobs.PlacementEnded {
			p.Job.PlacementsByZone[m.Zone]--
			p.Job.PlacementsByZone[z]++
		}
	}
	m.Zone = z
}

// reconcilePlacements compares the tasks of a report with the placements.
func (f *Fleet) reconcilePlacements(now clock.Instant, m *Machine, r *Heartbeat, c *Changes) {
	seen := make(map[placementKey]bool, len(r.Tasks))
	m.strays = map[placementKey]TaskStatus{}
	for _, e := range r.Tasks {
		k := placementKey{e.Task, e.Attempt}
		p := m.placements[k]
		if p == nil {
			p = f.adoptStray(now, m, k, e, r.FencingToken)
		}
		if p != nil {
			seen[k] = true
			f.applyTaskStatus(now, m, p, e, c)
		}
	}
	var absent []placementKey
	for k := range m.placements {
		if !seen[k] {
			absent = append(absent, k)
		}
	}
	sort.Slice(absent, func(a, b int) bool { return lessTaskID(absent[a], absent[b]) })
	for _, k := range absent {
		f.handleMissing(now, m.placements[k], r, c)
	}
}

// adoptStray takes in a task that no placement names, and makes one for it, so that
// it counts like any other: what may run must not be started elsewhere. If the
// job is not known, or the task has a placement already, the worker is told to
// halt it and the machine gets nothing until it is gone. Its launch was sent under
// the token that the worker had seen, at most: with this leader's own, a task that
// only an old copy of a report named could not be proven gone, and waited on.
func (f *Fleet) adoptStray(now clock.Instant, m *Machine, k placementKey, e TaskStatus, token ident.Epoch) *jobs.Placement {
	j := f.findJob(e.Task.Job)
	if j == nil || int(e.Task.Index) >= j.Spec.Tasks || (e.State != TaskExited && j.Placements[e.Task.Index] != nil) {
		m.strays[k] = e
		return nil
	}
	p := &jobs.Placement{Job: j, Task: e.Task.Index, Machine: m.ID, Session: m.Session,
		Attempt: e.Attempt, FencingToken: token, PlacedAt: now}
	if e.State == TaskExited {
		if e.Cause == ExitDone {
			j.CompleteTask(now, p.Task)
		}
		p.State, p.EndSeq = jobs.PlacementEnded, j.ChangeSeq
		m.placements[k] = p
		f.tombstones++
		return p
	}
	p.State = jobs.PlacementFetching
	f.Place(now, p)
	j.MarkDirty(now)
	if j.Phase.Final() || j.Done.Contains(p.Task) {
		f.StopPlacement(now, p, 0)
	}
	return p
}

func (f *Fleet) applyTaskStatus(now clock.Instant, m *Machine, p *jobs.Placement, e TaskStatus, c *Changes) {
	if p.State == jobs.PlacementEnded {
		return
	}
	switch e.State {
	case TaskFetching, TaskGathering:
		p.State = jobs.PlacementFetching
	case TaskRunning:
		f.recordImageUse(now, m, &p.Job.Spec)
		if p.State != jobs.PlacementRunning {
			p.State, p.RunningSince = jobs.PlacementRunning, now
			c.Started = append(c.Started, StartedPlacement{p})
		}
	case TaskFlushing:
		p.State = jobs.PlacementCheckpointing
	case TaskExited:
		if e.Cause == ExitDone {
			f.recordImageUse(now, m, &p.Job.Spec)
			p.Job.CompleteTask(now, p.Task)
		}
		f.endPlacement(now, p, true)
		c.Ended = append(c.Ended, EndedPlacement{p, e.Cause, e.CheckpointStored})
	}
}

// handleMissing handles a placement that a report lacks. Its launch may be on the
// way, so absence proves something only if the worker has seen a higher token
// than any that the launch was sent under: then it will never be executed.
func (f *Fleet) handleMissing(now clock.Instant, p *jobs.Placement, r *Heartbeat, c *Changes) {
	if r.FencingToken <= p.FencingToken {
		return
	}
	if p.State == jobs.PlacementEnded {
		f.dropPlacement(p) // reaped
		return
	}
	if p.StartAllowed && p.FencingToken == 0 {
		return // committed under this epoch and not sent yet
	}
	f.endPlacement(now, p, true)
	f.dropPlacement(p)
	c.Ended = append(c.Ended, EndedPlacement{p, ExitMachineLost, false})
}

func (f *Fleet) recordImageUse(now clock.Instant, m *Machine, s *jobs.Spec) {
	m.imageCache[s.Image] = cachedImage{sizeGB: s.ImageGB, lastUsed: now}
	t := f.machineTypes[m.Type]
	if t == nil || t.CacheGB <= 0 {
		return
	}
	for m.cacheUsageGB() > t.CacheGB && len(m.imageCache) > 1 {
		delete(m.imageCache, m.leastRecentlyUsedImage())
	}
}
