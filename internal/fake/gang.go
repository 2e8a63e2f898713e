package fake

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// gangMember is one task of a gang and the worker that it is on.
type gangMember struct {
	worker *Worker
	task   *Task
}

// gangAttempt identifies one attempt to run the gang of a job.
type gangAttempt struct {
	job     ident.JobID
	attempt ident.Attempt
}

// AdvanceGangs advances the gangs on the workers to the time now. A task whose image has been fetched
// waits until all tasks of its gang are present; then all of them run. If a running task is at the end of
// its run time and none is missing, all tasks complete. Worker.Advance, which callers call first, also
// completes a running task at the end of its run time, but that task alone; it then counts as missing.
// Tasks that are commanded to stop save a checkpoint together. A task exits early in two cases:
//  1. It has waited for startTimeout, and no task of its gang is running.
//  2. Its gang runs but lacks a task, and peerTimeout has passed since one was first missing.
//
// isHung reports whether a worker is hung. The tasks of a hung worker count as missing and are left
// unchanged, but isHung does not affect checkpoint saves.
func AdvanceGangs(now clock.Instant, workers []*Worker, startTimeout, peerTimeout time.Duration, isHung func(ident.MachineID) bool) {
	gangs := map[gangAttempt][]gangMember{}
	var order []gangAttempt // keys of gangs, in the order of the workers so that runs are reproducible
	for _, w := range workers {
		for _, t := range w.tasks {
			if !t.gang || !t.isStarted() {
				continue
			}
			k := gangAttempt{t.ID.Job, t.Attempt}
			if gangs[k] == nil {
				order = append(order, k)
			}
			gangs[k] = append(gangs[k], gangMember{w, t})
		}
	}
	for _, k := range order {
		members := gangs[k]
		spec, _, _ := members[0].worker.Spec(k.job)
		advanceGang(now, members, spec.Tasks, startTimeout, peerTimeout, isHung)
		checkpointGang(now, members, spec, peerTimeout)
	}
}

// checkpointGang advances the checkpoint save of a gang whose tasks were commanded to stop:
//  1. The save succeeds once all tasks of the gang are present, none is running, and each task that
//     saves has done so for as long as a checkpoint takes. The tasks that saved then exit.
//  2. The save fails if it has not succeeded within peerTimeout of the first stop command, for example
//     because one task was not commanded in time. The tasks that saved then exit without a checkpoint.
func checkpointGang(now clock.Instant, members []gangMember, spec *jobs.Spec, peerTimeout time.Duration) {
	saveTime := clock.Seconds(spec.CheckpointSeconds)
	firstStopAt, allStopped, allSaved := now, len(members) == spec.Tasks, true
	for _, m := range members {
		switch {
		case m.task.State == fleet.TaskCheckpointing:
			firstStopAt = min(firstStopAt, m.task.stopRequestedAt)
			allSaved = allSaved && now.Sub(m.task.stopRequestedAt) >= saveTime
		case m.task.State == fleet.TaskRunning:
			allStopped = false
		}
	}
	for _, m := range members {
		switch {
		case m.task.State != fleet.TaskCheckpointing:
		case allStopped && allSaved:
			m.task.CheckpointStored = true
			m.worker.exit(now, m.task, fleet.ExitStopped)
		case now.Sub(firstStopAt) >= peerTimeout:
			m.worker.exit(now, m.task, fleet.ExitGangPeersLost)
		}
	}
}

// advanceGang runs or completes all tasks of a gang, or ends tasks because others of the gang are
// missing. The size is the number of tasks in the gang's spec.
func advanceGang(now clock.Instant, members []gangMember, size int, startTimeout, peerTimeout time.Duration, isHung func(ident.MachineID) bool) {
	responsive, started, completed := 0, false, false
	for _, m := range members {
		if !isHung(m.worker.ID) {
			responsive++
		}
		started = started || m.task.State == fleet.TaskRunning
		if m.task.State == fleet.TaskCheckpointing {
			return // a gang that saves a checkpoint can no longer run or complete
		}
		completed = completed || m.task.State == fleet.TaskRunning && !now.Before(m.task.EndsAt)
	}
	for _, m := range members {
		t := m.task
		switch {
		case isHung(m.worker.ID):
		case completed && responsive == size:
			m.worker.completed[t.ID] = true
			m.worker.exit(now, t, fleet.ExitDone)
		case started && responsive < size:
			if t.incompleteSince == 0 {
				t.incompleteSince = now
			}
			if now.Sub(t.incompleteSince) >= peerTimeout {
				m.worker.exit(now, t, fleet.ExitGangPeersLost)
			}
		case !started && responsive == size:
			t.State, t.EndsAt = fleet.TaskRunning, now.Add(t.runTime)
		case !started && now.Sub(t.waitingSince) >= startTimeout:
			m.worker.exit(now, t, fleet.ExitGangIncomplete)
		}
	}
}
