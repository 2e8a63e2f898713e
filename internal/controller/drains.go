package controller

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// maxWaitForDrain is how long work that fits on a machine that is being drained waits until the machine gets it all the
// same. Users may wait for 90 s while a machine has room.
const maxWaitForDrain = time.Minute

// drain keeps new tasks from machines, so that they become idle and can be deprovisioned.
func (t *term) drain(now clock.Instant, machines []ident.MachineID) {
	for _, id := range machines {
		m := t.fleet.Machine(id)
		m.Draining, m.DrainingSince = true, now
		t.log.Info("machine drain started", "machine", id, "epoch", t.epoch)
	}
}

// endDrainsForWaitingJobs lets machines that are being drained get tasks again if work that fits on them has waited for
// maxWaitForDrain. A drain moves replicas, and lets the tasks of arrays run to completion, which may take hours.
func (t *term) endDrainsForWaitingJobs(now clock.Instant) {
	draining := t.busyDrainingMachines()
	if len(draining) == 0 {
		return // most sweeps need not scan the jobs
	}
	waiting := t.waitingJobs(now, maxWaitForDrain)
	for _, m := range draining {
		fits := func(j *jobs.Job) bool { return t.jobObstacle(now, j, m) == fleet.ObstacleNone }
		i := slices.IndexFunc(waiting, fits)
		if i < 0 {
			continue
		}
		m.Draining = false
		t.rounds.requestPlan()
		t.log.Info("machine drain ended", "machine", m.ID, "tasks", m.Load().Tasks, "for", waiting[i].ID, "epoch", t.epoch)
	}
}

// busyDrainingMachines returns the machines that are being drained and still run tasks.
func (t *term) busyDrainingMachines() []*fleet.Machine {
	var draining []*fleet.Machine
	for _, m := range t.fleet.Machines() {
		if m.Draining && m.Busy() && !m.Deprovisioning {
			draining = append(draining, m)
		}
	}
	return draining
}
