package fake

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
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
	sorted      []*Machine // the machines by name; nil: to be sorted anew
	nextID      int
}

// Machine is a machine of the cloud.
type Machine struct {
	ID            ident.MachineID
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

// Type returns the machine type of a name, or nil.
func (c *Cloud) Type(name ident.MachineType) *fleet.MachineType {
	for _, t := range c.Types {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// Provision provisions machines; a repeat of a name answers the same and provisions nothing.
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
		c.Machines[id] = &Machine{ID: id, Offer: o, ProvisionedAt: now, ReadyAt: now.Add(c.BootTime())}
		ids = append(ids, id)
	}
	c.Provisioned[name], c.sorted = ids, nil
	return ids, nil
}

// Deprovision takes machines away with all that is on them.
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
		c.sorted = nil
	}
}

// Sorted lists the machines by name. The list is kept until a machine comes or goes:
// simulations go through it ten times a second. It must not be changed.
func (c *Cloud) Sorted() []*Machine {
	if c.sorted == nil {
		c.sorted = slices.SortedFunc(maps.Values(c.Machines), func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c.sorted
}

// List lists the machines.
func (c *Cloud) List(now clock.Instant) ([]cloud.Machine, error) {
	if c.Down {
		return nil, cloud.ErrUnavailable
	}
	var out []cloud.Machine
	for _, h := range c.Sorted() {
		l := cloud.Machine{ID: h.ID, Type: h.Offer.Type, Zone: h.Offer.Zone, Spot: h.Offer.Spot,
			State: cloud.MachineStarting, AgeSeconds: now.Sub(h.ProvisionedAt).Seconds()}
		if h.Worker != nil {
			l.State, l.Addr = cloud.MachineRunning, h.Worker.Addr
		}
		if h.Failed {
			l.State = cloud.MachineFailed
		}
		out = append(out, l)
	}
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
func (c *Cloud) StartDue(now clock.Instant, newWorker func(*Machine) *Worker) []*Worker {
	var out []*Worker
	for _, h := range c.Sorted() {
		if h.Worker == nil && !h.Failed && !now.Before(h.ReadyAt) {
			h.Worker = newWorker(h)
			out = append(out, h.Worker)
		}
	}
	return out
}
