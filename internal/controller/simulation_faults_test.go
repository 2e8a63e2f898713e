package controller

import (
	"maps"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// faults are what goes wrong in a scenario, as it is set now.
type faults struct {
	faultsActive bool // repeated faults go on

	// Of messages.
	lossProbability          float64       // that an answer is lost
	duplicateProbability     float64       // that a direct command is executed once more, much later
	lateHeartbeatProbability float64       // that a heartbeat comes once more, late
	maxHeartbeatDelay        time.Duration // how late at most
	maxExtraLatency          time.Duration // how much longer messages take, at most
	heldMessages             []func()      // what waits for the partition to end

	// Of the network. Nodes are named by their index.
	unreachableByWorkers map[int]bool // nodes that the workers can't reach
	peersPartitioned     bool         // nodes refuse each other's connections
	isolated             map[int]bool // nodes without state service and peers
	partitionedZone      ident.Zone   // cut off from everything outside it

	// Of nodes.
	pausedUntil                map[int]clock.Instant // paused while their clocks run on
	effectsUntilCrash          int                   // the leader crashes before this many of its next effects
	electionRequestsUntilCrash int                   // likewise, any node before a request of its election; it is back at once
	onPreviousVersion          map[int]bool          // nodes that don't say their version
	heartbeatUnderstatement    time.Duration         // what leaders' heartbeats seem to claim less than they do

	// Of machines.
	hungUntil        map[ident.MachineID]clock.Instant // that do nothing
	unreachableUntil map[ident.MachineID]clock.Instant // that nothing reaches, though their heartbeats arrive
	silentUntil      map[ident.MachineID]clock.Instant // whose heartbeats reach nobody, though commands reach them

	// Of the state service.
	refusedByStore        map[int]bool  // nodes that it refuses; their peers are reachable
	lateCommitProbability float64       // that a transaction is carried out late, without an answer
	maxStoreLatency       time.Duration // how long it takes at most
	loadDelay             time.Duration // how long a new leader needs to read the records
	limitGraceUntil       clock.Instant // until when its limits may be met

	// Of users.
	cancelAtEndProbability float64 // that a job is cancelled as its last task ends
}

// defaultHeartbeatDelay is how late late heartbeats come at most, if the scenario does
// not say.
const defaultHeartbeatDelay = 40 * time.Second

func noFaults() faults {
	return faults{
		maxHeartbeatDelay:    defaultHeartbeatDelay,
		unreachableByWorkers: map[int]bool{},
		isolated:             map[int]bool{},
		pausedUntil:          map[int]clock.Instant{},
		hungUntil:            map[ident.MachineID]clock.Instant{},
		unreachableUntil:     map[ident.MachineID]clock.Instant{},
		silentUntil:          map[ident.MachineID]clock.Instant{},
		refusedByStore:       map[int]bool{},
	}
}

// partitioned tells whether nothing passes between two places; "" is the region,
// where the state service and the cloud are.
func (s *simulation) partitioned(a, b ident.Zone) bool {
	return s.partitionedZone != "" && (a == s.partitionedZone) != (b == s.partitionedZone)
}

// withoutStore tells whether a node does not reach the state service.
func (s *simulation) withoutStore(n *simulatedNode) bool {
	return s.isolated[n.index] || s.refusedByStore[n.index] || s.partitioned(n.zone, "")
}

// reachesPeer tells whether one node reaches another over the peer network.
func (s *simulation) reachesPeer(a, b *simulatedNode) bool {
	return a.alive && b.alive && !s.peersPartitioned && !s.isolated[a.index] && !s.isolated[b.index] && !s.partitioned(a.zone, b.zone)
}

// healPartition ends the partition of a zone; what it held arrives.
func (s *simulation) healPartition() {
	s.partitionedZone = ""
	held := s.heldMessages
	s.heldMessages = nil
	for _, do := range held {
		s.schedule(s.latency(), do)
	}
}

// injectRandomFault draws one fault, which may come on top of others.
func (s *simulation) injectRandomFault() {
	n := s.nodes[s.rng.IntN(3)]
	if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
		n = l
	}
	length := time.Duration(500<<s.rng.IntN(7)) * time.Millisecond
	switch s.rng.IntN(7) {
	case 0:
		s.partitionedZone = s.settings.Params.Zones[s.rng.IntN(len(s.settings.Params.Zones))]
		s.schedule(length+10*time.Second, s.healPartition)
	case 1:
		s.pausedUntil[n.index] = s.now.Add(length)
	case 2:
		for _, o := range s.nodes {
			if o == n || s.rng.IntN(2) == 0 {
				s.crash(o, time.Duration(20+s.rng.IntN(4000))*time.Millisecond)
			}
		}
	case 3:
		s.isolated[n.index] = true
		s.schedule(length, func() { delete(s.isolated, n.index) })
	case 4:
		s.storeOutage(length)
	case 5:
		s.forThirdOfMachines(func(id ident.MachineID) {
			if s.cloud.Machines[id].Worker != nil {
				s.reclaimMachine(id)
			}
		})
	case 6:
		s.forThirdOfMachines(func(id ident.MachineID) { s.hungUntil[id] = s.now.Add(length) })
	}
}

// forThirdOfMachines draws a third of the machines.
func (s *simulation) forThirdOfMachines(how func(ident.MachineID)) {
	for _, h := range s.cloud.Sorted() {
		if s.rng.IntN(3) == 0 {
			how(h.ID)
		}
	}
}

// upMachines lists the machines that are up.
func (s *simulation) upMachines() []ident.MachineID {
	var out []ident.MachineID
	for _, h := range s.cloud.Sorted() {
		if h.Worker != nil {
			out = append(out, h.ID)
		}
	}
	return out
}

// randomMachines picks about a part of the machines that are up.
func (s *simulation) randomMachines(part float64) []ident.MachineID {
	return slices.DeleteFunc(s.upMachines(), func(ident.MachineID) bool { return s.rng.Float64() > part })
}

// randomDuration is a length between two.
func (s *simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)))
}

// repeatWhileFaulty calls do and again while faults are active.
func (s *simulation) repeatWhileFaulty(least, most time.Duration, do func()) {
	s.schedule(s.randomDuration(least, most), func() {
		if s.faultsActive {
			do()
			s.repeatWhileFaulty(least, most, do)
		}
	})
}

// cancelRunningJobs cancels n jobs that run, at once.
func (s *simulation) cancelRunningJobs(n int) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[id]; n > 0 && !j.spec.Service && !j.isOver() && s.hasRunningTasks(id) {
			n--
			s.schedule(s.randomDuration(0, 200*time.Millisecond), func() { s.cancelJob(id) })
		}
	}
}

// crashLeader ends the leader, which comes back within the time.
func (s *simulation) crashLeader(back time.Duration) {
	if l := s.leader(); l != nil {
		s.crash(l, s.randomDuration(20*time.Millisecond, back))
	}
}

// storeOutage makes the state service unavailable to all nodes for d.
func (s *simulation) storeOutage(d time.Duration) {
	s.store.Down = true
	s.schedule(d, func() { s.store.Down = false })
}

// refuseLeader has the state service refuse the leader alone.
func (s *simulation) refuseLeader(d time.Duration) {
	if l := s.leader(); l != nil {
		s.refusedByStore[l.index] = true
		s.schedule(d, func() { delete(s.refusedByStore, l.index) })
	}
}

// isolateLeader takes state service and peers from the leader, but not its workers
// and users.
func (s *simulation) isolateLeader(d time.Duration) {
	if l := s.leader(); l != nil {
		s.isolated[l.index] = true
		s.schedule(d, func() { delete(s.isolated, l.index) })
	}
}

func (s *simulation) makeUnreachable(part float64, least, most time.Duration) {
	for _, id := range s.randomMachines(part) {
		s.unreachableUntil[id] = s.now.Add(s.randomDuration(least, most))
	}
}

func (s *simulation) hangMachines(part float64, least, most time.Duration) {
	for _, id := range s.randomMachines(part) {
		s.hungUntil[id] = s.now.Add(s.randomDuration(least, most))
	}
}
