package controller

import (
	"maps"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// faults holds the faults that are injected into a scenario at present.
type faults struct {
	faultsActive bool // repeatWhileFaultsActive continues to inject faults

	// Messages.
	lossProbability          float64       // of losing a message or the reply to a request
	duplicateProbability     float64       // of executing a command a second time, up to 60 s later
	lateHeartbeatProbability float64       // of delivering a second, late copy of a heartbeat
	maxHeartbeatDelay        time.Duration // upper bound on the additional delay of such copies
	maxExtraLatency          time.Duration // upper bound on the additional latency of messages
	heldMessages             []func()      // deliveries that a partition holds back until it ends

	// Network. Nodes are given by their index.
	unreachableByWorkers map[int]bool // nodes that workers can't reach
	peersPartitioned     bool         // nodes refuse each other's connections
	isolated             map[int]bool // nodes that reach neither the state service nor their peers
	partitionedZone      ident.Zone   // partitioned from everything outside it; "": no partition

	// Nodes.
	pausedUntil       map[int]clock.Instant // nodes that are paused while their clocks advance
	effectsUntilCrash int                   // the leader crashes in place of its nth next side effect; 0: never
	// electionRequestsUntilCrash: a node crashes after the nth next election request of any node and restarts within
	// 305 ms; 0: never.
	electionRequestsUntilCrash int
	onPreviousVersion          map[int]bool  // nodes that run the previous version, which announces no schema version
	heartbeatTTLShortfall      time.Duration // by how much the TTL read from leaders' heartbeats is too short

	// Machines.
	hungUntil           map[ident.MachineID]clock.Instant // machines that do nothing
	unreachableUntil    map[ident.MachineID]clock.Instant // machines that receive nothing, though their heartbeats arrive
	heartbeatsLostUntil map[ident.MachineID]clock.Instant // machines whose heartbeats are lost; they receive commands

	faultyMachines map[ident.MachineID]bool // machines on which every task fails at the end of its run time

	// State service.
	refusedByStore        map[int]bool  // nodes that it refuses, but that reach their peers
	lateCommitProbability float64       // of committing a transaction late and without a reply
	maxStoreLatency       time.Duration // upper bound on the additional latency of a request, added to a third of them
	recordsReadDelay      time.Duration // additional time that a new leader needs to read the records
	limitGraceUntil       clock.Instant // until then, writes may exceed its limits

	// Users.
	mistakenJobs           map[ident.JobID]bool // jobs whose tasks fail on every machine at the end of their run time
	cancelAtEndProbability float64              // of cancelling a job when its last running task ends
}

// defaultHeartbeatDelay is the value of maxHeartbeatDelay in scenarios that don't set it.
const defaultHeartbeatDelay = 40 * time.Second

func noFaults() faults {
	return faults{
		maxHeartbeatDelay:    defaultHeartbeatDelay,
		unreachableByWorkers: map[int]bool{},
		isolated:             map[int]bool{},
		pausedUntil:          map[int]clock.Instant{},
		hungUntil:            map[ident.MachineID]clock.Instant{},
		unreachableUntil:     map[ident.MachineID]clock.Instant{},
		heartbeatsLostUntil:  map[ident.MachineID]clock.Instant{},
		refusedByStore:       map[int]bool{},
		faultyMachines:       map[ident.MachineID]bool{},
		mistakenJobs:         map[ident.JobID]bool{},
	}
}

// partitioned reports whether a partition separates two zones. The zone "" stands for the region, which holds the state
// service and the cloud.
func (s *simulation) partitioned(a, b ident.Zone) bool {
	return s.partitionedZone != "" && (a == s.partitionedZone) != (b == s.partitionedZone)
}

// storeUnreachable reports whether a node can't reach the state service.
func (s *simulation) storeUnreachable(n *simulatedNode) bool {
	return s.isolated[n.index] || s.refusedByStore[n.index] || s.partitioned(n.zone, "")
}

// reachesPeer reports whether one node reaches another over the peer network.
func (s *simulation) reachesPeer(a, b *simulatedNode) bool {
	return a.alive && b.alive && !s.peersPartitioned && !s.isolated[a.index] && !s.isolated[b.index] && !s.partitioned(a.zone, b.zone)
}

// healPartition ends the partition of a zone and delivers the messages that it held back.
func (s *simulation) healPartition() {
	s.partitionedZone = ""
	held := s.heldMessages
	s.heldMessages = nil
	for _, do := range held {
		s.schedule(s.latency(), do)
	}
}

// injectRandomFault injects a randomly chosen fault, which may overlap with others.
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
		s.beginStoreOutage(length)
	case 5:
		s.forRandomThirdOfMachines(func(id ident.MachineID) {
			if s.cloud.Machines[id].Worker != nil {
				s.reclaimMachine(id)
			}
		})
	case 6:
		s.forRandomThirdOfMachines(func(id ident.MachineID) { s.hungUntil[id] = s.now.Add(length) })
	}
}

// forRandomThirdOfMachines calls the function for each machine with a probability of one third.
func (s *simulation) forRandomThirdOfMachines(apply func(ident.MachineID)) {
	for _, h := range s.cloud.SortedMachines() {
		if s.rng.IntN(3) == 0 {
			apply(h.ID)
		}
	}
}

// upMachines returns the machines whose workers have started.
func (s *simulation) upMachines() []ident.MachineID {
	var out []ident.MachineID
	for _, h := range s.cloud.SortedMachines() {
		if h.Worker != nil {
			out = append(out, h.ID)
		}
	}
	return out
}

// randomMachines returns a random selection of the machines that are up, about the given fraction of them.
func (s *simulation) randomMachines(fraction float64) []ident.MachineID {
	return slices.DeleteFunc(s.upMachines(), func(ident.MachineID) bool { return s.rng.Float64() > fraction })
}

// randomDuration returns a random duration in [shortest, longest).
func (s *simulation) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.rng.Int64N(int64(longest-shortest)))
}

// repeatWhileFaultsActive calls do repeatedly, at random intervals in [shortest, longest), until faults are no longer
// active.
func (s *simulation) repeatWhileFaultsActive(shortest, longest time.Duration, do func()) {
	s.schedule(s.randomDuration(shortest, longest), func() {
		if s.faultsActive {
			do()
			s.repeatWhileFaultsActive(shortest, longest, do)
		}
	})
}

// cancelRunningJobs cancels up to n jobs with running tasks, other than services, within 200 ms.
func (s *simulation) cancelRunningJobs(n int) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[id]; n > 0 && !j.spec.Service && !j.isFinished() && s.hasRunningTasks(id) {
			n--
			s.schedule(s.randomDuration(0, 200*time.Millisecond), func() { s.cancelJob(id) })
		}
	}
}

// crashLeader crashes the leader, which restarts after between 20 ms and maxRestartDelay.
func (s *simulation) crashLeader(maxRestartDelay time.Duration) {
	if l := s.leader(); l != nil {
		s.crash(l, s.randomDuration(20*time.Millisecond, maxRestartDelay))
	}
}

// beginStoreOutage makes the state service unavailable to all nodes for d.
func (s *simulation) beginStoreOutage(d time.Duration) {
	s.store.Down = true
	s.schedule(d, func() { s.store.Down = false })
}

// refuseLeader makes the state service refuse the requests of the leader, and of no other node, for d.
func (s *simulation) refuseLeader(d time.Duration) {
	if l := s.leader(); l != nil {
		s.refusedByStore[l.index] = true
		s.schedule(d, func() { delete(s.refusedByStore, l.index) })
	}
}

// isolateLeader cuts the leader off from the state service and its peers for d. Workers and users still reach it.
func (s *simulation) isolateLeader(d time.Duration) {
	if l := s.leader(); l != nil {
		s.isolated[l.index] = true
		s.schedule(d, func() { delete(s.isolated, l.index) })
	}
}

// makeUnreachable makes a fraction of the machines unreachable, each for a random duration. Their heartbeats still
// arrive.
func (s *simulation) makeUnreachable(fraction float64, shortest, longest time.Duration) {
	for _, id := range s.randomMachines(fraction) {
		s.unreachableUntil[id] = s.now.Add(s.randomDuration(shortest, longest))
	}
}

// hangMachines makes a fraction of the machines hang, each for a random duration.
func (s *simulation) hangMachines(fraction float64, shortest, longest time.Duration) {
	for _, id := range s.randomMachines(fraction) {
		s.hungUntil[id] = s.now.Add(s.randomDuration(shortest, longest))
	}
}
