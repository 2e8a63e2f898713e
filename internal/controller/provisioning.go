package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
)

// ProvisionMachines is the effect that requests machines. A repeated Name requests no further machines.
type ProvisionMachines struct {
	Name  string
	Offer cloud.Offer
	Count int
}

// ProvisionCompleted is the outcome of a ProvisionMachines.
type ProvisionCompleted struct {
	Name     string
	Offer    cloud.Offer
	SentAt   clock.Instant
	Result   cloud.ProvisionResult
	Machines []ident.MachineID
}

// DeprovisionMachines is the effect that returns machines.
type DeprovisionMachines struct{ Machines []ident.MachineID }

// DeprovisionCompleted is the outcome of a DeprovisionMachines.
type DeprovisionCompleted struct {
	Machines []ident.MachineID
	OK       bool
}

// ListMachines is the effect that reads the page of the machine list that begins after a machine.
type ListMachines struct{ After ident.MachineID }

// MachinesListed is the outcome of a ListMachines.
type MachinesListed struct{ Page cloud.Page }

// ReadMachineTypes is the effect that reads the machine types.
type ReadMachineTypes struct{}

// MachineTypesRead is the outcome of a ReadMachineTypes.
type MachineTypesRead struct {
	Types []*fleet.MachineType // nil: they could not be read
}

func (ProvisionCompleted) input()   {}
func (DeprovisionCompleted) input() {}
func (MachinesListed) input()       {}
func (MachineTypesRead) input()     {}
func (ProvisionMachines) effect()   {}
func (DeprovisionMachines) effect() {}
func (ListMachines) effect()        {}
func (ReadMachineTypes) effect()    {}

// callCloudAPI sends what is due to the cloud, within its call rate: releases
// first, since they stop costs, then rentals, then the list.
func (t *term) callCloudAPI(now clock.Instant) {
	if t.cloudCalls.Available(now) < 1 {
		return
	}
	if ids := t.provisioning.NextDeprovision(now); len(ids) > 0 {
		t.cloudCalls.Take(now, 1, 0)
		t.emit(DeprovisionMachines{Machines: ids})
	}
	for t.cloudCalls.Available(now) >= 1 {
		h := t.provisioning.NextProvision(now)
		if h == nil {
			break
		}
		t.cloudCalls.Take(now, 1, 0)
		t.emit(ProvisionMachines{Name: h.Name, Offer: h.Offer, Count: h.Count})
	}
	if t.listing.PageDue(now) && t.cloudCalls.Take(now, 1, t.reservedCloudCalls()) {
		t.emit(ListMachines{After: t.listing.RequestPage(now)})
	}
	if !now.Before(t.nextMachineTypes) && t.cloudCalls.Take(now, 1, t.reservedCloudCalls()) {
		t.nextMachineTypes = now.Add(time.Minute)
		t.emit(ReadMachineTypes{})
	}
}

// LeaderCloudShare is the part of the cloud's call rate that the leader uses.
const LeaderCloudShare = 0.8

// cloudCallBurst is how many calls to the cloud may leave at once: a second's worth.
func cloudCallBurst(c config.Cloud) float64 { return max(1, c.RPS) }

// reservedCloudCalls is how many calls reading lists leaves to rentals and releases: one,
// if the rate allows more than one at a time.
func (t *term) reservedCloudCalls() float64 {
	return min(1, cloudCallBurst(t.settings.Params.Cloud)-1)
}

func (t *term) provisionCompleted(now clock.Instant, in ProvisionCompleted) {
	if t.provisioning.FinishProvision(now, in.Name, in.Result, len(in.Machines)) {
		t.rounds.provisionSettled(in.Name)
	}
	t.rounds.requestPlan()
	for _, id := range in.Machines {
		if t.fleet.WasRemoved(id) {
			continue // a repeated rental names what it rented the first time
		}
		known := t.fleet.Machine(id) != nil
		m := t.fleet.Ensure(now, id)
		m.Confirmed = true
		if !known {
			m.Type, m.Zone, m.Spot, m.ProvisionedAt = in.Offer.Type, in.Offer.Zone, in.Offer.Spot, in.SentAt
		}
	}
	t.log.Info("provision request answered", "provision", in.Name, "result", in.Result.String(), "machines", len(in.Machines), "epoch", t.epoch)
}

func (t *term) deprovisionCompleted(now clock.Instant, in DeprovisionCompleted) {
	t.provisioning.FinishDeprovision(now, in.Machines, in.OK)
	if !in.OK {
		return
	}
	for _, id := range in.Machines {
		t.rounds.deprovisionSettled(id)
		t.tasksEnded(now, t.fleet.Remove(now, id))
	}
	t.rounds.requestPlan()
}

// minListInterval is the least time between two machine lists.
const minListInterval = 2 * time.Second

// machinesPageListed takes in a page of the machine list, and the list once it is whole.
// Absence proves that a machine is gone only if it was listed before, so long ago
// that even an old list would show it.
func (t *term) machinesPageListed(now clock.Instant, in MachinesListed) {
	lag := t.settings.Params.Cloud.ListLag()
	list, complete := t.listing.AddPage(now, in.Page, max(lag, minListInterval))
	if !complete {
		return
	}
	t.machinesListed = true
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
