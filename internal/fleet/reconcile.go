package fleet

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// reconcilePlacements compares the tasks in a heartbeat with the placements.
func (f *Fleet) reconcilePlacements(now clock.Instant, m *Machine, h *Heartbeat, changes *Changes) {
	reported := make(map[placementKey]bool, len(h.Tasks))
	m.orphans = map[placementKey]TaskStatus{}
	for _, status := range h.Tasks {
		key := placementKey{status.Task, status.Attempt}
		p := m.placements[key]
		if p == nil {
			p = f.adoptOrphan(now, m, status, h.FencingToken)
		}
		if p != nil {
			reported[key] = true
			f.applyTaskStatus(now, m, p, status, changes)
		}
	}
	for _, p := range m.missingPlacements(reported) {
		f.handleMissing(now, p, h, changes)
	}
}

// missingPlacements returns the placements that a heartbeat lacks, sorted by task.
func (m *Machine) missingPlacements(reported map[placementKey]bool) []*jobs.Placement {
	var missing []*jobs.Placement
	for key, p := range m.placements {
		if !reported[key] {
			missing = append(missing, p)
		}
	}
	sortPlacements(missing)
	return missing
}

// adoptOrphan makes a placement for a task that none names, so that it counts like any
// other: what may run must not be started elsewhere. If the job is not known, or the task
// has a placement already, it returns nil, the worker is told to stop the task, and the
// machine gets nothing until it is gone.
//
// The start command was sent under the fencing token that the worker had seen, at most.
// With this leader's own token a task that only an old copy of a heartbeat named could not
// be proven gone.
func (f *Fleet) adoptOrphan(now clock.Instant, m *Machine, status TaskStatus, token ident.Epoch) *jobs.Placement {
	job := f.findJob(status.Task.Job)
	if job == nil || !canAdopt(job, status) {
		m.orphans[placementKey{status.Task, status.Attempt}] = status
		return nil
	}
	p := &jobs.Placement{Job: job, Task: status.Task.Index, Machine: m.ID, Session: m.Session,
		Attempt: status.Attempt, FencingToken: token, PlacedAt: now}
	if status.State == TaskExited {
		f.adoptExited(now, m, p, status.Cause)
		return p
	}
	p.State = jobs.PlacementFetching
	f.Place(now, p)
	job.MarkDirty(now)
	if job.Phase.Final() || job.Done.Contains(p.Task) {
		f.StopPlacement(now, p, 0)
	}
	return p
}

// canAdopt tells whether the job has the task, and no other placement of it if it runs.
func canAdopt(job *jobs.Job, status TaskStatus) bool {
	if int(status.Task.Index) >= job.Spec.Tasks {
		return false
	}
	return status.State == TaskExited || job.Placements[status.Task.Index] == nil
}

// adoptExited adds the tombstone of a task that exited without a placement.
func (f *Fleet) adoptExited(now clock.Instant, m *Machine, p *jobs.Placement, cause ExitCause) {
	if cause == ExitDone {
		p.Job.CompleteTask(now, p.Task)
	}
	p.State, p.EndSeq = jobs.PlacementEnded, p.Job.ChangeSeq
	m.placements[keyOf(p)] = p
	f.tombstones++
}

func (f *Fleet) applyTaskStatus(now clock.Instant, m *Machine, p *jobs.Placement, status TaskStatus, changes *Changes) {
	if p.State == jobs.PlacementEnded {
		return
	}
	switch status.State {
	case TaskFetching, TaskGathering:
		p.State = jobs.PlacementFetching
	case TaskRunning:
		f.recordImageUse(now, m, &p.Job.Spec)
		if p.State != jobs.PlacementRunning {
			p.State, p.RunningSince = jobs.PlacementRunning, now
			changes.Started = append(changes.Started, StartedPlacement{p})
		}
	case TaskFlushing:
		p.State = jobs.PlacementCheckpointing
	case TaskExited:
		if status.Cause == ExitDone {
			f.recordImageUse(now, m, &p.Job.Spec)
			p.Job.CompleteTask(now, p.Task)
		}
		f.endPlacement(now, p, true)
		changes.Ended = append(changes.Ended, EndedPlacement{p, status.Cause, status.CheckpointStored})
	}
}

// handleMissing handles a placement that a heartbeat lacks. Its start command may be on
// the way, so absence proves something only if the worker has seen a higher fencing token
// than any that the command was sent under: then it will never be executed.
func (f *Fleet) handleMissing(now clock.Instant, p *jobs.Placement, h *Heartbeat, changes *Changes) {
	if h.FencingToken <= p.FencingToken {
		return
	}
	if p.State == jobs.PlacementEnded {
		f.dropPlacement(p) // forgotten by the worker
		return
	}
	if p.StartAllowed && p.FencingToken == 0 {
		return // committed under this epoch and not sent yet
	}
	f.endPlacement(now, p, true)
	f.dropPlacement(p)
	changes.Ended = append(changes.Ended, EndedPlacement{p, ExitMachineLost, false})
}

func (f *Fleet) recordImageUse(now clock.Instant, m *Machine, spec *jobs.Spec) {
	capacityGB := 0.0
	if t := f.machineTypes[m.Type]; t != nil {
		capacityGB = t.CacheGB
	}
	m.images.use(now, spec.Image, spec.ImageGB, capacityGB)
}
