package fleet

import (
	"sort"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// Type is a machine type as the cloud describes it.
type Type struct {
	Name      unit.MachineType
	Capacity  checkpoint.Resources
	CacheGB   float64
	FetchGBps float64
	Price     float64
	SpotPrice float64
	Boot      time.Duration
	Zones     []unit.Zone
}

// ZonesIn returns the zones of the deployment in which the cloud has the type: all of
// them if it names none.
func (t *Type) ZonesIn(all []unit.Zone) []unit.Zone {
	if len(t.Zones) > 0 {
		return t.Zones
	}
	return all
}

// Machine is one machine as the leader knows it.
type Machine struct {
	ID      unit.MachineID
	Addr    string
	Type    unit.MachineType
	Zone    unit.Zone
	Spot    bool
	Session unit.Session
	Tally   unit.HeartbeatSeq
	Token   unit.Epoch // the highest the worker has reported

	Up         bool // has reported in its present session, and is not lost
	Listed     unit.Instant
	Failed     bool
	Since      unit.Instant // when this leader learned of it
	Born       unit.Instant // about when it was rented
	LastReport unit.Instant
	LastBeat   unit.Instant // when it last reported by itself, not in answer to a command
	LastAnswer unit.Instant // the latest that its lease may have been renewed
	IdleSince  unit.Instant
	NoticeAt   unit.Instant // when the cloud takes it; 0: no notice
	Releasing  bool         // a release is recorded: never a task again
	Gone       bool
	Suspect    int // tasks that failed here in a row
	Drained    bool
	Vacating   bool // is being emptied, to be returned
	// Confirmed tells that the machine surely exists: a record or a rental names
	// it, it has answered a command, or has reported the token of this leader.
	// Until then a report may be a copy that was long on its way.
	Confirmed bool
	unheard   int          // commands in a row that it did not answer
	missed    unit.Instant // when it did not answer the last of them

	places  map[placeKey]*checkpoint.Placement
	live    Load
	strays  map[placeKey]Entry // of jobs not known, or a second copy of a task
	used    checkpoint.Resources
	images  map[unit.Image]cached
	pushing bool
	probed  unit.Instant // when it was last sent an empty command
	asked   bool         // see Unheard
}

// Load counts the placements that may exist on a machine, so that a round need
// not look at each.
type Load struct {
	Tasks    int
	Services int
	Halting  int
	// ByServices is what the replicas hold.
	ByServices checkpoint.Resources
	// ByPriority counts by the job's priority.
	ByPriority [checkpoint.PriorityProd + 1]int
}

func (l *Load) count(p *checkpoint.Placement, n int) {
	l.Tasks += n
	l.ByPriority[p.Job.Spec.Priority] += n
	if p.Job.Spec.Service {
		l.Services += n
		l.ByServices = l.ByServices.Add(p.Job.Spec.TaskResources().Multiply(n))
	}
	if p.Stopping {
		l.Halting += n
	}
}

// Below counts the placements of lower priority.
func (l *Load) Below(prio checkpoint.Priority) int {
	n := 0
	for _, k := range l.ByPriority[:prio] {
		n += k
	}
	return n
}

// placeKey tells the attempts of a task apart: the tombstone of one must stay
// while the next runs.
type placeKey struct {
	task    unit.TaskID
	attempt unit.Attempt
}

func keyOf(p *checkpoint.Placement) placeKey { return placeKey{p.ID(), p.Attempt} }

type cached struct {
	gb   float64
	used unit.Instant
}

// Asked tells whether the machine was asked for a report at a takeover.
func (m *Machine) Asked() bool { return m.asked }

// HasImage tells whether the image is known to be on the machine.
func (m *Machine) HasImage(i unit.Image) bool { _, ok := m.images[i]; return ok }

// Knows tells whether a task of the job was placed here in the attempt, and its
// exit may still be on the machine.
func (m *Machine) Knows(job unit.JobID, attempt unit.Attempt) bool {
	for k := range m.places {
		if k.task.Job == job && k.attempt == attempt {
			return true
		}
	}
	return false
}

// Load returns the counts of the placements that may exist on the machine.
func (m *Machine) Load() *Load { return &m.live }

// Live returns the placements that may exist on the machine.
func (m *Machine) Live() []*checkpoint.Placement {
	if m.live.Tasks == 0 {
		return nil
	}
	out := make([]*checkpoint.Placement, 0, m.live.Tasks)
	for _, p := range m.places {
		if p.State != checkpoint.PlacementEnded {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(a, b int) bool { return less(out[a].ID(), out[b].ID()) })
	return out
}

// Busy tells whether any placement may exist on the machine.
func (m *Machine) Busy() bool { return m.live.Tasks > 0 || m.StrayRuns() }

// Anchored tells whether a service runs on the machine, so that it won't be
// returned soon anyway.
func (m *Machine) Anchored() bool { return m.live.Services > 0 }

// StrayRuns tells whether a task that no placement names may run here.
func (m *Machine) StrayRuns() bool {
	for _, e := range m.strays {
		if e.State != stateExited {
			return true
		}
	}
	return false
}

func (m *Machine) cachedGB() float64 {
	sum := 0.0
	for _, c := range m.images {
		sum += c.gb
	}
	return sum
}

func (m *Machine) oldestImage() unit.Image {
	var oldest unit.Image
	first := true
	for i, c := range m.images {
		if first || c.used < m.images[oldest].used || c.used == m.images[oldest].used && i < oldest {
			oldest, first = i, false
		}
	}
	return oldest
}

func less(a, b unit.TaskID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Index < b.Index
}
