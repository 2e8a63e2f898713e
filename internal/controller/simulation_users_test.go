package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
)

// taskSeen checks the rules as a task comes to be on a machine.
func (s *simulation) taskSeen(_ clock.Instant, w *fake.Worker, id ident.TaskID, on bool) {
	if !on {
		if s.running.machineOf(id) == w.ID {
			s.running.remove(id)
		}
		if s.cancelAtEndProbability > 0 && s.rng.Float64() < s.cancelAtEndProbability && !s.hasRunningTasks(id.Job) {
			s.schedule(time.Duration(s.rng.IntN(1000))*time.Millisecond, func() { s.cancelJob(id.Job) })
		}
		return
	}
	s.taskStarts++
	j := s.jobs[id.Job]
	j.starts++
	if m := s.running.machineOf(id); m != "" && m != w.ID {
		s.t.Fatalf("ran_twice: %v on %s and %s", id, m, w.ID)
	}
	if j.cancelledAt != 0 && s.now.Sub(j.cancelledAt) > s.settings.Params.Workers.CancelTimeout() {
		s.t.Fatalf("ran_cancelled: %v starts", id)
	}
	if !j.spec.AllowsMachine(w.Type.Name, w.Zone, w.Spot) {
		s.t.Fatalf("wrong_place: %v on %s", id, w.ID)
	}
	if j.startedAt == 0 {
		j.startedAt = s.now
	}
	s.running.put(id, &j.spec, w.ID, w.Zone)
	here := 0
	for _, placed := range s.running.ofJob(id.Job) {
		if placed.zone == w.Zone {
			here++
		} else if j.spec.ZoneAffinity {
			s.t.Fatalf("wrong_place: %v is not with the others", id)
		}
	}
	if j.spec.ZoneSpread && here > j.spec.MaxTasksPerZone() {
		s.t.Fatalf("wrong_place: %d of %v in %s", here, id.Job, w.Zone)
	}
	for _, team := range s.settings.Params.Teams {
		if used := s.running.cpus[team.Name]; team.CPULimit > 0 && used > team.CPULimit {
			s.t.Fatalf("quota: %s uses %v", team.Name, used)
		}
	}
}

// gangExitCounts are how a gang's tasks have left their machines.
type gangExitCounts struct{ saved, peersLost, incomplete int }

// countGangExit counts how a gang's task has left its machine.
func (s *simulation) countGangExit(id ident.TaskID, task *fake.Task) {
	n := s.gangExits[id.Job]
	switch {
	case task.Stored:
		n.saved++
	case task.Cause == fleet.ExitGangPeersLost:
		n.peersLost++
	case task.Cause == fleet.ExitGangIncomplete:
		n.incomplete++
	}
	s.gangExits[id.Job] = n
}

func (s *simulation) hasRunningTasks(id ident.JobID) bool { return len(s.running.ofJob(id)) > 0 }

// maxStartDelay is how long a job may wait, once all faults are over, while a
// machine that fits has room and its team is under its limit.
const maxStartDelay = 90 * time.Second

// watchStartDelays checks each second that no job waits for too long.
func (s *simulation) watchStartDelays() {
	var past []map[ident.Team]float64
	s.scheduleEvery(time.Second, func() {
		past = append(past, s.running.usedCPUs())
		past = past[max(0, len(past)-usageWindowSeconds):]
		l := s.leader()
		if l == nil || l.core.term == nil || !l.core.term.recovery.loaded {
			return
		}
		for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
			j, known := s.jobs[id], l.core.term.jobs.get(id)
			if known == nil || known.Phase.Final() || len(known.Queue) == 0 || j.starts != j.startsSeen || !s.couldStart(l.core.term, known, past) {
				j.startableSince, j.startsSeen = 0, j.starts
				continue
			}
			if j.startableSince == 0 {
				j.startableSince = s.now
			}
			if s.now.Sub(j.startableSince) > maxStartDelay {
				s.t.Errorf("%s has waited for %v though it could start", id, s.now.Sub(j.startableSince))
				j.startableSince = s.now
			}
		}
	})
}

// usageWindowSeconds, in seconds: a team whose tasks come and go at its limit is a little
// below it at most moments, as ends are reported and images fetched.
const usageWindowSeconds = 8

// couldStart tells whether a machine that fits has room for one more task of
// the job, and its team is under its limit.
func (s *simulation) couldStart(t *term, j *jobs.Job, past []map[ident.Team]float64) bool {
	most := t.teams[j.Spec.Team].CPULimit
	for _, used := range past {
		if most > 0 && used[j.Spec.Team]+j.Spec.CPUs > most {
			return false
		}
	}
	here := map[ident.Zone]int{}
	for _, placed := range s.running.ofJob(j.ID) {
		here[placed.zone]++
	}
	for _, h := range s.cloud.Sorted() {
		m := t.fleet.Machine(h.ID)
		if h.Worker == nil || h.Failed || m == nil || m.Deprovisioning || s.now.Sub(m.KnownSince) < maxStartDelay {
			continue
		}
		zone := h.Offer.Zone
		if !j.Spec.AllowsMachine(h.Offer.Type, zone, h.Offer.Spot) || j.Spec.ZoneSpread && here[zone] >= j.Spec.MaxTasksPerZone() ||
			j.Spec.ZoneAffinity && len(here) > 0 && here[zone] == 0 || !h.Worker.FreeResources().Fits(j.Spec.TaskResources()) {
			continue
		}
		return true
	}
	return false
}

// submit stores a job as any node does, and tells the nodes.
func (s *simulation) submit(n int, spec jobs.Spec, run time.Duration) ident.JobID {
	id := ident.JobID(fmt.Sprintf("wk-%06d", n))
	j := &simulatedJob{spec: spec, runTime: run}
	s.jobs[id] = j
	var try func()
	try = func() {
		key := jobs.Key(id)
		_, err := s.store.Commit(kvstore.Txn{Conditions: []kvstore.Condition{{Key: key}},
			Operations: []kvstore.Operation{{SetKey: key, Value: jobs.NewRecord(spec, simulatedClock{s, nil}.Wall().UnixMilli())}}})
		if err != nil {
			s.schedule(time.Second, try)
			return
		}
		j.submitted, j.acceptedAt = true, s.now
		s.admitAtHolder(id, &spec)
	}
	try()
	s.scheduleEvery(2*time.Second, func() {
		for _, node := range s.nodes {
			if node.alive && j.submitted && !j.isOver() && !s.partitioned(node.zone, "") {
				s.step(node, JobChanged{Job: id})
				s.poll(node, id, j)
			}
		}
	})
	return id
}

func (j *simulatedJob) isOver() bool {
	return j.reportedState == api.Done || j.reportedState == api.Cancelled
}

func (s *simulation) poll(n *simulatedNode, id ident.JobID, j *simulatedJob) {
	s.queryOrCancel(n, id, j, false)
}

// queryOrCancel puts a user's question to a node, which answers as intake does: where no
// leader can be asked, by the record if that decides.
func (s *simulation) queryOrCancel(n *simulatedNode, id ident.JobID, j *simulatedJob, cancelJob bool) {
	life := n.incarnation
	s.step(n, JobRequest{Job: id, Cancel: cancelJob, Responder: ResponderFunc[JobReply](func(a JobReply) {
		switch {
		case a.Outcome == api.JobFound && n.steadyTime(s.now).Before(a.ValidUntil):
			s.checkStatus(id, j, a.Status)
		case a.Outcome == api.NoLeader || a.Outcome == api.JobNotFound:
			s.schedule(s.storeLatency(), func() {
				item, err := s.store.Get(jobs.Key(id))
				if !n.alive || n.incarnation != life || s.withoutStore(n) || err != nil || item.ModRevision == 0 {
					return
				}
				r, err := jobs.Decode(item.Value)
				if err != nil {
					s.t.Fatalf("%s: %v", id, err)
				}
				if !cancelJob || r.Phase.Final() {
					s.checkStatus(id, j, api.StatusOfRecord(r))
				}
			})
		}
	})})
}

// checkStatus checks what a user is told against what was said before.
func (s *simulation) checkStatus(id ident.JobID, j *simulatedJob, st api.Status) {
	if j.isOver() && st.State != j.reportedState {
		s.t.Fatalf("went_back: %s was %s and is %s", id, j.reportedState, st.State)
	}
	if st.State == api.Done && st.DoneTasks != j.spec.Tasks {
		s.t.Fatalf("not_done: %s has %d of %d", id, st.DoneTasks, j.spec.Tasks)
	}
	j.lastAnswerAt = s.now
	if st.State == api.Cancelled && j.cancelledAt == 0 {
		j.cancelledAt = s.now
	}
	j.reportedState = st.State
}

// cancelJob asks until it is told.
func (s *simulation) cancelJob(id ident.JobID) {
	j := s.jobs[id]
	if j.isOver() {
		return
	}
	for _, n := range s.nodes {
		if n.alive && !s.partitioned(n.zone, "") {
			s.queryOrCancel(n, id, j, true)
		}
	}
	s.schedule(2*time.Second, func() { s.cancelJob(id) })
}

var (
	arraySpec = jobs.Spec{Class: "arr", Team: "red", Priority: jobs.PriorityStandard, Tasks: 6, CPUs: 2, MemoryGB: 4,
		Image: "img", ImageGB: 1, EstimatedRunSeconds: 10, Spot: true}
	serviceSpec = jobs.Spec{Class: "svc", Team: "blue", Priority: jobs.PriorityProd, Service: true, Tasks: 3, CPUs: 2,
		MemoryGB: 2, Image: "svc", ImageGB: 1, ZoneSpread: true}
	oneZoneSpec = jobs.Spec{Class: "arr", Team: "blue", Priority: jobs.PriorityBestEffort, Tasks: 4, CPUs: 2, MemoryGB: 4,
		Image: "img2", ImageGB: 1, EstimatedRunSeconds: 10, ZoneAffinity: true, Spot: true}
)

func (s *simulation) submitMixedLoad() {
	n := 0
	for range 6 {
		s.submit(n, arraySpec, 12*time.Second)
		s.submit(n+1, serviceSpec, 0)
		s.submit(n+2, oneZoneSpec, 8*time.Second)
		n += 3
		s.runFor(8 * time.Second)
	}
}

// healAndFinish lets all faults end and checks that every job comes to its end.
func (s *simulation) healAndFinish() {
	s.lateHeartbeatProbability = 0
	s.lossProbability, s.duplicateProbability, s.store.Down, s.cloud.Down = 0, 0, false, false
	s.unreachableByWorkers, s.isolated, s.pausedUntil = map[int]bool{}, map[int]bool{}, map[int]clock.Instant{}
	s.refusedByStore, s.peersPartitioned, s.lateCommitProbability, s.maxStoreLatency, s.loadDelay = map[int]bool{}, false, 0, 0, 0
	s.silentUntil, s.unreachableUntil = map[ident.MachineID]clock.Instant{}, map[ident.MachineID]clock.Instant{}
	s.healPartition()
	s.cancelAtEndProbability, s.maxExtraLatency, s.faultsActive = 0, 0, false
	s.watchStartDelays()
	s.checkAllJobsAnswered()
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if s.jobs[id].spec.Service {
			s.cancelJob(id)
		}
	}
	s.runFor(200 * time.Second)
	for id, j := range s.jobs {
		if !j.isOver() {
			s.t.Errorf("%s is still %q", id, j.reportedState)
		}
	}
	if s.taskStarts == 0 {
		s.t.Error("nothing_ran")
	}
	s.checkServedShares()
	s.t.Logf("%d starts, %d machines left, %d changes written, epoch %d", s.taskStarts, len(s.cloud.Machines), s.store.OperationCount, s.currentEpoch())
}

// checkAllJobsAnswered lets 75 s pass and checks that every accepted job was answered in them.
func (s *simulation) checkAllJobsAnswered() {
	begun := s.now
	s.runFor(75 * time.Second)
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.isOver() || !j.submitted {
			continue
		}
		if j.lastAnswerAt < begun {
			s.t.Errorf("forgotten: no question about %s was answered for 75 s", id)
		}
	}
}

// checkServedShares checks that at least half of each class and of each team has begun.
func (s *simulation) checkServedShares() {
	began, all := map[string]int{}, map[string]int{}
	for _, j := range s.jobs {
		for _, group := range []string{"class " + string(j.spec.Class), "team " + string(j.spec.Team)} {
			all[group]++
			if j.startedAt != 0 {
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

// submitRandomJobs submits replicas, large arrays and many small ones over a minute.
func (s *simulation) submitRandomJobs(more int) {
	replicas, large, small := serviceSpec, arraySpec, oneZoneSpec
	replicas.Tasks, large.Tasks, large.CPUs = 4, 400, 4
	for i := range 60 + more {
		s.schedule(time.Duration(i)*time.Second, func() {
			s.submit(10*i, replicas, 0)
			s.submit(10*i+1, small, 8*time.Second)
			if i%4 == 0 {
				s.submit(10*i+2, large, time.Duration(20+s.rng.IntN(40))*time.Second)
			}
		})
		if i%7 == 3 {
			s.schedule(time.Duration(i+10+s.rng.IntN(60))*time.Second, func() {
				s.cancelJob(ident.JobID(fmt.Sprintf("wk-%06d", 10*i+s.rng.IntN(2))))
			})
		}
	}
}
