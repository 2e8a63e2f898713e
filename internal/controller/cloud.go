package controller

import (
	"sort"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
)

func sortByAge(jobs []*checkpoint.Job) {
	sort.Slice(jobs, func(a, b int) bool {
		if jobs[a].DirtySince != jobs[b].DirtySince {
			return jobs[a].DirtySince < jobs[b].DirtySince
		}
		return jobs[a].ID < jobs[b].ID
	})
}

// callCloud sends what is due to the cloud, within its call rate: releases
// first, since they stop costs, then rentals, then the list.
func (t *term) callCloud(now unit.Instant) {
	if t.cloud.Available(now) < 1 {
		return
	}
	if ids := t.rentals.NextDeprovision(now); len(ids) > 0 {
		t.cloud.Take(now, 1, 0)
		t.c.emit(CallRelease{Machines: ids})
	}
	for t.cloud.Available(now) >= 1 {
		h := t.rentals.NextProvision(now)
		if h == nil {
			break
		}
		t.cloud.Take(now, 1, 0)
		t.c.emit(CallHire{Name: h.Name, Offer: h.Offer, Count: h.Count})
	}
	if t.listing.PageDue(now) && t.cloud.Take(now, 1, t.cloudReserve()) {
		t.c.emit(CallList{Since: t.listing.RequestPage(now)})
	}
	if !now.Before(t.nextTypes) && t.cloud.Take(now, 1, t.cloudReserve()) {
		t.nextTypes = now.Add(time.Minute)
		t.c.emit(CallFlavors{})
	}
}

// cloudCallRate is the part of the cloud's call rate that the leader uses.
const cloudCallRate = 0.8

// cloudBurst is how many calls to the cloud may leave at once: a second's worth.
func cloudBurst(c config.Cloud) float64 { return max(1, c.RPS) }

// cloudReserve is how many calls reading lists leaves to rentals and releases: one,
// if the rate allows more than one at a time.
func (t *term) cloudReserve() float64 { return min(1, cloudBurst(t.c.set.Params.Cloud)-1) }

func (t *term) hireDone(now unit.Instant, in HireDone) {
	if t.rentals.FinishProvision(now, in.Name, in.Verdict, len(in.Machines)) {
		t.ring.SettleProvision(in.Name)
	}
	t.dirty = true
	for _, id := range in.Machines {
		if t.fleet.WasRemoved(id) {
			continue // a repeated rental names what it rented the first time
		}
		known := t.fleet.Machine(id) != nil
		m := t.fleet.Ensure(now, id)
		m.Confirmed = true
		if !known {
			m.Type, m.Zone, m.Spot, m.ProvisionedAt = in.Offer.Type, in.Offer.Zone, in.Offer.Spot, in.Sent
		}
	}
	t.c.log.Info("rental answered", "hire", in.Name, "verdict", int(in.Verdict), "machines", len(in.Machines), "epoch", t.epoch)
}

func (t *term) releaseDone(now unit.Instant, in ReleaseDone) {
	t.rentals.FinishDeprovision(now, in.Machines, in.OK)
	if !in.OK {
		return
	}
	for _, id := range in.Machines {
		t.ring.SettleDeprovision(id)
		t.ended(now, t.fleet.Remove(now, id))
	}
	t.dirty = true
}

// leastListPause is the least time between two machine lists.
const leastListPause = 2 * time.Second

// listDone takes in a page of the machine list, and the list once it is whole.
// Absence proves that a machine is gone only if it was listed before, so long ago
// that even an old list would show it.
func (t *term) listDone(now unit.Instant, in ListDone) {
	lag := t.c.set.Params.Cloud.ListLag()
	machines, sent, whole := t.listing.AddPage(now, in.Page, max(lag, leastListPause))
	if !whole {
		return
	}
	t.listRead = true
	seen := map[unit.MachineID]bool{}
	for _, l := range machines {
		seen[l.ID] = true
		if !t.fleet.WasRemoved(l.ID) {
			t.listed(now, sent, l)
		}
	}
	t.fleet.PruneRemoved(now, 10*lag+10*time.Minute)
	for _, m := range t.fleet.Machines() {
		if seen[m.ID] {
			continue
		}
		gone := m.ListedAt != 0 && sent.Sub(m.ListedAt) > 2*lag+3*time.Second
		never := m.ListedAt == 0 && m.Session == 0 && now.Sub(m.KnownSince) > 4*lag+10*time.Second
		if gone || never {
			t.c.log.Info("machine gone", "machine", m.ID, "epoch", t.epoch)
			t.gone(now, m)
		}
	}
}

func (t *term) gone(now unit.Instant, m *fleet.Machine) {
	id := m.ID
	t.ended(now, t.fleet.Remove(now, id))
	t.dirty = true
}

func (t *term) listed(now, sent unit.Instant, l rental.Machine) {
	known := t.fleet.Machine(l.ID) != nil
	m := t.fleet.Ensure(now, l.ID)
	if m.ListedAt == 0 {
		m.ListedAt = now
	}
	if m.Addr == "" && l.State == rental.MachineRunning {
		m.Addr = l.Addr
	}
	if m.Type == "" || !known {
		t.fleet.SetAttributes(m, l.Type, l.Zone, l.Spot)
		m.ProvisionedAt = sent.Add(-unit.Seconds(l.AgeSeconds))
		t.dirty = true
	}
	if l.State == rental.MachineFailed && !m.Failed {
		t.c.log.Info("machine failed", "machine", m.ID, "epoch", t.epoch)
		t.ended(now, t.fleet.MarkFailed(now, m))
		t.dirty = true
	}
}
