package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// machinesPageListed takes in a page of the machine list, and the list once it is whole.
// Absence proves that a machine is gone only if it was listed before, so long ago
// that even an old list would show it.
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
			t.observeListed(now, list.RequestedAt, l)
		}
	}
	t.fleet.PruneRemoved(now, 10*lag+10*time.Minute)
	for _, m := range t.fleet.Machines() {
		if seen[m.ID] {
			continue
		}
		gone := m.ListedAt != 0 && list.RequestedAt.Sub(m.ListedAt) > 2*lag+3*time.Second
		never := m.ListedAt == 0 && m.Session == 0 && now.Sub(m.KnownSince) > 4*lag+10*time.Second
		if gone || never {
			t.log.Info("machine gone", "machine", m.ID, "epoch", t.epoch)
			t.removeMachine(now, m)
		}
	}
}

func (t *term) removeMachine(now clock.Instant, m *fleet.Machine) {
	id := m.ID
	t.tasksEnded(now, t.fleet.Remove(now, id))
	t.rounds.requestPlan()
}

func (t *term) observeListed(now, sent clock.Instant, l cloud.Machine) {
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

// adoptSnapshot takes in the machines that this node listed as a standby, so that they can
// be asked before the list is read anew: at 4,000 machines that takes eight calls, and
// 4 s where the cloud takes two a second; see knowsMachines.
func (t *term) adoptSnapshot(now clock.Instant, known MachineSnapshot) {
	for _, l := range known.Machines {
		if l.State == cloud.MachineRunning && !t.fleet.WasRemoved(l.ID) {
			t.observeListed(now, known.RequestedAt, l)
			t.recovery.hinted = true
		}
	}
}

// knowsAllMachines tells whether machines may be rented by what is known of those there
// are: a list that was read as a standby is too old for that, unless the new one is
// late.
func (t *term) knowsAllMachines(now clock.Instant) bool {
	return t.provisioner.hasListed() || !t.recovery.hinted || now.Sub(t.acquiredAt) >= t.settings.Params.Workers.MaxHeartbeatGap()
}
