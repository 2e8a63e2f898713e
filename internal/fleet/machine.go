package fleet

import (
	"sort"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/jobs"
)

// MachineType is a machine type as the cloud describes it.
type MachineType struct {
	Name            ident.MachineType
	Capacity        jobs.Resources
	CacheGB         float64
	FetchGBps       float64
	HourlyPrice     float64
	HourlySpotPrice float64
	BootTime        time.Duration
	Zones           []ident.Zone
}

// AvailableZones returns the zones of the deployment in which the cloud has the type: all of
// them if it names none.
func (t *MachineType) AvailableZones(all []ident.Zone) []ident.Zone {
	if len(t.Zones) > 0 {
		return t.Zones
	}
	return all
}

// Machine is one machine as the leader knows it.
type Machine struct {
	ID           ident.MachineID
	Addr         string
	Type         ident.MachineType
	Zone         ident.Zone
	Spot         bool
	Session      ident.Session
	HeartbeatSeq ident.HeartbeatSeq
	FencingToken ident.Epoch // the highest the worker has reported

	Up                  bool // has reported in its present session, and is not lost
	ListedAt            clock.Instant
	Failed              bool
	KnownSince          clock.Instant // when this leader learned of it
	ProvisionedAt       clock.Instant // about when it was rented
	LastContact         clock.Instant
	LastHeartbeat       clock.Instant // when it last reported by itself, not in answer to a command
	LastRenewal         clock.Instant // the latest that its lease may have been renewed
	IdleSince           clock.Instant
	InterruptionAt      clock.Instant // when the cloud takes it; 0: no notice
	Deprovisioning      bool          // a release is recorded: never a task again
	Removed             bool
	ConsecutiveFailures int // tasks that failed here in a row
	Quarantined         bool
	Draining            bool // is being emptied, to be returned
	// Confirmed tells that the machine surely exists: a record or a rental names
	// it, it has answered a command, or has reported the token of this leader.
	// Until then a report may be a copy that was long on its way.
	Confirmed          bool
	unansweredCommands int           // commands in a row that it did not answer
	lastUnanswered     clock.Instant // when it did not answer the last of them

	placements         map[placementKey]*jobs.Placement
	load               Load
	strays             map[placementKey]TaskStatus // of jobs not known, or a second copy of a task
	used               jobs.Resources
	imageCache         map[ident.Image]cachedImage
	commandInFlight    bool
	lastProbe          clock.Instant // when it was last sent an empty command
	heartbeatRequested bool          // see Unheard
}

// Load counts the placements that may exist on a machine, so that a round need
// not look at each.
type Load struct {
	Tasks    int
	Services int
	Stopping int
	// ServiceResources is what the replicas hold.
	ServiceResources jobs.Resources
	// TasksByPriority counts by the job's priority.
	TasksByPriority [jobs.PriorityProd + 1]int
}

func (l *Load) add(p *jobs.Placement, n int) {
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
func (l *Load) TasksBelow(prio jobs.Priority) int {
	n := 0
	for _, k := range l.TasksByPriority[:prio] {
		n += k
	}
	return n
}

// placementKey tells the attempts of a task apart: the tombstone of one must stay
// while the next runs.
type placementKey struct {
	task    ident.TaskID
	attempt ident.Attempt
}

func keyOf(p *jobs.Placement) placementKey { return placementKey{p.ID(), p.Attempt} }

type cachedImage struct {
	sizeGB   float64
	lastUsed clock.Instant
}

// HeartbeatRequested tells whether the machine was asked for a report at a takeover.
func (m *Machine) HeartbeatRequested() bool { return m.heartbeatRequested }

// HasImage tells whether the image is known to be on the machine.
func (m *Machine) HasImage(i ident.Image) bool { _, ok := m.imageCache[i]; return ok }

// HasAttempt tells whether a task of the job was placed here in the attempt, and its
// exit may still be on the machine.
func (m *Machine) HasAttempt(job ident.JobID, attempt ident.Attempt) bool {
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
func (m *Machine) LivePlacements() []*jobs.Placement {
	if m.load.Tasks == 0 {
		return nil
	}
	out := make([]*jobs.Placement, 0, m.load.Tasks)
	for _, p := range m.placements {
		if p.State != jobs.PlacementEnded {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(a, b int) bool { return lessTaskID(keyOf(out[a]), keyOf(out[b])) })
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

func (m *Machine) leastRecentlyUsedImage() ident.Image {
	var oldest ident.Image
	first := true
	for i, c := range m.imageCache {
		if first || c.lastUsed < m.imageCache[oldest].lastUsed || c.lastUsed == m.imageCache[oldest].lastUsed && i < oldest {
			oldest, first = i, false
		}
	}
	return oldest
}

func lessTaskID(a, b placementKey) bool {
	switch {
	case a.task.Job != b.task.Job:
		return a.task.Job < b.task.Job
	case a.task.Index != b.task.Index:
		return a.task.Index < b.task.Index
	}
	return a.attempt < b.attempt
}
