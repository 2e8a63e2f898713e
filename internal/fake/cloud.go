package fake

import (
	"fmt"
	"sort"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
)

// Cloud is a stand-in for the cloud. It boots machines as it is told and keeps
// their workers.
type Cloud struct {
	Types       []*fleet.MachineType
	Capacity    map[cloud.Offer]int  // machines left of each kind
	BootTime    func() time.Duration // how long the next machine takes
	Down        bool
	Provisioned map[string][]ident.MachineID
	Machines    map[ident.MachineID]*Machine
	nextID      int
}

// Machine is a machine of the cloud.
type Machine struct {
	Offer         cloud.Offer
	ProvisionedAt clock.Instant
	ReadyAt       clock.Instant
	Worker        *Worker // nil until it is up
	Failed        bool
}

// NewCloud returns a cloud without machines.
func NewCloud(types []*fleet.MachineType, capacity map[cloud.Offer]int) *Cloud {
	return &Cloud{Types: types, Capacity: capacity, Provisioned: map[string][]ident.MachineID{},
		Machines: map[ident.MachineID]*Machine{}, BootTime: func() time.Duration { return 5 * time.Second }}
}

// Provision rents machines; a repeat of a name answers the same and rents nothing.
func (c *Cloud) Provision(now clock.Instant, name string, o cloud.Offer, count int) ([]ident.MachineID, error) {
	if c.Down {
		return nil, cloud.ErrUnavailable
	}
	if ids, ok := c.Provisioned[name]; ok {
		return ids, nil
	}
	if c.Capacity[o] == 0 {
		return nil, cloud.ErrNoCapacity
	}
	var ids []ident.MachineID
	for range min(count, c.Capacity[o]) {
		id := ident.MachineID(fmt.Sprintf("host-%06d", c.nextID))
		c.nextID++
		c.Capacity[o]--
		c.Machines[id] = &Machine{Offer: o, ProvisionedAt: now, ReadyAt: now.Add(c.BootTime())}
		ids = append(ids, id)
	}
	c.Provisioned[name] = ids
	return ids, nil
}

// Deprovision returns machines with all that is on them.
func (c *Cloud) Deprovision(ids []ident.MachineID) error {
	if c.Down {
		return cloud.ErrUnavailable
	}
	for _, id := range ids {
		c.Reclaim(id)
	}
	return nil
}

// Reclaim takes a machine away.
func (c *Cloud) Reclaim(id ident.MachineID) {
	if h := c.Machines[id]; h != nil {
		c.Capacity[h.Offer]++
		delete(c.Machines, id)
	}
}

// List lists the machines.
func (c *Cloud) List(now clock.Instant) ([]cloud.Machine, error) {
	if c.Down {
		return nil, cloud.ErrUnavailable
	}
	var out []cloud.Machine
	for id, h := range c.Machines {
		l := cloud.Machine{ID: id, Type: h.Offer.Type, Zone: h.Offer.Zone, Spot: h.Offer.Spot,
			State: cloud.MachineStarting, AgeSeconds: now.Sub(h.ProvisionedAt).Seconds()}
		if h.Worker != nil {
			l.State, l.Addr = cloud.MachineRunning, h.Worker.Addr
		}
		if h.Failed {
			l.State = cloud.MachineFailed
		}
		out = append(out, l)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out, nil
}

// Page lists the machines after since, at most page of them, and tells whether
// there are more.
func (c *Cloud) Page(now clock.Instant, since ident.MachineID, page int) ([]cloud.Machine, bool, error) {
	all, err := c.List(now)
	if err != nil {
		return nil, false, err
	}
	from := sort.Search(len(all), func(i int) bool { return all[i].ID > since })
	to := min(len(all), from+page)
	return all[from:to], to < len(all), nil
}

// StartDue brings up the machines whose time has come, and returns their workers.
func (c *Cloud) StartDue(now clock.Instant, w func(id ident.MachineID, h *Machine) *Worker) []*Worker {
	var ids []ident.MachineID
	for id, h := range c.Machines {
		if h.Worker == nil && !h.Failed && !now.Before(h.ReadyAt) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	var out []*Worker
	for _, id := range ids {
		h := c.Machines[id]
		h.Worker = w(id, h)
		out = append(out, h.Worker)
	}
	return out
}
