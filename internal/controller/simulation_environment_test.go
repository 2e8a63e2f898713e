package controller

import (
	"errors"
	"time"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

func (s *simulation) sendCommand(n *simulatedNode, life int, e SendCommands) {
	var exec func() *fleet.Heartbeat
	exec = func() *fleet.Heartbeat {
		if until := s.hungUntil[e.Machine]; s.now.Before(until) {
			// Held by the machine, and executed when it goes on.
			s.schedule(until.Sub(s.now)+time.Millisecond, func() { exec() })
			return nil
		}
		if s.now.Before(s.unreachableUntil[e.Machine]) {
			return nil // it never arrives
		}
		if h := s.cloud.Machines[e.Machine]; h != nil && s.partitioned(n.zone, h.Offer.Zone) {
			// Held by the network, and delivered when the partition ends.
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
		if !s.deliver(func() { r = exec() }) || r == nil {
			r = nil
			s.schedule(3*time.Second, func() { s.reply(n, life, CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch}) })
			return
		}
		s.reply(n, life, CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch, Heartbeat: r})
		if s.rng.Float64() < s.duplicateProbability {
			s.schedule(time.Duration(1+s.rng.IntN(60))*time.Second, func() { exec() })
		}
	})
}

func (s *simulation) callCloud(n *simulatedNode, life int, e Effect) {
	if s.partitioned(n.zone, "") {
		s.schedule(5*time.Second, func() { s.failCloudCall(n, life, e) })
		return
	}
	s.schedule(50*time.Millisecond, func() {
		switch e := e.(type) {
		case ProvisionMachines:
			done := ProvisionCompleted{Name: e.Name, Offer: e.Offer, SentAt: n.steadyTime(s.now), Result: cloud.ProvisionOutcomeUnknown}
			var ids []ident.MachineID
			var err error
			if s.deliver(func() { ids, err = s.cloud.Provision(s.now, e.Name, e.Offer, e.Count) }) {
				done.Machines = ids
				done.Result = map[bool]cloud.ProvisionResult{true: cloud.ProvisionGranted, false: cloud.ProvisionNoCapacity}[err == nil]
				if errors.Is(err, cloud.ErrUnavailable) {
					done.Result = cloud.ProvisionDeferred
				}
			}
			s.reply(n, life, done)
		case DeprovisionMachines:
			var err error
			ok := s.deliver(func() {
				if err = s.cloud.Deprovision(e.Machines); err == nil {
					for _, id := range e.Machines {
						s.running.removeFrom(id)
					}
				}
			})
			s.reply(n, life, DeprovisionCompleted{Machines: e.Machines, OK: ok && err == nil})
		case ListMachines:
			list, more, err := s.cloud.Page(s.now, e.After, machineListPageSize)
			s.reply(n, life, MachinesListed{cloud.Page{OK: err == nil, Machines: list, More: more}})
		case ReadMachineTypes:
			s.reply(n, life, MachineTypesRead{Types: s.cloud.Types})
		}
	})
}

// machineListPageSize is how many machines the cloud lists in one answer: few, so that scenarios
// read lists of several pages.
const machineListPageSize = 40

// failCloudCall is what comes of a call that does not reach the cloud.
func (s *simulation) failCloudCall(n *simulatedNode, life int, e Effect) {
	switch e := e.(type) {
	case ProvisionMachines:
		s.reply(n, life, ProvisionCompleted{Name: e.Name, Offer: e.Offer, SentAt: n.steadyTime(s.now), Result: cloud.ProvisionOutcomeUnknown})
	case DeprovisionMachines:
		s.reply(n, life, DeprovisionCompleted{Machines: e.Machines})
	case ListMachines:
		s.reply(n, life, MachinesListed{})
	case ReadMachineTypes:
		s.reply(n, life, MachineTypesRead{})
	}
}

// reclaimMachine makes a machine vanish without notice.
func (s *simulation) reclaimMachine(id ident.MachineID) {
	s.running.removeFrom(id)
	s.cloud.Reclaim(id)
}

// advanceEnvironment lets time pass outside the nodes, and checks the rules.
func (s *simulation) advanceEnvironment() {
	s.checkStoreLimits()
	s.store.Expire(s.now)
	if names := s.entitledNodes(); len(names) > 1 && s.heartbeatUnderstatement == 0 {
		s.t.Fatalf("entitled at the same time: %v", names)
	}
	s.startMachines()
	s.advanceWorkers()
	s.checkCancelledJobsStopped()
}

// checkStoreLimits checks that nothing was written beyond the limits of the state
// service, but for a time in which nobody can know them.
func (s *simulation) checkStoreLimits() {
	if s.store.LimitViolation == "" {
		return
	}
	if !s.now.Before(s.limitGraceUntil) {
		s.t.Fatalf("beyond the limits of the state service: %s", s.store.LimitViolation)
	}
	// The limits came before anybody could know that all are upgraded.
	s.store.LimitViolation = ""
	s.limitViolations++
}

// startMachines starts the workers of the machines that come up.
func (s *simulation) startMachines() {
	lease := s.settings.Params.Workers.LeaseTTL()
	for _, w := range s.cloud.StartDue(s.now, func(h *fake.Machine) *fake.Worker {
		return fake.NewWorker(h.ID, s.cloud.Type(h.Offer.Type), h.Offer.Zone, h.Offer.Spot, lease, s.now)
	}) {
		w.FetchTime = time.Second
		w.OnTask = s.taskSeen
		w.OnExit = s.countGangExit
		w.Spec = s.jobSpec
		w.RunTime = s.taskRunTime
		s.heartbeatLoop(w, s.rng.IntN(len(s.nodes)))
	}
}

// jobSpec tells a worker what a job is, if it was submitted.
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

// advanceWorkers lets time pass on the machines that are up.
func (s *simulation) advanceWorkers() {
	var up []*fake.Worker
	for _, h := range s.cloud.Sorted() {
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
	hangs := func(id ident.MachineID) bool { return s.now.Before(s.hungUntil[id]) }
	fake.AdvanceGangs(s.now, up, gangStartTimeout, gangPeerTimeout, hangs)
}

// checkCancelledJobsStopped checks that nothing of a cancelled job runs once its time
// is over.
func (s *simulation) checkCancelledJobsStopped() {
	for id, j := range s.jobs {
		if j.cancelledAt == 0 || s.now.Sub(j.cancelledAt) < s.settings.Params.Workers.CancelTimeout() {
			continue
		}
		for task, placed := range s.running.ofJob(id) {
			s.t.Fatalf("ran_cancelled: %v on %s", task, placed.machine)
		}
	}
}

// heartbeatLoop sends a worker's heartbeats to a node, and goes on to another when
// it is refused.
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
	n, sent, session, r := s.nodes[node], s.now, w.Session, w.Heartbeat()
	interval := s.settings.Params.Workers.HeartbeatInterval()
	next := interval*3/4 + time.Duration(s.rng.Int64N(int64(interval/2)))
	answered := false
	follow := func(node int, d time.Duration) {
		if !answered {
			answered = true
			s.schedule(d, func() { s.heartbeatLoop(w, node) })
		}
	}
	if s.rng.Float64() < s.lateHeartbeatProbability {
		// A copy that was held on its way; nobody waits for its answer.
		s.schedule(time.Second+time.Duration(s.rng.Int64N(int64(s.maxHeartbeatDelay))), func() {
			if n.alive {
				s.step(n, HeartbeatReceived{Heartbeat: r, Responder: ResponderFunc[HeartbeatReply](func(HeartbeatReply) {})})
			}
		})
	}
	s.schedule(4*time.Second, func() { follow((node+1)%len(s.nodes), time.Second) })
	if s.partitioned(n.zone, w.Zone) {
		s.heldMessages = append(s.heldMessages, func() {
			if n.alive {
				s.step(n, HeartbeatReceived{Heartbeat: r, Responder: ResponderFunc[HeartbeatReply](func(HeartbeatReply) {})})
			}
		})
		return
	}
	if !n.alive || s.unreachableByWorkers[node] || s.now.Before(s.silentUntil[w.ID]) || s.isLost() {
		return
	}
	s.schedule(s.latency(), func() {
		if !n.alive {
			return
		}
		var take func(a HeartbeatReply)
		take = func(a HeartbeatReply) {
			if s.relayHeartbeat(n, r, a, take) {
				return
			}
			s.schedule(s.latency(), func() {
				if s.unreachableByWorkers[node] || s.partitioned(n.zone, w.Zone) || answered || s.now.Before(s.hungUntil[w.ID]) || s.now.Before(s.unreachableUntil[w.ID]) {
					return
				}
				switch {
				case a.Outcome == HeartbeatAccepted:
					w.Advance(s.now)
					before := w.FencingToken
					if w.HandleHeartbeatReply(s.now, sent, session, a.Epoch, a.Commands) && w.FencingToken > before {
						next = 500 * time.Millisecond
					}
					follow(node, next)
				case a.Outcome == HeartbeatRedirected && a.Leader != "" && a.Leader != n.name:
					follow(int(a.Leader[1]-'0'), 200*time.Millisecond)
				default:
					follow((node+1)%len(s.nodes), time.Second)
				}
			})
		}
		s.step(n, HeartbeatReceived{Heartbeat: r, Responder: ResponderFunc[HeartbeatReply](take)})
	})
}

// relayHeartbeat hands a heartbeat over the peer network to a leader that the workers can't reach,
// as a node does with a worker that has come back from there in vain.
func (s *simulation) relayHeartbeat(n *simulatedNode, r *fleet.Heartbeat, a HeartbeatReply, take func(HeartbeatReply)) bool {
	if a.Outcome != HeartbeatRedirected || a.Final || a.Leader == "" || a.Leader == n.name {
		return false
	}
	l := s.nodes[int(a.Leader[1]-'0')]
	if !s.unreachableByWorkers[l.index] || !s.reachesPeer(n, l) {
		return false
	}
	s.schedule(s.latency(), func() {
		if s.reachesPeer(n, l) {
			s.step(l, HeartbeatReceived{Heartbeat: r, RelayedBy: n.name, Responder: ResponderFunc[HeartbeatReply](func(a HeartbeatReply) {
				if a.Outcome != HeartbeatAccepted {
					a = HeartbeatReply{}
				}
				take(a)
			})})
		}
	})
	return true
}

// scaleCloud gives the cloud about so many machines in the zones; nodes stand in the
// first two.
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
