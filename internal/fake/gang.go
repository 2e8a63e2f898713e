package fake

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// gangMember is a task of a gang on its worker.
type gangMember struct {
	worker *Worker
	task   *Task
}

// gangAttempt identifies one attempt to run the gang of a job.
type gangAttempt struct {
	job     ident.JobID
	attempt ident.Attempt
}

// AdvanceGangs brings the gangs on the workers up to the time now: the tasks of a gang start, save
// their checkpoints and complete together. A task exits if its gang has not started within
// startTimeout, or if the started gang lacks a task and first lacked one at least peerTimeout ago.
// isHung reports whether a worker is hung: its tasks do not count as present, and are not started,
// completed or timed out. A checkpoint save does not depend on isHung.
func AdvanceGangs(now clock.Instant, workers []*Worker, startTimeout, peerTimeout time.Duration, isHung func(ident.MachineID) bool) {
	gangs := map[gangAttempt][]gangMember{}
	var order []gangAttempt // keys of gangs in the order of the workers, which is reproducible
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

// checkpointGang lets the tasks of a gang that were commanded to stop save a checkpoint and exit
// together:
//  1. The save succeeds when all tasks of the gang are present, none is still running, and each has
//     been flushing for as long as a checkpoint takes.
//  2. The save fails for all flushing tasks if this has not happened within peerTimeout of the
//     first stop command, such as when one task did not get its command in time.
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

// advanceGang lets the tasks of a gang of the given size start and complete together, or exit
// because others are missing.
func advanceGang(now clock.Instant, members []gangMember, size int, startTimeout, peerTimeout time.Duration, isHung func(ident.MachineID) bool) {
	responsive, started, completed := 0, false, false
	for _, m := range members {
		if !isHung(m.worker.ID) {
			responsive++
		}
		started = started || m.task.State == fleet.TaskRunning
		if m.task.State == fleet.TaskCheckpointing {
			return // a gang that saves a checkpoint neither starts nor completes any more
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
