package fake

import (
	"fmt"
	"sort"
	"time"

	"badgerbay/internal/fleet"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
)

// Cloud is a stand-in for the cloud. It boots machines as it is told and keeps
// their workers.
type Cloud struct {
	Types    []*fleet.MachineType
	Capacity map[rental.Offer]int // machines left of each kind
	Boot     func() time.Duration // how long the next machine takes
	Down     bool
	Hires    map[string][]unit.MachineID
	Machines map[unit.MachineID]*Host
	next     int
}

// Host is a machine of the cloud.
type Host struct {
	Offer  rental.Offer
	Rented unit.Instant
	Ready  unit.Instant
	Worker *Worker // nil until it is up
	Failed bool
}

// NewCloud returns a cloud without machines.
func NewCloud(types []*fleet.MachineType, capacity map[rental.Offer]int) *Cloud {
	return &Cloud{Types: types, Capacity: capacity, Hires: map[string][]unit.MachineID{},
		Machines: map[unit.MachineID]*Host{}, Boot: func() time.Duration { return 5 * time.Second }}
}

// Hire rents machines; a repeat of a name answers the same and rents nothing.
func (c *Cloud) Hire(now unit.Instant, name string, o rental.Offer, count int) ([]unit.MachineID, error) {
	if c.Down {
		return nil, rental.ErrUnavailable
	}
	if ids, ok := c.Hires[name]; ok {
		return ids, nil
	}
	if c.Capacity[o] == 0 {
		return nil, rental.ErrNoCapacity
	}
	var ids []unit.MachineID
	for range min(count, c.Capacity[o]) {
		id := unit.MachineID(fmt.Sprintf("host-%06d", c.next))
		c.next++
		c.Capacity[o]--
		c.Machines[id] = &Host{Offer: o, Rented: now, Ready: now.Add(c.Boot())}
		ids = append(ids, id)
	}
	c.Hires[name] = ids
	return ids, nil
}

// Release returns machines with all that is on them.
func (c *Cloud) Release(ids []unit.MachineID) error {
	if c.Down {
		return rental.ErrUnavailable
	}
	for _, id := range ids {
		c.Take(id)
	}
	return nil
}

// Take takes a machine away.
func (c *Cloud) Take(id unit.MachineID) {
	if h := c.Machines[id]; h != nil {
		c.Capacity[h.Offer]++
		delete(c.Machines, id)
	}
}

// List lists the machines.
func (c *Cloud) List(now unit.Instant) ([]rental.Machine, error) {
	if c.Down {
		return nil, rental.ErrUnavailable
	}
	var out []rental.Machine
	for id, h := range c.Machines {
		l := rental.Machine{ID: id, Type: h.Offer.Type, Zone: h.Offer.Zone, Spot: h.Offer.Spot,
			State: rental.MachineStarting, AgeSeconds: now.Sub(h.Rented).Seconds()}
		if h.Worker != nil {
			l.State, l.Addr = rental.MachineRunning, h.Worker.Addr
		}
		if h.Failed {
			l.State = rental.MachineFailed
		}
		out = append(out, l)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out, nil
}

// Page lists the machines after since, at most page of them, and tells whether
// there are more.
func (c *Cloud) Page(now unit.Instant, since unit.MachineID, page int) ([]rental.Machine, bool, error) {
	all, err := c.List(now)
	if err != nil {
		return nil, false, err
	}
	from := sort.Search(len(all), func(i int) bool { return all[i].ID > since })
	to := min(len(all), from+page)
	return all[from:to], to < len(all), nil
}

// Up brings up the machines whose time has come, and returns their workers.
func (c *Cloud) Up(now unit.Instant, w func(id unit.MachineID, h *Host) *Worker) []*Worker {
	var ids []unit.MachineID
	for id, h := range c.Machines {
		if h.Worker == nil && !h.Failed && !now.Before(h.Ready) {
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
