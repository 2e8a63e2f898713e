package controller

import (
	"errors"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

func (s *simulation) sendCommand(n *simulatedNode, incarnation int, e SendCommands) {
	var exec func() *fleet.Heartbeat
	exec = func() *fleet.Heartbeat {
		if until := s.hungUntil[e.Machine]; s.now.Before(until) {
			// The machine queues the command and executes it when it resumes.
			s.schedule(until.Sub(s.now)+time.Millisecond, func() { exec() })
			return nil
		}
		if s.now.Before(s.unreachableUntil[e.Machine]) {
			return nil // the command is lost
		}
		if h := s.cloud.Machines[e.Machine]; h != nil && s.partitioned(n.zone, h.Offer.Zone) {
			// The network holds the command back and delivers it when the partition ends.
			s.heldMessages = append(s.heldMessages, func() { exec() })
			return nil
		}
		if h := s.cloud.Machines[e.Machine]; h != nil && h.Worker != nil && !h.Failed {
			h.Worker.Advance(s.now)
			return h.Worker.HandleCommand(s.now, e.Epoch, e.Session, e.Commands)
		}
		return nil
	}
	s.schedule(s.latency(), func() {
		var r *fleet.Heartbeat
		if !s.executeWithLoss(func() { r = exec() }) || r == nil {
			r = nil
			s.schedule(3*time.Second, func() { s.reply(n, incarnation, CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch}) })
			return
		}
		s.reply(n, incarnation, CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch, Heartbeat: r})
		if s.rng.Float64() < s.duplicateProbability {
			s.schedule(time.Duration(1+s.rng.IntN(60))*time.Second, func() { exec() })
		}
	})
}

func (s *simulation) callCloud(n *simulatedNode, incarnation int, e Effect) {
	if s.partitioned(n.zone, "") {
		s.schedule(5*time.Second, func() { s.failCloudCall(n, incarnation, e) })
		return
	}
	s.schedule(50*time.Millisecond, func() {
		switch e := e.(type) {
		case ProvisionMachines:
			done := ProvisionCompleted{Name: e.Name, Offer: e.Offer, SentAt: n.steadyTime(s.now), Result: cloud.ProvisionOutcomeUnknown}
			var ids []ident.MachineID
			var err error
			if s.executeWithLoss(func() { ids, err = s.cloud.Provision(s.now, e.Name, e.Offer, e.Count) }) {
				done.Machines = ids
				done.Result = map[bool]cloud.ProvisionResult{true: cloud.ProvisionGranted, false: cloud.ProvisionNoCapacity}[err == nil]
				if errors.Is(err, cloud.ErrUnavailable) {
					done.Result = cloud.ProvisionDeferred
				}
			}
			s.reply(n, incarnation, done)
		case DeprovisionMachines:
			var err error
			ok := s.executeWithLoss(func() {
				if err = s.cloud.Deprovision(e.Machines); err == nil {
					for _, id := range e.Machines {
						s.running.removeFrom(id)
					}
				}
			})
			s.reply(n, incarnation, DeprovisionCompleted{Machines: e.Machines, OK: ok && err == nil})
		case ListMachines:
			list, more, err := s.cloud.ListPage(s.now, e.After, machineListPageSize)
			s.reply(n, incarnation, MachinesListed{cloud.Page{OK: err == nil, Machines: list, More: more}})
		case ReadMachineTypes:
			s.reply(n, incarnation, MachineTypesRead{Types: s.cloud.Types})
		}
	})
}

// machineListPageSize is the number of machines in a page of the cloud's list. It is small, so that the lists in
// scenarios have several pages.
const machineListPageSize = 40

// failCloudCall replies to a call that did not reach the cloud.
func (s *simulation) failCloudCall(n *simulatedNode, incarnation int, e Effect) {
	switch e := e.(type) {
	case ProvisionMachines:
		s.reply(n, incarnation, ProvisionCompleted{Name: e.Name, Offer: e.Offer, SentAt: n.steadyTime(s.now), Result: cloud.ProvisionOutcomeUnknown})
	case DeprovisionMachines:
		s.reply(n, incarnation, DeprovisionCompleted{Machines: e.Machines})
	case ListMachines:
		s.reply(n, incarnation, MachinesListed{})
	case ReadMachineTypes:
		s.reply(n, incarnation, MachineTypesRead{})
	}
}

// reclaimMachine removes a machine without notice, as if the cloud had reclaimed it.
func (s *simulation) reclaimMachine(id ident.MachineID) {
	s.running.removeFrom(id)
	s.cloud.Reclaim(id)
}

// advanceEnvironment advances the state service, the cloud and the workers to the current time, and checks the
// invariants that hold at all times.
func (s *simulation) advanceEnvironment() {
	s.checkStoreLimits()
	s.store.Expire(s.now)
	if names := s.entitledNodes(); len(names) > 1 && s.heartbeatTTLShortfall == 0 {
		s.t.Fatalf("nodes with a valid leader lease at the same time: %v", names)
	}
	s.startMachines()
	s.advanceWorkers()
	s.checkCancelledJobsStopped()
}

// checkStoreLimits checks that no write exceeded the limits of the state service. Violations are only counted until
// limitGraceUntil, since no node can know the limits before then.
func (s *simulation) checkStoreLimits() {
	if s.store.LimitViolation == "" {
		return
	}
	if !s.now.Before(s.limitGraceUntil) {
		s.t.Fatalf("write beyond the limits of the state service: %s", s.store.LimitViolation)
	}
	// The limits took effect before any node could know that all nodes are upgraded.
	s.store.LimitViolation = ""
	s.limitViolations++
}

// startMachines starts the workers of the machines that have finished booting.
func (s *simulation) startMachines() {
	lease := s.settings.Params.Workers.LeaseTTL()
	for _, w := range s.cloud.StartReadyWorkers(s.now, func(h *fake.Machine) *fake.Worker {
		return fake.NewWorker(h.ID, s.cloud.Type(h.Offer.Type), h.Offer.Zone, h.Offer.Spot, lease, s.now)
	}) {
		w.FetchTime = time.Second
		w.OnTaskChange = s.handleTaskChange
		w.OnExit = s.countGangExit
		w.Spec = s.jobSpec
		w.RunTime = s.taskRunTime
		w.Fails = func(task ident.TaskID) bool { return s.mistakenJobs[task.Job] || s.faultyMachines[w.ID] }
		s.heartbeatLoop(w, s.rng.IntN(len(s.nodes)))
	}
}

// jobSpec returns the spec and the run time of a job for a worker. The last result reports whether the job was
// submitted.
func (s *simulation) jobSpec(id ident.JobID) (*jobs.Spec, time.Duration, bool) {
	j := s.jobs[id]
	if j == nil || !j.submitted {
		return nil, 0, false
	}
	return &j.spec, j.runTime, true
}

func (s *simulation) taskRunTime(task ident.TaskID) time.Duration {
	j := s.jobs[task.Job]
	return j.runTime + time.Duration(task.Index)*j.runTimeStep
}

const (
	gangStartTimeout = 20 * time.Second
	gangPeerTimeout  = 8 * time.Second
)

// advanceWorkers advances the workers of all machines that have neither failed nor are still booting. A hung machine
// only loses its lease when that expires.
func (s *simulation) advanceWorkers() {
	var up []*fake.Worker
	for _, h := range s.cloud.SortedMachines() {
		if h.Worker == nil || h.Failed {
			continue
		}
		if s.now.Before(s.hungUntil[h.ID]) {
			h.Worker.ExpireLease(s.now)
		} else {
			h.Worker.Advance(s.now)
		}
		up = append(up, h.Worker)
	}
	isHung := func(id ident.MachineID) bool { return s.now.Before(s.hungUntil[id]) }
	fake.AdvanceGangs(s.now, up, gangStartTimeout, gangPeerTimeout, isHung)
}

// checkCancelledJobsStopped checks that no task of a cancelled job runs once the cancel timeout has passed.
func (s *simulation) checkCancelledJobsStopped() {
	for id, j := range s.jobs {
		if j.cancelledAt == 0 || s.now.Sub(j.cancelledAt) < s.settings.Params.Workers.CancelTimeout() {
			continue
		}
		for task, placed := range s.running.ofJob(id) {
			s.t.Fatalf("task %v of a cancelled job still runs on %s after the cancel timeout", task, placed.machine)
		}
	}
}

// Timing of a worker's heartbeats.
const (
	heartbeatReplyTimeout = 4 * time.Second
	nextNodeDelay         = time.Second            // pause before a worker tries the next node
	redirectDelay         = 200 * time.Millisecond // pause before a worker contacts the leader named in a redirect
	newEpochDelay         = 500 * time.Millisecond // pause after a reply with a higher fencing token
)

// heartbeatLoop sends a worker's heartbeat to a node and schedules the next one: to the same node if the heartbeat was
// accepted, else to another.
func (s *simulation) heartbeatLoop(w *fake.Worker, node int) {
	h := s.cloud.Machines[w.ID]
	if h == nil || h.Worker != w || h.Failed {
		return
	}
	if until := s.hungUntil[w.ID]; s.now.Before(until) {
		s.schedule(until.Sub(s.now)+time.Millisecond, func() { s.heartbeatLoop(w, node) })
		return
	}
	w.Advance(s.now)
	interval := s.settings.Params.Workers.HeartbeatInterval()
	x := &heartbeatExchange{sim: s, worker: w, node: s.nodes[node], heartbeat: w.Heartbeat(), session: w.Session, sentAt: s.now,
		nextDelay: interval*3/4 + time.Duration(s.rng.Int64N(int64(interval/2)))}
	if s.rng.Float64() < s.lateHeartbeatProbability {
		delay := time.Second + time.Duration(s.rng.Int64N(int64(s.maxHeartbeatDelay)))
		s.schedule(delay, x.deliverCopy)
	}
	s.schedule(heartbeatReplyTimeout, x.tryNextNode)
	x.send()
}

// heartbeatExchange is one heartbeat of a worker and the handling of its reply.
type heartbeatExchange struct {
	sim           *simulation
	worker        *fake.Worker
	node          *simulatedNode
	heartbeat     *fleet.Heartbeat
	session       ident.Session
	sentAt        clock.Instant
	nextDelay     time.Duration // until the next heartbeat, once this one has been accepted
	nextScheduled bool          // the next heartbeat is scheduled
}

// send sends the heartbeat to its node. If no reply arrives within heartbeatReplyTimeout, the worker tries the next
// node.
func (x *heartbeatExchange) send() {
	s, n := x.sim, x.node
	if s.partitioned(n.zone, x.worker.Zone) {
		s.heldMessages = append(s.heldMessages, x.deliverCopy)
		return
	}
	if !n.alive || s.unreachableByWorkers[n.index] || s.now.Before(s.heartbeatsLostUntil[x.worker.ID]) || s.isLost() {
		return
	}
	s.schedule(s.latency(), func() {
		if n.alive {
			s.step(n, HeartbeatReceived{Heartbeat: x.heartbeat, Responder: ResponderFunc[HeartbeatReply](x.reply)})
		}
	})
}

// deliverCopy delivers a delayed copy of the heartbeat to its node. The reply is discarded.
func (x *heartbeatExchange) deliverCopy() {
	if x.node.alive {
		x.sim.step(x.node, HeartbeatReceived{Heartbeat: x.heartbeat, Responder: ResponderFunc[HeartbeatReply](func(HeartbeatReply) {})})
	}
}

// reply sends the node's reply to the worker, unless the node relays the heartbeat to the leader instead.
func (x *heartbeatExchange) reply(reply HeartbeatReply) {
	if x.relay(reply) {
		return
	}
	x.sim.schedule(x.sim.latency(), func() { x.deliverReply(reply) })
}

// deliverReply passes a reply to the worker and schedules its next heartbeat. A reply that does not reach the worker,
// or that arrives after the next heartbeat was scheduled, is discarded.
func (x *heartbeatExchange) deliverReply(reply HeartbeatReply) {
	s, w := x.sim, x.worker
	if s.unreachableByWorkers[x.node.index] || s.partitioned(x.node.zone, w.Zone) || x.nextScheduled ||
		s.now.Before(s.hungUntil[w.ID]) || s.now.Before(s.unreachableUntil[w.ID]) {
		return
	}
	switch {
	case reply.Outcome == HeartbeatAccepted:
		w.Advance(s.now)
		before := w.FencingToken
		if w.HandleHeartbeatReply(s.now, x.sentAt, x.session, reply.Epoch, reply.Commands) && w.FencingToken > before {
			x.nextDelay = newEpochDelay
		}
		x.continueAt(x.node.index, x.nextDelay)
	case reply.Outcome == HeartbeatRedirected && reply.Leader != "" && reply.Leader != x.node.name:
		x.continueAt(nodeIndex(reply.Leader), redirectDelay)
	default:
		x.tryNextNode()
	}
}

func (x *heartbeatExchange) tryNextNode() {
	x.continueAt((x.node.index+1)%len(x.sim.nodes), nextNodeDelay)
}

// continueAt schedules the worker's next heartbeat, to the given node, unless one has been scheduled already.
func (x *heartbeatExchange) continueAt(node int, pause time.Duration) {
	if x.nextScheduled {
		return
	}
	x.nextScheduled = true
	x.sim.schedule(pause, func() { x.sim.heartbeatLoop(x.worker, node) })
}

// nodeIndex returns the index of the node with a name.
func nodeIndex(name string) int { return int(name[1] - '0') }

// relay forwards the heartbeat over the peer network to a leader that the workers can't reach, as a node does for a
// worker that returns after a redirect because it did not reach the leader. It reports whether it has taken over the
// heartbeat.
func (x *heartbeatExchange) relay(reply HeartbeatReply) bool {
	s, n := x.sim, x.node
	if reply.Outcome != HeartbeatRedirected || reply.Final || reply.Leader == "" || reply.Leader == n.name {
		return false
	}
	leader := s.nodes[nodeIndex(reply.Leader)]
	if !s.unreachableByWorkers[leader.index] || !s.reachesPeer(n, leader) {
		return false
	}
	s.schedule(s.latency(), func() {
		if s.reachesPeer(n, leader) {
			s.step(leader, HeartbeatReceived{Heartbeat: x.heartbeat, RelayedBy: n.name, Responder: ResponderFunc[HeartbeatReply](x.relayReply)})
		}
	})
	return true
}

// relayReply sends the leader's reply to a relayed heartbeat to the worker. A refusal of any kind is replaced by
// HeartbeatUnavailable.
func (x *heartbeatExchange) relayReply(reply HeartbeatReply) {
	if reply.Outcome != HeartbeatAccepted {
		reply = HeartbeatReply{Outcome: HeartbeatUnavailable}
	}
	x.reply(reply)
}

// scaleCloud sets the zones and gives the cloud a capacity of about the given number of machines in them, then restarts
// the nodes with these settings. The nodes themselves are in the first two zones.
func (s *simulation) scaleCloud(zones []ident.Zone, machines int) {
	s.settings.Params.Zones = zones
	clear(s.cloud.Capacity)
	for _, typ := range s.cloud.Types {
		typ.Zones = zones
		for _, z := range zones {
			for _, spot := range []bool{false, true} {
				s.cloud.Capacity[cloud.Offer{Type: typ.Name, Zone: z, Spot: spot}] = machines / (2 * len(zones) * len(s.cloud.Types))
			}
		}
	}
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond)
	}
}
