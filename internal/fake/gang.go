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

type gangAttempt struct {
	job     ident.JobID
	attempt ident.Attempt
}

// AdvanceGangs lets the gangs on the workers start, lose tasks and complete together.
// hangs tells of a worker that does nothing now.
func AdvanceGangs(now clock.Instant, workers []*Worker, wait, peer time.Duration, hangs func(ident.MachineID) bool) {
	gangs := map[gangAttempt][]gangMember{}
	var found []gangAttempt // in an order that repeats
	for _, w := range workers {
		for _, t := range w.tasks {
			if !t.gang || !t.isStarted() {
				continue
			}
			k := gangAttempt{t.ID.Job, t.Attempt}
			if gangs[k] == nil {
				found = append(found, k)
			}
			gangs[k] = append(gangs[k], gangMember{w, t})
		}
	}
	for _, k := range found {
		members := gangs[k]
		spec, _, _ := members[0].worker.Spec(k.job)
		advanceGang(now, members, spec.Tasks, wait, peer, hangs)
		checkpointGang(now, members, spec, peer)
	}
}

// checkpointGang lets the tasks of a gang that are told to stop save and exit together. If
// one is not told in time, the save fails for all.
func checkpointGang(now clock.Instant, members []gangMember, spec *jobs.Spec, peer time.Duration) {
	takes := clock.Seconds(spec.CheckpointSeconds)
	first, all, ready := now, len(members) == spec.Tasks, true
	for _, m := range members {
		switch {
		case m.task.State == fleet.TaskFlushing:
			first = min(first, m.task.stopRequestedAt)
			ready = ready && now.Sub(m.task.stopRequestedAt) >= takes
		case m.task.State == fleet.TaskRunning:
			all = false
		}
	}
	for _, m := range members {
		switch {
		case m.task.State != fleet.TaskFlushing:
		case all && ready:
			m.task.Stored = true
			m.worker.exit(now, m.task, fleet.ExitStopped)
		case now.Sub(first) >= peer:
			m.worker.exit(now, m.task, fleet.ExitGangPeersLost)
		}
	}
}

func advanceGang(now clock.Instant, members []gangMember, all int, wait, peer time.Duration, hangs func(ident.MachineID) bool) {
	ready, begun, done := 0, false, false
	for _, m := range members {
		if !hangs(m.worker.ID) {
			ready++
		}
		begun = begun || m.task.State == fleet.TaskRunning
		if m.task.State == fleet.TaskFlushing {
			return // it does not start, go on or complete any more
		}
		done = done || m.task.State == fleet.TaskRunning && !now.Before(m.task.EndsAt)
	}
	for _, m := range members {
		t := m.task
		switch {
		case hangs(m.worker.ID):
		case done && ready == all:
			m.worker.completed[t.ID] = true
			m.worker.exit(now, t, fleet.ExitDone)
		case begun && ready < all:
			if t.incompleteSince == 0 {
				t.incompleteSince = now
			}
			if now.Sub(t.incompleteSince) >= peer {
				m.worker.exit(now, t, fleet.ExitGangPeersLost)
			}
		case !begun && ready == all:
			t.State, t.EndsAt = fleet.TaskRunning, now.Add(t.runTime)
		case !begun && now.Sub(t.waitingSince) >= wait:
			m.worker.exit(now, t, fleet.ExitGangIncomplete)
		}
	}
}
