package fleet

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// reconcilePlacements reconciles the machine's placements with the tasks in a heartbeat.
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

// missingPlacements returns the placements that a heartbeat does not report, sorted by task.
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

// adoptOrphan creates a placement for a reported task that has none, because a task that may be running must not be
// started on another machine. If the job is unknown or does not contain the task, or if the task has not exited and
// already has a placement, adoptOrphan returns nil. The task is then an orphan: unless it has exited, the worker is
// commanded to stop it, and the machine gets no tasks until it has stopped.
//
// The placement gets the fencing token from the heartbeat, because the start command cannot have been sent under a
// higher token. If the placement had this leader's own token, and only a delayed copy of an old heartbeat reported the
// task, the next heartbeats could not end the placement; see handleMissing.
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
	f.AddPlacement(now, p)
	job.MarkDirty(now)
	if job.Phase.Final() || job.Done.Contains(p.Task) {
		f.StopPlacement(now, p, 0)
	}
	return p
}

// canAdopt reports whether the job contains the task and, unless the task has exited, has no other placement of it.
func canAdopt(job *jobs.Job, status TaskStatus) bool {
	if int(status.Task.Index) >= job.Spec.Tasks {
		return false
	}
	return status.State == TaskExited || job.Placements[status.Task.Index] == nil
}

// adoptExited adds a tombstone for a task that exited without a placement.
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
	case TaskFetching, TaskWaitingForGang:
		p.State = jobs.PlacementFetching
	case TaskRunning:
		f.recordImageUse(now, m, &p.Job.Spec)
		if p.State != jobs.PlacementRunning {
			p.State, p.RunningSince = jobs.PlacementRunning, now
			changes.Started = append(changes.Started, StartedPlacement{p})
		}
	case TaskCheckpointing:
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

// handleMissing handles a placement that a heartbeat does not report. Its start command may still be in transit, so the
// absence is conclusive only if the worker has seen a higher fencing token than any under which the command was sent:
// then the command will never be executed.
func (f *Fleet) handleMissing(now clock.Instant, p *jobs.Placement, h *Heartbeat, changes *Changes) {
	if h.FencingToken <= p.FencingToken {
		return
	}
	if p.State == jobs.PlacementEnded {
		f.dropPlacement(p) // the worker has deleted its record of the exit
		return
	}
	if p.StartAllowed && p.FencingToken == 0 {
		return // committed under this epoch, but not sent yet
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
