package fleet

import (
	"cmp"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// Machine is one machine as the leader knows it. Instants of 0 mean never.
type Machine struct {
	ID           ident.MachineID
	Addr         string // of its worker, host and port; empty: not known yet
	Type         ident.MachineType
	Zone         ident.Zone
	Spot         bool
	Session      ident.Session
	HeartbeatSeq ident.HeartbeatSeq // of the newest heartbeat in the session
	FencingToken ident.Epoch        // the highest that the worker has reported

	Up             bool          // heard from in its present session, and not lost since
	ListedAt       clock.Instant // when the cloud first listed it
	Failed         bool          // the cloud lists it as failed
	KnownSince     clock.Instant // when this leader learned of it
	ProvisionedAt  clock.Instant // about when the cloud began to provide it
	LastContact    clock.Instant // last heartbeat or answer to a command
	LastHeartbeat  clock.Instant // last heartbeat sent by itself, not in answer to a command
	LastRenewal    clock.Instant // the latest that its lease may have been renewed
	IdleSince      clock.Instant
	InterruptionAt clock.Instant // when the cloud takes it back; 0: no notice
	Deprovisioning bool          // recorded to be deprovisioned: gets no task again
	Removed        bool
	// ConsecutiveFailures counts the tasks that failed here in a row.
	ConsecutiveFailures int
	Quarantined         bool // gets no task because tasks fail on it
	Draining            bool // is being emptied, to be deprovisioned
	// Confirmed tells that the machine surely exists: a record or a provision answer
	// names it, it has answered a command, or has reported the fencing token of this
	// leader. Until then a heartbeat may be a copy that was long on its way.
	Confirmed bool

	unansweredCommands int // in a row
	lastUnansweredAt   clock.Instant
	commandInFlight    bool
	lastProbeAt        clock.Instant // when it was last sent an empty command
	heartbeatRequested bool          // see Fleet.ClaimHeartbeatRequests

	placements map[placementKey]*jobs.Placement
	orphans    map[placementKey]TaskStatus // tasks of unknown jobs, or further copies of a task
	load       Load
	used       jobs.Resources
	images     imageCache
}

func newMachine(now clock.Instant, id ident.MachineID) *Machine {
	return &Machine{
		ID:            id,
		KnownSince:    now,
		ProvisionedAt: now,
		IdleSince:     now,
		placements:    map[placementKey]*jobs.Placement{},
		orphans:       map[placementKey]TaskStatus{},
		images:        imageCache{},
	}
}

// placementKey tells the attempts of a task apart: the tombstone of one must stay while
// the next runs.
type placementKey struct {
	task    ident.TaskID
	attempt ident.Attempt
}

func keyOf(p *jobs.Placement) placementKey { return placementKey{p.ID(), p.Attempt} }

// compare orders keys by task, then attempt.
func (k placementKey) compare(other placementKey) int {
	return cmp.Or(
		cmp.Compare(k.task.Job, other.task.Job),
		cmp.Compare(k.task.Index, other.task.Index),
		cmp.Compare(k.attempt, other.attempt),
	)
}

func sortPlacements(placements []*jobs.Placement) {
	slices.SortFunc(placements, func(a, b *jobs.Placement) int { return keyOf(a).compare(keyOf(b)) })
}

// HeartbeatRequested tells whether the machine was asked for a heartbeat after a failover.
func (m *Machine) HeartbeatRequested() bool { return m.heartbeatRequested }

// HasImage tells whether the image is probably on the machine.
func (m *Machine) HasImage(image ident.Image) bool {
	_, cached := m.images[image]
	return cached
}

// HasAttempt tells whether a task of the job was placed here in the attempt, and the
// worker may still remember its exit.
func (m *Machine) HasAttempt(job ident.JobID, attempt ident.Attempt) bool {
	for key := range m.placements {
		if key.task.Job == job && key.attempt == attempt {
			return true
		}
	}
	return false
}

// Load returns the counts of the placements that may exist on the machine.
func (m *Machine) Load() *Load { return &m.load }

// LivePlacements returns the placements that may exist on the machine, sorted by task.
func (m *Machine) LivePlacements() []*jobs.Placement {
	if m.load.Tasks == 0 {
		return nil
	}
	live := make([]*jobs.Placement, 0, m.load.Tasks)
	for _, p := range m.placements {
		if p.State != jobs.PlacementEnded {
			live = append(live, p)
		}
	}
	sortPlacements(live)
	return live
}

// Busy tells whether any task may run on the machine.
func (m *Machine) Busy() bool { return m.load.Tasks > 0 || m.HasRunningStray() }

// RunsService tells whether a service runs on the machine, so that it won't be
// deprovisioned soon.
func (m *Machine) RunsService() bool { return m.load.Services > 0 }

// HasRunningStray tells whether a task that no placement names may run here.
func (m *Machine) HasRunningStray() bool {
	for _, status := range m.orphans {
		if status.State != TaskExited {
			return true
		}
	}
	return false
}

// SetAttributes describes a machine that has sent no heartbeat yet.
func (m *Machine) SetAttributes(machineType ident.MachineType, zone ident.Zone, spot bool) {
	m.setZone(zone)
	m.Type, m.Spot = machineType, spot
}

// setZone corrects the zone counts of jobs whose placements were restored before the
// machine's zone was known.
func (m *Machine) setZone(zone ident.Zone) {
	if m.Zone == zone {
		return
	}
	for _, p := range m.placements {
		if p.State != jobs.PlacementEnded {
			p.Job.PlacementsByZone[m.Zone]--
			p.Job.PlacementsByZone[zone]++
		}
	}
	m.Zone = zone
}
