package fleet

import (
	"sort"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// MachineType is a machine type as the cloud describes it.
type MachineType struct {
	Name            unit.MachineType
	Capacity        checkpoint.Resources
	CacheGB         float64
	FetchGBps       float64
	HourlyPrice     float64
	HourlySpotPrice float64
	BootTime        time.Duration
	Zones           []unit.Zone
}

// AvailableZones returns the zones of the deployment in which the cloud has the type: all of
// them if it names none.
func (t *MachineType) AvailableZones(all []unit.Zone) []unit.Zone {
	if len(t.Zones) > 0 {
		return t.Zones
	}
	return all
}

// Machine is one machine as the leader knows it.
type Machine struct {
	ID           unit.MachineID
	Addr         string
	Type         unit.MachineType
	Zone         unit.Zone
	Spot         bool
	Session      unit.Session
	HeartbeatSeq unit.HeartbeatSeq
	FencingToken unit.Epoch // the highest the worker has reported

	Up                  bool // has reported in its present session, and is not lost
	ListedAt            unit.Instant
	Failed              bool
	KnownSince          unit.Instant // when this leader learned of it
	ProvisionedAt       unit.Instant // about when it was rented
	LastContact         unit.Instant
	LastHeartbeat       unit.Instant // when it last reported by itself, not in answer to a command
	LastRenewal         unit.Instant // the latest that its lease may have been renewed
	IdleSince           unit.Instant
	InterruptionAt      unit.Instant // when the cloud takes it; 0: no notice
	Deprovisioning      bool         // a release is recorded: never a task again
	Removed             bool
	ConsecutiveFailures int // tasks that failed here in a row
	Quarantined         bool
	Draining            bool // is being emptied, to be returned
	// Confirmed tells that the machine surely exists: a record or a rental names
	// it, it has answered a command, or has reported the token of this leader.
	// Until then a report may be a copy that was long on its way.
	Confirmed          bool
	unansweredCommands int          // commands in a row that it did not answer
	lastUnanswered     unit.Instant // when it did not answer the last of them

	placements         map[placementKey]*checkpoint.Placement
	load               Load
	strays             map[placementKey]TaskStatus // of jobs not known, or a second copy of a task
	used               checkpoint.Resources
	imageCache         map[unit.Image]cachedImage
	commandInFlight    bool
	lastProbe          unit.Instant // when it was last sent an empty command
	heartbeatRequested bool         // see Unheard
}

// Load counts the placements that may exist on a machine, so that a round need
// not look at each.
type Load struct {
	Tasks    int
	Services int
	Stopping int
	// ServiceResources is what the replicas hold.
	ServiceResources checkpoint.Resources
	// TasksByPriority counts by the job's priority.
	TasksByPriority [checkpoint.PriorityProd + 1]int
}

func (l *Load) add(p *checkpoint.Placement, n int) {
	l.Tasks += n
	l.TasksByPriority[p.Job.Spec.Priority] += n
	if p.Job.Spec.Service {
		l.Services += n
		l.ServiceResources = l.ServiceResources.Add(p.Job.Spec.TaskResources().Multiply(n))
	}
	if p.Stopping {
		l.Stopping += n
	}
}

// TasksBelow counts the placements of lower priority.
func (l *Load) TasksBelow(prio checkpoint.Priority) int {
	n := 0
	for _, k := range l.TasksByPriority[:prio] {
		n += k
	}
	return n
}

// placementKey tells the attempts of a task apart: the tombstone of one must stay
// while the next runs.
type placementKey struct {
	task    unit.TaskID
	attempt unit.Attempt
}

func keyOf(p *checkpoint.Placement) placementKey { return placementKey{p.ID(), p.Attempt} }

type cachedImage struct {
	sizeGB   float64
	lastUsed unit.Instant
}

// HeartbeatRequested tells whether the machine was asked for a report at a takeover.
func (m *Machine) HeartbeatRequested() bool { return m.heartbeatRequested }

// HasImage tells whether the image is known to be on the machine.
func (m *Machine) HasImage(i unit.Image) bool { _, ok := m.imageCache[i]; return ok }

// HasAttempt tells whether a task of the job was placed here in the attempt, and its
// exit may still be on the machine.
func (m *Machine) HasAttempt(job unit.JobID, attempt unit.Attempt) bool {
	for k := range m.placements {
		if k.task.Job == job && k.attempt == attempt {
			return true
		}
	}
	return false
}

// Load returns the counts of the placements that may exist on the machine.
func (m *Machine) Load() *Load { return &m.load }

// LivePlacements returns the placements that may exist on the machine.
func (m *Machine) LivePlacements() []*checkpoint.Placement {
	if m.load.Tasks == 0 {
		return nil
	}
	out := make([]*checkpoint.Placement, 0, m.load.Tasks)
	for _, p := range m.placements {
		if p.State != checkpoint.PlacementEnded {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(a, b int) bool { return lessTaskID(out[a].ID(), out[b].ID()) })
	return out
}

// Busy tells whether any placement may exist on the machine.
func (m *Machine) Busy() bool { return m.load.Tasks > 0 || m.HasRunningStray() }

// RunsService tells whether a service runs on the machine, so that it won't be
// returned soon anyway.
func (m *Machine) RunsService() bool { return m.load.Services > 0 }

// HasRunningStray tells whether a task that no placement names may run here.
func (m *Machine) HasRunningStray() bool {
	for _, e := range m.strays {
		if e.State != TaskExited {
			return true
		}
	}
	return false
}

func (m *Machine) cacheUsageGB() float64 {
	sum := 0.0
	for _, c := range m.imageCache {
		sum += c.sizeGB
	}
	return sum
}

func (m *Machine) leastRecentlyUsedImage() unit.Image {
	var oldest unit.Image
	first := true
	for i, c := range m.imageCache {
		if first || c.lastUsed < m.imageCache[oldest].lastUsed || c.lastUsed == m.imageCache[oldest].lastUsed && i < oldest {
			oldest, first = i, false
		}
	}
	return oldest
}

func lessTaskID(a, b unit.TaskID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Index < b.Index
}
