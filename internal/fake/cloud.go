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

// Cloud is an in-memory fake of the cloud. It provisions machines from a limited capacity, and keeps
// the machines and the workers on them.
type Cloud struct {
	Types       []*fleet.MachineType
	Capacity    map[cloud.Offer]int          // machines of each offer that can still be provisioned
	BootTime    func() time.Duration         // returns how long the next machine takes to boot
	Down        bool                         // simulates an outage: requests fail with cloud.ErrUnavailable
	Provisioned map[string][]ident.MachineID // the machines that each provision request returned, by its name
	Machines    map[ident.MachineID]*Machine
	sorted      []*Machine // the machines by ID; nil if the list is out of date
	nextID      int
}

// Machine is a machine of the cloud.
type Machine struct {
	ID            ident.MachineID
	Offer         cloud.Offer
	ProvisionedAt clock.Instant
	ReadyAt       clock.Instant
	Worker        *Worker // nil until the machine has booted
	Failed        bool
}

// NewCloud returns a cloud without machines.
func NewCloud(types []*fleet.MachineType, capacity map[cloud.Offer]int) *Cloud {
	return &Cloud{Types: types, Capacity: capacity, Provisioned: map[string][]ident.MachineID{},
		Machines: map[ident.MachineID]*Machine{}, BootTime: func() time.Duration { return 5 * time.Second }}
}

// Type returns the machine type with the name, or nil.
func (c *Cloud) Type(name ident.MachineType) *fleet.MachineType {
	for _, t := range c.Types {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// Provision provisions up to count machines of an offer. It is idempotent: a request with a name
// that was used before returns the same machines and provisions nothing.
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

// Deprovision deletes machines together with their workers and tasks.
func (c *Cloud) Deprovision(ids []ident.MachineID) error {
	if c.Down {
		return cloud.ErrUnavailable
	}
	for _, id := range ids {
		c.Reclaim(id)
	}
	return nil
}

// Reclaim deletes a machine, if it exists, and returns its capacity to its offer.
func (c *Cloud) Reclaim(id ident.MachineID) {
	if m := c.Machines[id]; m != nil {
		c.Capacity[m.Offer]++
		delete(c.Machines, id)
		c.sorted = nil
	}
}

// SortedMachines returns the machines in the order of their IDs. The list is cached until a machine is
// added or deleted, because simulations iterate over it ten times a second. The caller must not
// modify it.
func (c *Cloud) SortedMachines() []*Machine {
	if c.sorted == nil {
		c.sorted = slices.SortedFunc(maps.Values(c.Machines), func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c.sorted
}

// List returns the machines as the cloud reports them, in the order of their IDs.
func (c *Cloud) List(now clock.Instant) ([]cloud.Machine, error) {
	if c.Down {
		return nil, cloud.ErrUnavailable
	}
	var out []cloud.Machine
	for _, m := range c.SortedMachines() {
		listed := cloud.Machine{ID: m.ID, Type: m.Offer.Type, Zone: m.Offer.Zone, Spot: m.Offer.Spot,
			State: cloud.MachineStarting, AgeSeconds: now.Sub(m.ProvisionedAt).Seconds()}
		if m.Worker != nil {
			listed.State, listed.Addr = cloud.MachineRunning, m.Worker.Addr
		}
		if m.Failed {
			listed.State = cloud.MachineFailed
		}
		out = append(out, listed)
	}
	return out, nil
}

// ListPage returns the first machines, at most limit of them, whose IDs are greater than since, and
// reports whether there are more.
func (c *Cloud) ListPage(now clock.Instant, since ident.MachineID, limit int) ([]cloud.Machine, bool, error) {
	all, err := c.List(now)
	if err != nil {
		return nil, false, err
	}
	from := sort.Search(len(all), func(i int) bool { return all[i].ID > since })
	to := min(len(all), from+limit)
	return all[from:to], to < len(all), nil
}

// StartReadyWorkers starts the workers of the machines whose boot time has elapsed, and returns them.
func (c *Cloud) StartReadyWorkers(now clock.Instant, newWorker func(*Machine) *Worker) []*Worker {
	var out []*Worker
	for _, m := range c.SortedMachines() {
		if m.Worker == nil && !m.Failed && !now.Before(m.ReadyAt) {
			m.Worker = newWorker(m)
			out = append(out, m.Worker)
		}
	}
	return out
}
