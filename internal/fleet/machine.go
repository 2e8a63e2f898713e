package fleet

import (
	"cmp"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// Machine is the leader's view of one machine. An instant of 0 means never.
type Machine struct {
	ID           ident.MachineID
	Addr         string // host and port of its worker; empty: not known yet
	Type         ident.MachineType
	Zone         ident.Zone
	Spot         bool
	Session      ident.Session
	HeartbeatSeq ident.HeartbeatSeq // of the newest heartbeat or command response in the session
	FencingToken ident.Epoch        // highest token that the worker has reported

	Up             bool          // has sent a status in its current session, and was not lost since
	FirstListedAt  clock.Instant // when the cloud first listed it
	Failed         bool          // the cloud lists it as failed
	KnownSince     clock.Instant // when this leader first learned of it
	ProvisionedAt  clock.Instant // approximate time at which the cloud began to provision it
	LastContact    clock.Instant // last heartbeat or response to a command
	LastHeartbeat  clock.Instant // last heartbeat; responses to commands don't count
	LastRenewal    clock.Instant // latest time at which its lease may have been renewed
	IdleSince      clock.Instant
	InterruptionAt clock.Instant // when the cloud will reclaim it; 0: no interruption notice
	Deprovisioning bool          // its deprovisioning is recorded; it gets no more tasks
	Removed        bool
	Quarantined    bool          // gets no tasks because tasks fail on it
	Faulty         bool          // is quarantined, and jobs that run elsewhere fail on it
	Draining       bool          // is being drained before it is deprovisioned
	DrainingSince  clock.Instant // when the last drain started; 0: none did
	// Confirmed means that the machine is certain to exist: a record or the response to a provision request names it,
	// it has responded to a command, or it has reported a fencing token of this leader. Until then, its heartbeats may
	// be copies that were delayed in transit for a long time.
	Confirmed bool

	unansweredCommands int // consecutive
	lastUnansweredAt   clock.Instant
	commandInFlight    bool
	lastProbeAt        clock.Instant // when the last empty command was sent to it
	heartbeatRequested bool          // see Fleet.ClaimHeartbeatRequests

	placements map[placementKey]*jobs.Placement
	orphans    map[placementKey]TaskStatus // reported tasks that got no placement; see Fleet.adoptOrphan
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

// placementKey identifies one attempt of a task: the tombstone of an attempt must be kept while the next attempt runs.
type placementKey struct {
	task    ident.TaskID
	attempt ident.Attempt
}

func keyOf(p *jobs.Placement) placementKey { return placementKey{p.ID(), p.Attempt} }

// compare orders keys by task, then by attempt.
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

// HeartbeatRequested reports whether a heartbeat was requested from the machine after a failover.
func (m *Machine) HeartbeatRequested() bool { return m.heartbeatRequested }

// HasImage reports whether the image is probably cached on the machine.
func (m *Machine) HasImage(image ident.Image) bool {
	_, cached := m.images[image]
	return cached
}

// HasAttempt reports whether a task of the job was placed on the machine in the attempt, and either has not ended or
// its exit may still be remembered by the worker.
func (m *Machine) HasAttempt(job ident.JobID, attempt ident.Attempt) bool {
	for key := range m.placements {
		if key.task.Job == job && key.attempt == attempt {
			return true
		}
	}
	return false
}

// Load returns the counts of the placements on the machine that have not ended.
func (m *Machine) Load() *Load { return &m.load }

// LivePlacements returns the placements on the machine that have not ended, sorted by task.
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

// Busy reports whether any task may be running on the machine.
func (m *Machine) Busy() bool { return m.load.Tasks > 0 || m.HasRunningOrphan() }

// RunsService reports whether a task of a service may be running on the machine. Such a machine will not be
// deprovisioned soon.
func (m *Machine) RunsService() bool { return m.load.Services > 0 }

// HasRunningOrphan reports whether a task without a placement may be running on the machine.
func (m *Machine) HasRunningOrphan() bool {
	for _, status := range m.orphans {
		if status.State != TaskExited {
			return true
		}
	}
	return false
}

// SetAttributes sets the type, zone and spot flag of a machine that has not sent a heartbeat yet.
func (m *Machine) SetAttributes(machineType ident.MachineType, zone ident.Zone, spot bool) {
	m.setZone(zone)
	m.Type, m.Spot = machineType, spot
}

// setZone sets the machine's zone and corrects the zone counts of jobs whose placements were restored before the zone
// was known.
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
