// Package fleet keeps what the leader knows of the machines, of their workers' sessions
// and leases, and of the placements of tasks on them. It is a pure state machine:
// heartbeats and instants go in, commands and changes come out; wire.go maps the workers'
// protocol to the types of this package. What to place where is decided by the scheduler,
// machines are provisioned through package cloud, and sending is left to the node.
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

// Timing holds the intervals that workers keep to.
type Timing struct {
	HeartbeatInterval time.Duration
	LeaseTTL          time.Duration
	// RejoinGrace is how long after a failover a machine that answers commands counts
	// as one that sends heartbeats: its worker may still wait for the lost leader. 0: it
	// does not count.
	RejoinGrace time.Duration
}

// Fleet holds all machines that a leader knows of.
type Fleet struct {
	timing           Timing
	machineTypes     map[ident.MachineType]*MachineType
	machines         map[ident.MachineID]*Machine
	machinesByID     []*Machine            // sorted; nil: to be sorted anew
	commandsDue      map[*Machine]struct{} // machines that a direct command is due to
	findJob          func(ident.JobID) *jobs.Job
	leaderSince      clock.Instant
	epoch            ident.Epoch
	firstEpoch       ident.Epoch // with which the leader began
	tombstones       int
	removedAt        map[ident.MachineID]clock.Instant
	delegatedRenewal func(ident.Zone) (DelegatedRenewal, bool) // nil: nobody else may renew leases
}

// New returns an empty fleet of a leader that acquired its epoch at leaderSince. findJob
// returns the job of an ID, or nil.
func New(timing Timing, epoch ident.Epoch, leaderSince clock.Instant, findJob func(ident.JobID) *jobs.Job) *Fleet {
	return &Fleet{
		timing:       timing,
		epoch:        epoch,
		firstEpoch:   epoch,
		leaderSince:  leaderSince,
		findJob:      findJob,
		machineTypes: map[ident.MachineType]*MachineType{},
		machines:     map[ident.MachineID]*Machine{},
		commandsDue:  map[*Machine]struct{}{},
		removedAt:    map[ident.MachineID]clock.Instant{},
	}
}

// SetMachineTypes adds machine types, or replaces those of the same names.
func (f *Fleet) SetMachineTypes(types []*MachineType) {
	for _, t := range types {
		f.machineTypes[t.Name] = t
	}
}

// MachineType returns a machine type, or nil.
func (f *Fleet) MachineType(name ident.MachineType) *MachineType { return f.machineTypes[name] }

// SetEpoch sets the fencing token of the commands from now on: the leader has advanced
// its epoch.
func (f *Fleet) SetEpoch(epoch ident.Epoch) { f.epoch = epoch }

// Machine returns a machine, or nil.
func (f *Fleet) Machine(id ident.MachineID) *Machine { return f.machines[id] }

// Machines returns all machines sorted by ID. The list is cached until a machine is added
// or removed: sorting it for each heartbeat took half of a leader's processor time at
// 1,500 machines. It must not be modified.
func (f *Fleet) Machines() []*Machine {
	if f.machinesByID == nil {
		f.machinesByID = sortByID(slices.Collect(maps.Values(f.machines)))
	}
	return f.machinesByID
}

func sortByID(machines []*Machine) []*Machine {
	slices.SortFunc(machines, func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	return machines
}

// Len counts the machines.
func (f *Fleet) Len() int { return len(f.machines) }

// ActiveCount counts the machines that are up or may run tasks, without those that have
// failed or are being deprovisioned.
func (f *Fleet) ActiveCount() int {
	n := 0
	for _, m := range f.machines {
		if (m.Up || m.Busy()) && !m.Failed && !m.Deprovisioning {
			n++
		}
	}
	return n
}

// TombstoneCount counts the ended placements that workers still remember.
func (f *Fleet) TombstoneCount() int { return f.tombstones }

// Ensure returns the machine, adding it if it is not known.
func (f *Fleet) Ensure(now clock.Instant, id ident.MachineID) *Machine {
	m := f.machines[id]
	if m == nil {
		m = newMachine(now, id)
		f.machines[id], f.machinesByID = m, nil
	}
	return m
}

// Remove deletes a machine that surely no longer exists, and ends its placements.
func (f *Fleet) Remove(now clock.Instant, id ident.MachineID) Changes {
	var changes Changes
	m := f.machines[id]
	if m == nil {
		return changes
	}
	f.endAllPlacements(now, m, &changes)
	m.Removed, m.Up = true, false
	delete(f.machines, id)
	delete(f.commandsDue, m)
	f.machinesByID = nil
	f.removedAt[id] = now
	return changes
}

// MarkFailed notes that a machine has stopped by itself, and ends its placements.
func (f *Fleet) MarkFailed(now clock.Instant, m *Machine) Changes {
	var changes Changes
	f.endAllPlacements(now, m, &changes)
	m.Failed, m.Up = true, false
	return changes
}

// WasRemoved tells whether a machine was removed. Old machine lists and late heartbeats
// may still name it.
func (f *Fleet) WasRemoved(id ident.MachineID) bool {
	_, removed := f.removedAt[id]
	return removed
}

// PruneRemoved forgets the machines that were removed more than retention ago.
func (f *Fleet) PruneRemoved(now clock.Instant, retention time.Duration) {
	for id, at := range f.removedAt {
		if now.Sub(at) > retention {
			delete(f.removedAt, id)
		}
	}
}
