package fake

import (
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/unit"
)

// member is a task of a gang on its worker.
type member struct {
	w    *Worker
	id   unit.TaskID
	task *Task
}

type gangKey struct {
	job     unit.JobID
	attempt unit.Attempt
}

// Gather lets the gangs on the workers start, lose tasks and complete together.
// hangs tells of a worker that does nothing now.
func Gather(now unit.Instant, workers []*Worker, wait, peer time.Duration, hangs func(unit.MachineID) bool) {
	gangs := map[gangKey][]member{}
	for _, w := range workers {
		for id, attempts := range w.Tasks {
			spec, _, ok := w.Spec(id.Job)
			if !ok || !spec.Gang {
				continue
			}
			for a, t := range attempts {
				if t.on() {
					k := gangKey{id.Job, a}
					gangs[k] = append(gangs[k], member{w, id, t})
				}
			}
		}
	}
	for k, members := range gangs {
		spec, _, _ := members[0].w.Spec(k.job)
		gather(now, members, spec.Tasks, wait, peer, hangs)
		save(now, members, spec, peer)
	}
}

// save lets the tasks of a gang that are told to stop save and exit together. If
// one is not told in time, the save fails for all.
func save(now unit.Instant, members []member, spec *checkpoint.Spec, peer time.Duration) {
	takes := unit.Seconds(spec.CheckpointSeconds)
	first, all, ready := now, len(members) == spec.Tasks, true
	for _, m := range members {
		switch {
		case m.task.State == flushing:
			first = min(first, m.task.told)
			ready = ready && now.Sub(m.task.told) >= takes
		case m.task.State == running:
			all = false
		}
	}
	for _, m := range members {
		switch {
		case m.task.State != flushing:
		case all && ready:
			m.task.Stored = true
			m.w.exit(now, m.id, m.task, fleet.ExitStopped)
		case now.Sub(first) >= peer:
			m.w.exit(now, m.id, m.task, fleet.ExitGangPeersLost)
		}
	}
}

func gather(now unit.Instant, members []member, all int, wait, peer time.Duration, hangs func(unit.MachineID) bool) {
	ready, begun, done := 0, false, false
	for _, m := range members {
		if !hangs(m.w.ID) {
			ready++
		}
		begun = begun || m.task.State == running
		if m.task.State == flushing {
			return // it does not start, go on or complete any more
		}
		done = done || m.task.State == running && !now.Before(m.task.Ends)
	}
	for _, m := range members {
		t := m.task
		switch {
		case hangs(m.w.ID):
		case done && ready == all:
			m.w.done[m.id] = true
			m.w.exit(now, m.id, t, fleet.ExitDone)
		case begun && ready < all:
			if t.alone == 0 {
				t.alone = now
			}
			if now.Sub(t.alone) >= peer {
				m.w.exit(now, m.id, t, fleet.ExitGangPeersLost)
			}
		case !begun && ready == all:
			t.State, t.Ends = running, now.Add(t.run)
		case !begun && now.Sub(t.waiting) >= wait:
			m.w.exit(now, m.id, t, fleet.ExitGangIncomplete)
		}
	}
}
