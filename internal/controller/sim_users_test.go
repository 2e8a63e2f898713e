package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

// seen checks the rules as a task comes to be on a machine.
func (s *sim) seen(_ unit.Instant, w *fake.Worker, id unit.TaskID, on bool) {
	if !on {
		if s.on[id] == w.ID {
			delete(s.on, id)
		}
		if s.atEnd > 0 && s.rng.Float64() < s.atEnd && !s.anyOn(id.Job) {
			s.after(time.Duration(s.rng.IntN(1000))*time.Millisecond, func() { s.cancelJob(id.Job) })
		}
		return
	}
	s.starts++
	j := s.jobs[id.Job]
	j.starts++
	if m, twice := s.on[id]; twice && m != w.ID {
		s.t.Fatalf("ran_twice: %v on %s and %s", id, m, w.ID)
	}
	if j.cancelled != 0 && s.now.Sub(j.cancelled) > s.set.Params.Workers.CancelTimeout() {
		s.t.Fatalf("ran_cancelled: %v starts", id)
	}
	if !j.spec.AllowsMachine(w.Type.Name, w.Zone, w.Spot) {
		s.t.Fatalf("wrong_place: %v on %s", id, w.ID)
	}
	if j.began == 0 {
		j.began = s.now
	}
	s.on[id], s.zones[id] = w.ID, w.Zone
	used, here := s.usage(), 0
	for task := range s.on {
		if task.Job != id.Job {
			continue
		}
		if s.zones[task] == w.Zone {
			here++
		} else if j.spec.ZoneAffinity {
			s.t.Fatalf("wrong_place: %v is not with the others", id)
		}
	}
	if j.spec.ZoneSpread && here > j.spec.MaxTasksPerZone() {
		s.t.Fatalf("wrong_place: %d of %v in %s", here, id.Job, w.Zone)
	}
	for _, team := range s.set.Params.Teams {
		if team.CPULimit > 0 && used[team.Name] > team.CPULimit {
			s.t.Fatalf("quota: %s uses %v", team.Name, used[team.Name])
		}
	}
}

// exitCounts are how a gang's tasks have left their machines.
type exitCounts struct{ saved, peers, incomplete int }

// exited counts how a gang's task has left its machine.
func (s *sim) exited(id unit.TaskID, task *fake.Task) {
	n := s.exits[id.Job]
	switch {
	case task.Stored:
		n.saved++
	case task.Cause == fleet.ExitGangPeersLost:
		n.peers++
	case task.Cause == fleet.ExitGangIncomplete:
		n.incomplete++
	}
	s.exits[id.Job] = n
}

func (s *sim) anyOn(id unit.JobID) bool {
	for task := range s.on {
		if task.Job == id {
			return true
		}
	}
	return false
}

// mostWait is how long a job may wait, once all troubles are over, while a
// machine that fits has room and its team is under its limit.
const mostWait = 90 * time.Second

// watchWaits checks each second that no job waits for too long.
func (s *sim) watchWaits() {
	var past []map[unit.Team]float64
	s.every(time.Second, func() {
		past = append(past, s.usage())
		past = past[max(0, len(past)-lately):]
		l := s.leader()
		if l == nil || l.core.term == nil || !l.core.term.loaded {
			return
		}
		for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
			j, known := s.jobs[id], l.core.term.jobs[id]
			if known == nil || known.Phase.Final() || len(known.Queue) == 0 || j.starts != j.seenStart || !s.couldStart(l.core.term, known, past) {
				j.waits, j.seenStart = 0, j.starts
				continue
			}
			if j.waits == 0 {
				j.waits = s.now
			}
			if s.now.Sub(j.waits) > mostWait {
				s.t.Errorf("%s has waited for %v though it could start", id, s.now.Sub(j.waits))
				j.waits = s.now
			}
		}
	})
}

// lately, in seconds: a team whose tasks come and go at its limit is a little
// below it at most moments, as ends are reported and images fetched.
const lately = 8

// usage is what the teams' tasks take of the machines.
func (s *sim) usage() map[unit.Team]float64 {
	used := map[unit.Team]float64{}
	for task := range s.on {
		spec := s.jobs[task.Job].spec
		used[spec.Team] += spec.CPUs
	}
	return used
}

// couldStart tells whether a machine that fits has room for one more task of
// the job, and its team is under its limit.
func (s *sim) couldStart(t *term, j *checkpoint.Job, past []map[unit.Team]float64) bool {
	most := t.teams[j.Spec.Team].CPULimit
	for _, used := range past {
		if most > 0 && used[j.Spec.Team]+j.Spec.CPUs > most {
			return false
		}
	}
	here := map[unit.Zone]int{}
	for task := range s.on {
		if task.Job == j.ID {
			here[s.zones[task]]++
		}
	}
	for id, h := range s.cloud.Machines {
		m := t.fleet.Machine(id)
		if h.Worker == nil || h.Failed || m == nil || m.Deprovisioning || s.now.Sub(m.KnownSince) < mostWait {
			continue
		}
		zone := h.Offer.Zone
		if !j.Spec.AllowsMachine(h.Offer.Type, zone, h.Offer.Spot) || j.Spec.ZoneSpread && here[zone] >= j.Spec.MaxTasksPerZone() ||
			j.Spec.ZoneAffinity && len(here) > 0 && here[zone] == 0 || !h.Worker.Free().Fits(j.Spec.TaskResources()) {
			continue
		}
		return true
	}
	return false
}

// submit stores a job as any node does, and tells the nodes.
func (s *sim) submit(n int, spec checkpoint.Spec, run time.Duration) unit.JobID {
	id := unit.JobID(fmt.Sprintf("wk-%06d", n))
	j := &simJob{spec: spec, run: run}
	s.jobs[id] = j
	var try func()
	try = func() {
		key := checkpoint.Key(id)
		_, err := s.state.Commit(statestore.Txn{Conditions: []statestore.Condition{{Key: key}},
			Operations: []statestore.Operation{{SetKey: key, Value: checkpoint.NewRecord(spec, simClock{s, nil}.Wall().UnixMilli())}}})
		if err != nil {
			s.after(time.Second, try)
			return
		}
		j.submitted, j.accepted = true, s.now
		s.admit(id, &spec)
	}
	try()
	s.every(2*time.Second, func() {
		for _, node := range s.nodes {
			if node.alive && j.submitted && !j.over() && !s.severed(node.zone, "") {
				s.step(node, JobChanged{Job: id})
				s.poll(node, id, j)
			}
		}
	})
	return id
}

func (j *simJob) over() bool { return j.told == userapi.Done || j.told == userapi.Cancelled }

func (s *sim) poll(n *simNode, id unit.JobID, j *simJob) { s.ask(n, id, j, false) }

// ask puts a user's question to a node, which answers as intake does: where no
// leader can be asked, by the record if that decides.
func (s *sim) ask(n *simNode, id unit.JobID, j *simJob, cancelJob bool) {
	life := n.life
	s.step(n, JobRequest{Job: id, Cancel: cancelJob, Ticket: func(a JobReply) {
		switch {
		case a.Outcome == userapi.JobFound && n.clock(s.now).Before(a.ValidUntil):
			s.hear(id, j, a.Status)
		case a.Outcome == userapi.NoLeader || a.Outcome == userapi.JobNotFound:
			s.after(s.stateLatency(), func() {
				item, err := s.state.Get(checkpoint.Key(id))
				if !n.alive || n.life != life || s.stateless(n) || err != nil || item.ModRevision == 0 {
					return
				}
				r, err := checkpoint.Decode(item.Value)
				if err != nil {
					s.t.Fatalf("%s: %v", id, err)
				}
				if !cancelJob || r.Phase.Final() {
					s.hear(id, j, userapi.StatusOfRecord(r))
				}
			})
		}
	}})
}

// hear checks what a user is told against what was said before.
func (s *sim) hear(id unit.JobID, j *simJob, st userapi.Status) {
	if j.over() && st.State != j.told {
		s.t.Fatalf("went_back: %s was %s and is %s", id, j.told, st.State)
	}
	if st.State == userapi.Done && st.DoneTasks != j.spec.Tasks {
		s.t.Fatalf("not_done: %s has %d of %d", id, st.DoneTasks, j.spec.Tasks)
	}
	j.heard = s.now
	if st.State == userapi.Cancelled && j.cancelled == 0 {
		j.cancelled = s.now
	}
	j.told = st.State
}

// cancelJob asks until it is told.
func (s *sim) cancelJob(id unit.JobID) {
	j := s.jobs[id]
	if j.over() {
		return
	}
	for _, n := range s.nodes {
		if n.alive && !s.severed(n.zone, "") {
			s.ask(n, id, j, true)
		}
	}
	s.after(2*time.Second, func() { s.cancelJob(id) })
}

var (
	batch = checkpoint.Spec{Class: "arr", Team: "red", Priority: checkpoint.PriorityStandard, Tasks: 6, CPUs: 2, MemoryGB: 4,
		Image: "img", ImageGB: 1, EstimatedRunSeconds: 10, Spot: true}
	spread = checkpoint.Spec{Class: "svc", Team: "blue", Priority: checkpoint.PriorityProd, Service: true, Tasks: 3, CPUs: 2,
		MemoryGB: 2, Image: "svc", ImageGB: 1, ZoneSpread: true}
	together = checkpoint.Spec{Class: "arr", Team: "blue", Priority: checkpoint.PriorityBestEffort, Tasks: 4, CPUs: 2, MemoryGB: 4,
		Image: "img2", ImageGB: 1, EstimatedRunSeconds: 10, ZoneAffinity: true, Spot: true}
)

func (s *sim) load() {
	n := 0
	for range 6 {
		s.submit(n, batch, 12*time.Second)
		s.submit(n+1, spread, 0)
		s.submit(n+2, together, 8*time.Second)
		n += 3
		s.run(8 * time.Second)
	}
}

// finish lets all faults end and checks that every job comes to its end.
func (s *sim) finish() {
	s.late = 0
	s.loss, s.dup, s.state.Down, s.cloud.Down = 0, 0, false, false
	s.cut, s.alone, s.frozen = map[int]bool{}, map[int]bool{}, map[int]unit.Instant{}
	s.refused, s.meshCut, s.lateWrites, s.slowState, s.slowLoads = map[int]bool{}, false, 0, 0, 0
	s.mute, s.deaf = map[unit.MachineID]unit.Instant{}, map[unit.MachineID]unit.Instant{}
	s.heal()
	s.atEnd, s.linkDelay, s.troubled = 0, 0, false
	s.watchWaits()
	s.known()
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if s.jobs[id].spec.Service {
			s.cancelJob(id)
		}
	}
	s.run(200 * time.Second)
	for id, j := range s.jobs {
		if !j.over() {
			s.t.Errorf("%s is still %q", id, j.told)
		}
	}
	if s.starts == 0 {
		s.t.Error("nothing_ran")
	}
	s.served()
	s.t.Logf("%d starts, %d machines left, %d changes written, epoch %d", s.starts, len(s.cloud.Machines), s.state.Writes, s.epochs())
}

// known lets 75 s pass and checks that every accepted job was answered in them.
func (s *sim) known() {
	begun := s.now
	s.run(75 * time.Second)
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.over() || !j.submitted {
			continue
		}
		if j.heard < begun {
			s.t.Errorf("forgotten: no question about %s was answered for 75 s", id)
		}
	}
}

// served checks that at least half of each class and of each team has begun.
func (s *sim) served() {
	began, all := map[string]int{}, map[string]int{}
	for _, j := range s.jobs {
		for _, group := range []string{"class " + string(j.spec.Class), "team " + string(j.spec.Team)} {
			all[group]++
			if j.began != 0 {
				began[group]++
			}
		}
	}
	for group, n := range all {
		if 2*began[group] < n {
			s.t.Errorf("%d of %d of %s were served", began[group], n, group)
		}
	}
}

// drawJobs submits replicas, large arrays and many small ones over a minute.
func (s *sim) drawJobs(more int) {
	replicas, large, small := spread, batch, together
	replicas.Tasks, large.Tasks, large.CPUs = 4, 400, 4
	for i := range 60 + more {
		s.after(time.Duration(i)*time.Second, func() {
			s.submit(10*i, replicas, 0)
			s.submit(10*i+1, small, 8*time.Second)
			if i%4 == 0 {
				s.submit(10*i+2, large, time.Duration(20+s.rng.IntN(40))*time.Second)
			}
		})
		if i%7 == 3 {
			s.after(time.Duration(i+10+s.rng.IntN(60))*time.Second, func() {
				s.cancelJob(unit.JobID(fmt.Sprintf("wk-%06d", 10*i+s.rng.IntN(2))))
			})
		}
	}
}
