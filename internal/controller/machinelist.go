package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// Margins that are added to multiples of the lag of the cloud provider's machine list.
const (
	// unlistedMargin is added to the time after which a machine that is no longer listed counts as gone.
	unlistedMargin = 3 * time.Second
	// neverListedMargin is added to the time after which a machine that was never listed counts as gone.
	neverListedMargin = 10 * time.Second
	// removedRetention is added to the time for which a removed machine is remembered.
	removedRetention = 10 * time.Minute
)

// machinesPageListed adds a page to the machine list and applies the list once it is complete. A machine that an
// earlier list contained and this one does not is removed only if it was first listed so long ago that even an outdated
// list would contain it. A machine that was never listed and has no known session is removed after a longer time.
func (t *term) machinesPageListed(now clock.Instant, in MachinesListed) {
	list, complete := t.provisioner.addPage(now, in.Page)
	if !complete {
		return
	}
	lag := t.settings.Params.Cloud.ListLag()
	seen := map[ident.MachineID]bool{}
	for _, l := range list.Machines {
		seen[l.ID] = true
		if !t.fleet.WasRemoved(l.ID) {
			t.applyListedMachine(now, list.RequestedAt, l)
		}
	}
	t.fleet.PruneRemoved(now, 10*lag+removedRetention)
	for _, m := range t.fleet.Machines() {
		if seen[m.ID] {
			continue
		}
		gone := m.FirstListedAt != 0 && list.RequestedAt.Sub(m.FirstListedAt) > 2*lag+unlistedMargin
		never := m.FirstListedAt == 0 && m.Session == 0 && now.Sub(m.KnownSince) > 4*lag+neverListedMargin
		if gone || never {
			t.log.Info("machine disappeared", "machine", m.ID, "epoch", t.epoch)
			t.removeMachine(now, m)
		}
	}
}

// removeMachine removes the machine from the fleet and ends its tasks.
func (t *term) removeMachine(now clock.Instant, m *fleet.Machine) {
	t.tasksEnded(now, t.fleet.Remove(now, m.ID))
	t.rounds.requestPlan()
}

// applyListedMachine adds or updates a machine from a machine list that was requested at requestedAt.
func (t *term) applyListedMachine(now, requestedAt clock.Instant, l cloud.Machine) {
	known := t.fleet.Machine(l.ID) != nil
	m := t.fleet.Ensure(now, l.ID)
	if m.FirstListedAt == 0 {
		m.FirstListedAt = now
	}
	if m.Addr == "" && l.State == cloud.MachineRunning {
		m.Addr = l.Addr
	}
	if m.Type == "" || !known {
		m.SetAttributes(l.Type, l.Zone, l.Spot)
		m.ProvisionedAt = requestedAt.Add(-clock.Seconds(l.AgeSeconds))
		t.rounds.requestPlan()
	}
	if l.State == cloud.MachineFailed && !m.Failed {
		t.log.Info("machine failed", "machine", m.ID, "epoch", t.epoch)
		t.tasksEnded(now, t.fleet.MarkFailed(now, m))
		t.rounds.requestPlan()
	}
}
