package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

const (
	// unlistedMargin, neverListedMargin and removedRetention are added to the lag of the machine list: to the time after which
	// a machine that is no longer listed, or was never, counts as gone, and to that for which a removed one is remembered.
	unlistedMargin    = 3 * time.Second
	neverListedMargin = 10 * time.Second
	removedRetention  = 10 * time.Minute
)

// machinesPageListed takes in a page of the machine list, and the list once it is complete. Absence proves that a machine
// is gone only if it was listed before, so long ago that even an old list would show it.
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
		gone := m.ListedAt != 0 && list.RequestedAt.Sub(m.ListedAt) > 2*lag+unlistedMargin
		never := m.ListedAt == 0 && m.Session == 0 && now.Sub(m.KnownSince) > 4*lag+neverListedMargin
		if gone || never {
			t.log.Info("machine disappeared", "machine", m.ID, "epoch", t.epoch)
			t.removeMachine(now, m)
		}
	}
}

func (t *term) removeMachine(now clock.Instant, m *fleet.Machine) {
	t.tasksEnded(now, t.fleet.Remove(now, m.ID))
	t.rounds.requestPlan()
}

// applyListedMachine takes in a machine of a list that was requested at sent.
func (t *term) applyListedMachine(now, sent clock.Instant, l cloud.Machine) {
	known := t.fleet.Machine(l.ID) != nil
	m := t.fleet.Ensure(now, l.ID)
	if m.ListedAt == 0 {
		m.ListedAt = now
	}
	if m.Addr == "" && l.State == cloud.MachineRunning {
		m.Addr = l.Addr
	}
	if m.Type == "" || !known {
		m.SetAttributes(l.Type, l.Zone, l.Spot)
		m.ProvisionedAt = sent.Add(-clock.Seconds(l.AgeSeconds))
		t.rounds.requestPlan()
	}
	if l.State == cloud.MachineFailed && !m.Failed {
		t.log.Info("machine failed", "machine", m.ID, "epoch", t.epoch)
		t.tasksEnded(now, t.fleet.MarkFailed(now, m))
		t.rounds.requestPlan()
	}
}
