// Package fleet keeps what the leader knows of the machines and of the tasks
// on them. It is a pure state machine: reports and time go in, orders and
// changes come out.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/jobs"
)

// Timing are the workers' times and the margins the leader adds.
type Timing struct {
	HeartbeatInterval time.Duration
	LeaseDuration     time.Duration
	// RejoinGrace is how long after a takeover a machine that answers commands is taken
	// for one that reports: its worker may still wait for the lost leader. 0: it is
	// not.
	RejoinGrace time.Duration
}

// Fleet is all machines.
type Fleet struct {
	timing           Timing
	machineTypes     map[ident.MachineType]*MachineType
	machines         map[ident.MachineID]*Machine
	machinesByID     []*Machine            // machines by name; nil: to be made anew
	commandsDue      map[*Machine]struct{} // those that a direct command is asked for
	findJob          func(ident.JobID) *jobs.Job
	leaderSince      clock.Instant
	epoch            ident.Epoch
	firstEpoch       ident.Epoch // with which the leader began
	tombstones       int
	removedAt        map[ident.MachineID]clock.Instant         // machines surely gone, and since when
	delegatedRenewal func(ident.Zone) (DelegatedRenewal, bool) // nil: nobody else may keep leases
}

// New returns an empty fleet of a leader that acquired its epoch at takeover.
func New(times Timing, epoch ident.Epoch, takeover clock.Instant, jobs func(ident.JobID) *jobs.Job) *Fleet {
	return &Fleet{timing: times, epoch: epoch, firstEpoch: epoch, leaderSince: takeover, findJob: jobs,
		machineTypes: map[ident.MachineType]*MachineType{}, machines: map[ident.MachineID]*Machine{}, commandsDue: map[*Machine]struct{}{},
		removedAt: map[ident.MachineID]clock.Instant{}}
}

// SetMachineTypes takes in the machine types.
func (f *Fleet) SetMachineTypes(types []*MachineType) {
	for _, t := range types {
		f.machineTypes[t.Name] = t
	}
}

// MachineType returns a machine type, or nil.
func (f *Fleet) MachineType(name ident.MachineType) *MachineType { return f.machineTypes[name] }

// SetEpoch takes in a raised token.
func (f *Fleet) SetEpoch(e ident.Epoch) { f.epoch = e }

// Machine returns a machine, or nil.
func (f *Fleet) Machine(id ident.MachineID) *Machine { return f.machines[id] }

// Machines returns all machines in the order of their names. The list is kept
// until a machine comes or goes: sorting it for each report took half of a
// leader's processor time at 1,500 machines. It must not be changed.
func (f *Fleet) Machines() []*Machine {
	if f.machinesByID == nil {
		f.machinesByID = sortByID(slices.Collect(maps.Values(f.machines)))
	}
	return f.machinesByID
}

func sortByID(list []*Machine) []*Machine {
	slices.SortFunc(list, func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Len counts the machines.
func (f *Fleet) Len() int { return len(f.machines) }

// ActiveCount counts the machines that are up, or may run tasks.
func (f *Fleet) ActiveCount() int {
	n := 0
	for _, m := range f.machines {
		if (m.Up || m.Busy()) && !m.Failed && !m.Deprovisioning {
			n++
		}
	}
	return n
}

// TombstoneCount counts exits that wait to be reaped.
func (f *Fleet) TombstoneCount() int { return f.tombstones }

// Ensure returns the machine, making it if it is not known.
func (f *Fleet) Ensure(now clock.Instant, id ident.MachineID) *Machine {
	m := f.machines[id]
	if m == nil {
		m = &Machine{ID: id, KnownSince: now, ProvisionedAt: now, IdleSince: now,
			placements: map[placementKey]*jobs.Placement{}, strays: map[placementKey]TaskStatus{},
			imageCache: map[ident.Image]cachedImage{}}
		f.machines[id], f.machinesByID = m, nil
	}
	return m
}

// Remove takes out a machine that is surely gone.
func (f *Fleet) Remove(now clock.Instant, id ident.MachineID) Changes {
	var c Changes
	m := f.machines[id]
	if m == nil {
		return c
	}
	f.endAllPlacements(now, m, &c)
	m.Removed = true
	m.Up = false
	delete(f.machines, id)
	delete(f.commandsDue, m)
	f.machinesByID = nil
	f.removedAt[id] = now
	return c
}

// MarkFailed notes that a machine has stopped by itself, with all that was on it.
func (f *Fleet) MarkFailed(now clock.Instant, m *Machine) Changes {
	var c Changes
	f.endAllPlacements(now, m, &c)
	m.Failed, m.Up = true, false
	return c
}

// WasRemoved tells whether a machine is known to be gone. Old lists and late reports
// may still name it.
func (f *Fleet) WasRemoved(id ident.MachineID) bool { _, gone := f.removedAt[id]; return gone }

// PruneRemoved drops the memory of machines gone for longer than d.
func (f *Fleet) PruneRemoved(now clock.Instant, d time.Duration) {
	for id, at := range f.removedAt {
		if now.Sub(at) > d {
			delete(f.removedAt, id)
		}
	}
}

// SetAttributes sets what is known of a machine that has not reported.
func (f *Fleet) SetAttributes(m *Machine, t ident.MachineType, z ident.Zone, spot bool) {
	if m.Zone != z {
		f.moveToZone(m, z)
	}
	m.Type, m.Spot = t, spot
}
