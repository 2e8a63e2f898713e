// Package fleet keeps what the leader knows of the machines and of the tasks
// on them. It is a pure state machine: reports and time go in, orders and
// changes come out.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// Times are the workers' times and the margins the leader adds.
type Times struct {
	Report time.Duration
	Lease  time.Duration
	// Return is how long after a takeover a machine that answers commands is taken
	// for one that reports: its worker may still wait for the lost leader. 0: it is
	// not.
	Return time.Duration
}

// Fleet is all machines.
type Fleet struct {
	times     Times
	types     map[unit.MachineType]*Type
	machines  map[unit.MachineID]*Machine
	sorted    []*Machine            // machines by name; nil: to be made anew
	due       map[*Machine]struct{} // those that a direct command is asked for
	jobs      func(unit.JobID) *checkpoint.Job
	takeover  unit.Instant
	epoch     unit.Epoch
	first     unit.Epoch // with which the leader began
	tombs     int
	gone      map[unit.MachineID]unit.Instant   // machines surely gone, and since when
	delegated func(unit.Zone) (Delegated, bool) // nil: nobody else may keep leases
}

// New returns an empty fleet of a leader that acquired its epoch at takeover.
func New(times Times, epoch unit.Epoch, takeover unit.Instant, jobs func(unit.JobID) *checkpoint.Job) *Fleet {
	return &Fleet{times: times, epoch: epoch, first: epoch, takeover: takeover, jobs: jobs,
		types: map[unit.MachineType]*Type{}, machines: map[unit.MachineID]*Machine{}, due: map[*Machine]struct{}{},
		gone: map[unit.MachineID]unit.Instant{}}
}

// SetTypes takes in the machine types.
func (f *Fleet) SetTypes(types []*Type) {
	for _, t := range types {
		f.types[t.Name] = t
	}
}

// Type returns a machine type, or nil.
func (f *Fleet) Type(name unit.MachineType) *Type { return f.types[name] }

// SetEpoch takes in a raised token.
func (f *Fleet) SetEpoch(e unit.Epoch) { f.epoch = e }

// Machine returns a machine, or nil.
func (f *Fleet) Machine(id unit.MachineID) *Machine { return f.machines[id] }

// Machines returns all machines in the order of their names. The list is kept
// until a machine comes or goes: sorting it for each report took half of a
// leader's processor time at 1,500 machines. It must not be changed.
func (f *Fleet) Machines() []*Machine {
	if f.sorted == nil {
		f.sorted = byName(slices.Collect(maps.Values(f.machines)))
	}
	return f.sorted
}

func byName(list []*Machine) []*Machine {
	slices.SortFunc(list, func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Len counts the machines.
func (f *Fleet) Len() int { return len(f.machines) }

// Reporting counts the machines that are up, or may run tasks.
func (f *Fleet) Reporting() int {
	n := 0
	for _, m := range f.machines {
		if (m.Up || m.Busy()) && !m.Failed && !m.Releasing {
			n++
		}
	}
	return n
}

// Tombstones counts exits that wait to be reaped.
func (f *Fleet) Tombstones() int { return f.tombs }

// Ensure returns the machine, making it if it is not known.
func (f *Fleet) Ensure(now unit.Instant, id unit.MachineID) *Machine {
	m := f.machines[id]
	if m == nil {
		m = &Machine{ID: id, Since: now, Born: now, IdleSince: now,
			places: map[placeKey]*checkpoint.Placement{}, strays: map[placeKey]Entry{},
			images: map[unit.Image]cached{}}
		f.machines[id], f.sorted = m, nil
	}
	return m
}

// Remove takes out a machine that is surely gone.
func (f *Fleet) Remove(now unit.Instant, id unit.MachineID) Changes {
	var c Changes
	m := f.machines[id]
	if m == nil {
		return c
	}
	f.endAll(now, m, &c)
	m.Gone = true
	m.Up = false
	delete(f.machines, id)
	delete(f.due, m)
	f.sorted = nil
	f.gone[id] = now
	return c
}

// Fail notes that a machine has stopped by itself, with all that was on it.
func (f *Fleet) Fail(now unit.Instant, m *Machine) Changes {
	var c Changes
	f.endAll(now, m, &c)
	m.Failed, m.Up = true, false
	return c
}

// Gone tells whether a machine is known to be gone. Old lists and late reports
// may still name it.
func (f *Fleet) Gone(id unit.MachineID) bool { _, gone := f.gone[id]; return gone }

// Forget drops the memory of machines gone for longer than d.
func (f *Fleet) Forget(now unit.Instant, d time.Duration) {
	for id, at := range f.gone {
		if now.Sub(at) > d {
			delete(f.gone, id)
		}
	}
}

// Describe sets what is known of a machine that has not reported.
func (f *Fleet) Describe(m *Machine, t unit.MachineType, z unit.Zone, spot bool) {
	if m.Zone != z {
		f.moveZone(m, z)
	}
	m.Type, m.Spot = t, spot
}
