package controller

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/jobs"
	"badgerbay/internal/metrics"
)

// updateGauges sets the gauges that only a leader maintains.
func (t *term) updateGauges(now clock.Instant) {
	m := t.metrics
	updateJobGauges(m, t.jobs, now)
	m.UncertainProvisions.Set(float64(t.provisioner.unknownOutcomeCount()))
	m.Machines.Set(float64(t.fleet.Len()))
	m.QuarantinedMachines.Set(float64(t.quarantinedCount()))
	m.FreeRoundSlots.Set(float64(t.rounds.freeSlots()))
	m.Tombstones.Set(float64(t.fleet.TombstoneCount()))
	m.Epoch.Set(float64(t.epoch))
}

func (t *term) quarantinedCount() int {
	n := 0
	for _, m := range t.fleet.Machines() {
		if m.Quarantined {
			n++
		}
	}
	return n
}

// updateJobGauges sets the gauges that are computed from all jobs.
func updateJobGauges(m *metrics.Metrics, table *jobTable, now clock.Instant) {
	age, pending, queued := 0.0, 0, 0
	for j := range table.all() {
		if j.Dirty() {
			age = max(age, now.Sub(j.DirtySince).Seconds())
		}
		queued += j.Queue.Len()
		for _, p := range j.Placements {
			if p.State == jobs.PlacementPending {
				pending++
			}
		}
	}
	m.CheckpointAge.Set(age)
	m.PendingPlacements.Set(float64(pending))
	m.QueuedTasks.Set(float64(queued))
}
