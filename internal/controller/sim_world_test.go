package controller

import (
	"errors"
	"maps"
	"slices"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
)

func (s *sim) do(n *simNode, life int, e SendCommands) {
	var exec func() *fleet.Heartbeat
	exec = func() *fleet.Heartbeat {
		if until := s.hung[e.Machine]; s.now.Before(until) {
			// Held by the machine, and executed when it goes on.
			s.after(until.Sub(s.now)+time.Millisecond, func() { exec() })
			return nil
		}
		if s.now.Before(s.deaf[e.Machine]) {
			return nil // it never arrives
		}
		if h := s.cloud.Machines[e.Machine]; h != nil && s.severed(n.zone, h.Offer.Zone) {
			// Held by the network, and delivered when the cut ends.
			s.held = append(s.held, func() { exec() })
			return nil
		}
		if h := s.cloud.Machines[e.Machine]; h != nil && h.Worker != nil && !h.Failed {
			h.Worker.Advance(s.now)
			return h.Worker.Do(s.now, e.Epoch, e.Session, e.Commands)
		}
		return nil
	}
	s.after(s.latency(), func() {
		var r *fleet.Heartbeat
		if !s.sent(func() { r = exec() }) || r == nil {
			r = nil
			s.after(3*time.Second, func() { s.reply(n, life, CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch}) })
			return
		}
		s.reply(n, life, CommandsAcknowledged{Machine: e.Machine, Epoch: e.Epoch, Heartbeat: r})
		if s.rng.Float64() < s.dup {
			s.after(time.Duration(1+s.rng.IntN(60))*time.Second, func() { exec() })
		}
	})
}

// heal ends the cut of a zone; what it held arrives.
func (s *sim) heal() {
	s.zoneCut = ""
	held := s.held
	s.held = nil
	for _, do := range held {
		s.after(s.latency(), do)
	}
}

func (s *sim) callCloud(n *simNode, life int, e Effect) {
	if s.severed(n.zone, "") {
		s.after(5*time.Second, func() { s.cloudSilent(n, life, e) })
		return
	}
	s.after(50*time.Millisecond, func() {
		switch e := e.(type) {
		case ProvisionMachines:
			done := ProvisionCompleted{Name: e.Name, Offer: e.Offer, SentAt: n.clock(s.now), Result: rental.ProvisionOutcomeUnknown}
			var ids []unit.MachineID
			var err error
			if s.sent(func() { ids, err = s.cloud.Hire(s.now, e.Name, e.Offer, e.Count) }) {
				done.Machines = ids
				done.Result = map[bool]rental.ProvisionResult{true: rental.ProvisionGranted, false: rental.ProvisionNoCapacity}[err == nil]
				if errors.Is(err, rental.ErrUnavailable) {
					done.Result = rental.ProvisionDeferred
				}
			}
			s.reply(n, life, done)
		case DeprovisionMachines:
			var err error
			ok := s.sent(func() {
				if err = s.cloud.Release(e.Machines); err == nil {
					for _, id := range e.Machines {
						s.offMachine(id)
					}
				}
			})
			s.reply(n, life, DeprovisionCompleted{Machines: e.Machines, OK: ok && err == nil})
		case ListMachines:
			list, more, err := s.cloud.Page(s.now, e.After, listPage)
			s.reply(n, life, MachinesListed{rental.Page{OK: err == nil, Machines: list, More: more}})
		case ReadMachineTypes:
			s.reply(n, life, MachineTypesRead{Types: s.cloud.Types})
		}
	})
}

// listPage is how many machines the cloud lists in one answer: few, so that days
// read lists of several pages.
const listPage = 40

// cloudSilent is what comes of a call that does not reach the cloud.
func (s *sim) cloudSilent(n *simNode, life int, e Effect) {
	switch e := e.(type) {
	case ProvisionMachines:
		s.reply(n, life, ProvisionCompleted{Name: e.Name, Offer: e.Offer, SentAt: n.clock(s.now), Result: rental.ProvisionOutcomeUnknown})
	case DeprovisionMachines:
		s.reply(n, life, DeprovisionCompleted{Machines: e.Machines})
	case ListMachines:
		s.reply(n, life, MachinesListed{})
	case ReadMachineTypes:
		s.reply(n, life, MachineTypesRead{})
	}
}

func (s *sim) offMachine(id unit.MachineID) {
	for task, m := range s.on {
		if m == id {
			delete(s.on, task)
		}
	}
}

// take makes a machine vanish without notice.
func (s *sim) take(id unit.MachineID) {
	s.offMachine(id)
	s.cloud.Take(id)
}

// world lets time pass outside the nodes.
func (s *sim) world() {
	if s.state.Breach != "" && s.now.Before(s.surprise) {
		// The limits came before anybody could know that all are upgraded.
		s.state.Breach = ""
		s.surprised++
	}
	if s.state.Breach != "" {
		s.t.Fatalf("beyond the limits of the state service: %s", s.state.Breach)
	}
	s.state.Expire(s.now)
	if names := s.entitled(); len(names) > 1 && s.understated == 0 {
		s.t.Fatalf("entitled at the same time: %v", names)
	}
	lease := s.set.Params.Workers.LeaseTTL()
	for _, w := range s.cloud.Up(s.now, func(id unit.MachineID, h *fake.Host) *fake.Worker {
		var typ *fleet.MachineType
		for _, ty := range s.cloud.Types {
			if ty.Name == h.Offer.Type {
				typ = ty
			}
		}
		return fake.NewWorker(id, typ, h.Offer.Zone, h.Offer.Spot, lease, s.now)
	}) {
		w.Fetch = time.Second
		w.Seen = s.seen
		w.Exit = s.exited
		w.Spec = func(id unit.JobID) (*checkpoint.Spec, time.Duration, bool) {
			j := s.jobs[id]
			if j == nil || !j.submitted {
				return nil, 0, false
			}
			return &j.spec, j.run, true
		}
		w.Run = func(task unit.TaskID) time.Duration {
			j := s.jobs[task.Job]
			return j.run + time.Duration(task.Index)*j.apart
		}
		s.reportLoop(w, s.rng.IntN(len(s.nodes)))
	}
	for _, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
		h := s.cloud.Machines[id]
		if h.Worker == nil || h.Failed {
			continue
		}
		if s.now.Before(s.hung[id]) {
			h.Worker.Expire(s.now)
		} else {
			h.Worker.Advance(s.now)
		}
	}
	var up []*fake.Worker
	for _, id := range s.fleetOf() {
		if h := s.cloud.Machines[id]; !h.Failed {
			up = append(up, h.Worker)
		}
	}
	fake.Gather(s.now, up, 20*time.Second, 8*time.Second, func(id unit.MachineID) bool { return s.now.Before(s.hung[id]) })
	for id, j := range s.jobs {
		if j.cancelled == 0 || s.now.Sub(j.cancelled) < s.set.Params.Workers.CancelTimeout() {
			continue
		}
		for task, m := range s.on {
			if task.Job == id {
				s.t.Fatalf("ran_cancelled: %v on %s", task, m)
			}
		}
	}
}

// reportLoop sends a worker's reports to a node, and goes on to another when
// it is refused.
func (s *sim) reportLoop(w *fake.Worker, node int) {
	h := s.cloud.Machines[w.ID]
	if h == nil || h.Worker != w || h.Failed {
		return
	}
	if until := s.hung[w.ID]; s.now.Before(until) {
		s.after(until.Sub(s.now)+time.Millisecond, func() { s.reportLoop(w, node) })
		return
	}
	w.Advance(s.now)
	n, sent, session, r := s.nodes[node], s.now, w.Session, w.Report()
	interval := s.set.Params.Workers.HeartbeatInterval()
	next := interval*3/4 + time.Duration(s.rng.Int64N(int64(interval/2)))
	answered := false
	follow := func(node int, d time.Duration) {
		if !answered {
			answered = true
			s.after(d, func() { s.reportLoop(w, node) })
		}
	}
	if s.rng.Float64() < s.late {
		// A copy that was held on its way; nobody waits for its answer.
		s.after(time.Second+time.Duration(s.rng.Int64N(int64(s.lateBy))), func() {
			if n.alive {
				s.step(n, HeartbeatReceived{Heartbeat: r, Ticket: func(HeartbeatReply) {}})
			}
		})
	}
	s.after(4*time.Second, func() { follow((node+1)%len(s.nodes), time.Second) })
	if s.severed(n.zone, w.Zone) {
		s.held = append(s.held, func() {
			if n.alive {
				s.step(n, HeartbeatReceived{Heartbeat: r, Ticket: func(HeartbeatReply) {}})
			}
		})
		return
	}
	if !n.alive || s.cut[node] || s.now.Before(s.mute[w.ID]) || s.lost() {
		return
	}
	s.after(s.latency(), func() {
		if !n.alive {
			return
		}
		var take func(a HeartbeatReply)
		take = func(a HeartbeatReply) {
			if s.relayed(n, r, a, take) {
				return
			}
			s.after(s.latency(), func() {
				if s.cut[node] || s.severed(n.zone, w.Zone) || answered || s.now.Before(s.hung[w.ID]) || s.now.Before(s.deaf[w.ID]) {
					return
				}
				switch {
				case a.Code == 200:
					w.Advance(s.now)
					before := w.Token
					if w.Answered(s.now, sent, session, a.Epoch, a.Commands) && w.Token > before {
						next = 500 * time.Millisecond
					}
					follow(node, next)
				case a.Code == 421 && a.Leader != "" && a.Leader != n.name:
					follow(int(a.Leader[1]-'0'), 200*time.Millisecond)
				default:
					follow((node+1)%len(s.nodes), time.Second)
				}
			})
		}
		s.step(n, HeartbeatReceived{Heartbeat: r, Ticket: take})
	})
}

// relayed hands a report over the mesh to a leader that the workers can't reach,
// as a node does with a worker that has come back from there in vain.
func (s *sim) relayed(n *simNode, r *fleet.Heartbeat, a HeartbeatReply, take func(HeartbeatReply)) bool {
	if a.Code != 421 || a.Final || a.Leader == "" || a.Leader == n.name {
		return false
	}
	l := s.nodes[int(a.Leader[1]-'0')]
	if !s.cut[l.index] || !s.meets(n, l) {
		return false
	}
	s.after(s.latency(), func() {
		if s.meets(n, l) {
			s.step(l, HeartbeatReceived{Heartbeat: r, RelayedBy: n.name, Ticket: func(a HeartbeatReply) {
				if a.Code != 200 {
					a = HeartbeatReply{Code: 503}
				}
				take(a)
			}})
		}
	})
	return true
}

// grow gives the world about so many machines in the zones; nodes stand in the
// first two.
func (s *sim) grow(zones []unit.Zone, machines int) {
	s.set.Params.Zones = zones
	clear(s.cloud.Capacity)
	for _, typ := range s.cloud.Types {
		typ.Zones = zones
		for _, z := range zones {
			for _, spot := range []bool{false, true} {
				s.cloud.Capacity[rental.Offer{Type: typ.Name, Zone: z, Spot: spot}] = machines / (2 * len(zones) * len(s.cloud.Types))
			}
		}
	}
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond)
	}
}

// trouble draws one trouble, which may come on top of others.
func (s *sim) trouble() {
	n := s.nodes[s.rng.IntN(3)]
	if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
		n = l
	}
	length := time.Duration(500<<s.rng.IntN(7)) * time.Millisecond
	switch s.rng.IntN(7) {
	case 0:
		s.zoneCut = s.set.Params.Zones[s.rng.IntN(len(s.set.Params.Zones))]
		s.after(length+10*time.Second, s.heal)
	case 1:
		s.frozen[n.index] = s.now.Add(length)
	case 2:
		for _, o := range s.nodes {
			if o == n || s.rng.IntN(2) == 0 {
				s.crash(o, time.Duration(20+s.rng.IntN(4000))*time.Millisecond)
			}
		}
	case 3:
		s.alone[n.index] = true
		s.after(length, func() { delete(s.alone, n.index) })
	case 4:
		s.state.Down = true
		s.after(length, func() { s.state.Down = false })
	case 5:
		s.lose(func(id unit.MachineID) {
			if s.cloud.Machines[id].Worker != nil {
				s.take(id)
			}
		})
	case 6:
		s.lose(func(id unit.MachineID) { s.hung[id] = s.now.Add(length) })
	}
}

// lose draws a third of the machines.
func (s *sim) lose(how func(unit.MachineID)) {
	for _, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
		if s.rng.IntN(3) == 0 {
			how(id)
		}
	}
}
