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

// handleTaskChange records that a task has started on a machine, or has left it if on is false. At each start it checks
// the invariants: a task runs once, not after the cancel timeout, only where its spec allows, and within its team's
// limit.
func (s *simulation) handleTaskChange(_ clock.Instant, w *fake.Worker, id ident.TaskID, on bool) {
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
		s.t.Fatalf("task %v runs on %s and %s at the same time", id, m, w.ID)
	}
	if j.cancelledAt != 0 && s.now.Sub(j.cancelledAt) > s.settings.Params.Workers.CancelTimeout() {
		s.t.Fatalf("task %v of a cancelled job starts after the cancel timeout", id)
	}
	if !j.spec.AllowsMachine(w.Type.Name, w.Zone, w.Spot) {
		s.t.Fatalf("task %v is on machine %s, which its spec does not allow", id, w.ID)
	}
	if j.startedAt == 0 {
		j.startedAt = s.now
	}
	s.running.put(id, &j.spec, w.ID, w.Zone)
	inZone := 0
	for _, placed := range s.running.ofJob(id.Job) {
		if placed.zone == w.Zone {
			inZone++
		} else if j.spec.ZoneAffinity {
			s.t.Fatalf("task %v of a job with zone affinity is not in the zone of the others", id)
		}
	}
	if j.spec.ZoneSpread && inZone > j.spec.MaxTasksPerZone() {
		s.t.Fatalf("zone spread violated: %d tasks of %v in zone %s", inZone, id.Job, w.Zone)
	}
	for _, team := range s.settings.Params.Teams {
		if used := s.running.cpus[team.Name]; team.CPULimit > 0 && used > team.CPULimit {
			s.t.Fatalf("team %s uses %v CPUs, more than its limit", team.Name, used)
		}
	}
}

// gangExitCounts counts the tasks of a gang that have left their machines, by reason: they were stopped and had stored
// a checkpoint, they lost their peers, or the gang did not become complete.
type gangExitCounts struct{ saved, peersLost, incomplete int }

// countGangExit counts a gang's task that has left its machine, by reason.
func (s *simulation) countGangExit(id ident.TaskID, task *fake.Task) {
	n := s.gangExits[id.Job]
	switch {
	case task.CheckpointStored:
		n.saved++
	case task.Cause == fleet.ExitGangPeersLost:
		n.peersLost++
	case task.Cause == fleet.ExitGangIncomplete:
		n.incomplete++
	}
	s.gangExits[id.Job] = n
}

func (s *simulation) hasRunningTasks(id ident.JobID) bool { return len(s.running.ofJob(id)) > 0 }

// maxStartDelay is how long a job may wait, once all faults are over, while a suitable machine has enough free
// resources and its team is below its limit.
const maxStartDelay = 90 * time.Second

// watchStartDelays checks each second that no job waits longer than maxStartDelay although it could start.
func (s *simulation) watchStartDelays() {
	var recentUsage []map[ident.Team]float64
	s.scheduleEvery(time.Second, func() {
		recentUsage = append(recentUsage, s.running.usedCPUs())
		recentUsage = recentUsage[max(0, len(recentUsage)-usageWindowSeconds):]
		l := s.leader()
		if l == nil || l.core.term == nil || !l.core.term.recovery.loaded {
			return
		}
		for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
			j, known := s.jobs[id], l.core.term.jobs.get(id)
			if known == nil || known.Phase.Final() || len(known.Queue) == 0 || j.starts != j.startsAtLastCheck || !s.couldStart(l.core.term, known, recentUsage) {
				j.startableSince, j.startsAtLastCheck = 0, j.starts
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

// usageWindowSeconds is how long a team must have been below its limit for its jobs to count as startable. A team that
// is at its limit and whose tasks end and start is slightly below it most of the time, while ends are being reported
// and images fetched.
const usageWindowSeconds = 8

// couldStart reports whether a suitable machine has room for one more task of the job and, in all recent samples of the
// usage, the team's limit allowed one more.
func (s *simulation) couldStart(t *term, j *jobs.Job, recentUsage []map[ident.Team]float64) bool {
	limit := t.teams[j.Spec.Team].CPULimit
	for _, used := range recentUsage {
		if limit > 0 && used[j.Spec.Team]+j.Spec.CPUs > limit {
			return false
		}
	}
	inZone := map[ident.Zone]int{}
	for _, placed := range s.running.ofJob(j.ID) {
		inZone[placed.zone]++
	}
	for _, h := range s.cloud.SortedMachines() {
		m := t.fleet.Machine(h.ID)
		if h.Worker == nil || h.Failed || m == nil || m.Deprovisioning || s.now.Sub(m.KnownSince) < maxStartDelay {
			continue
		}
		zone := h.Offer.Zone
		if !j.Spec.AllowsMachine(h.Offer.Type, zone, h.Offer.Spot) || j.Spec.ZoneSpread && inZone[zone] >= j.Spec.MaxTasksPerZone() ||
			j.Spec.ZoneAffinity && len(inZone) > 0 && inZone[zone] == 0 || !h.Worker.FreeResources().Fits(j.Spec.TaskResources()) {
			continue
		}
		return true
	}
	return false
}

// submit stores a job in the way that a node does, and then notifies and polls the nodes until the job is over.
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
			if node.alive && j.submitted && !j.isFinished() && !s.partitioned(node.zone, "") {
				s.step(node, JobChanged{Job: id})
				s.poll(node, id, j)
			}
		}
	})
	return id
}

func (j *simulatedJob) isFinished() bool {
	return j.reportedState == api.Done || j.reportedState == api.Cancelled
}

func (s *simulation) poll(n *simulatedNode, id ident.JobID, j *simulatedJob) {
	s.queryOrCancel(n, id, j, false)
}

// queryOrCancel sends a user's status query or cancellation to a node, which answers in the way of the API: if no
// leader is available or the leader does not know the job, it answers from the job's record. A cancellation is answered
// from the record only if that is final.
func (s *simulation) queryOrCancel(n *simulatedNode, id ident.JobID, j *simulatedJob, cancelJob bool) {
	incarnation := n.incarnation
	s.step(n, JobRequest{Job: id, Cancel: cancelJob, Responder: ResponderFunc[JobReply](func(a JobReply) {
		switch {
		case a.Outcome == api.JobFound && n.steadyTime(s.now).Before(a.ValidUntil):
			s.checkStatus(id, j, a.Status)
		case a.Outcome == api.NoLeader || a.Outcome == api.JobNotFound:
			s.schedule(s.storeLatency(), func() {
				item, err := s.store.Get(jobs.Key(id))
				if !n.alive || n.incarnation != incarnation || s.storeUnreachable(n) || err != nil || item.ModRevision == 0 {
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

// checkStatus checks a status that a user receives: a job that was reported as over keeps its state, and a job that is
// done has run all of its tasks.
func (s *simulation) checkStatus(id ident.JobID, j *simulatedJob, st api.Status) {
	if j.isFinished() && st.State != j.reportedState {
		s.t.Fatalf("status of %s changed from the final state %s to %s", id, j.reportedState, st.State)
	}
	if st.State == api.Done && st.DoneTasks != j.spec.Tasks {
		s.t.Fatalf("%s is reported as done with %d of %d tasks", id, st.DoneTasks, j.spec.Tasks)
	}
	j.lastStatusAt = s.now
	if st.State == api.Cancelled && j.cancelledAt == 0 {
		j.cancelledAt = s.now
	}
	j.reportedState = st.State
}

// cancelJob sends the cancellation to all nodes every 2 s until the user receives a final state of the job.
func (s *simulation) cancelJob(id ident.JobID) {
	j := s.jobs[id]
	if j.isFinished() {
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

// healAndFinish ends all faults, cancels the services and checks that every job is answered, starts without undue delay
// and is over in the end.
func (s *simulation) healAndFinish() {
	s.lateHeartbeatProbability = 0
	s.lossProbability, s.duplicateProbability, s.store.Down, s.cloud.Down = 0, 0, false, false
	s.unreachableByWorkers, s.isolated, s.pausedUntil = map[int]bool{}, map[int]bool{}, map[int]clock.Instant{}
	s.refusedByStore, s.peersPartitioned, s.lateCommitProbability, s.maxStoreLatency, s.recordsReadDelay = map[int]bool{}, false, 0, 0, 0
	s.heartbeatsLostUntil, s.unreachableUntil = map[ident.MachineID]clock.Instant{}, map[ident.MachineID]clock.Instant{}
	s.healPartition()
	s.endTaskFailures()
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
		if !j.isFinished() {
			s.t.Errorf("%s is still %q", id, j.reportedState)
		}
	}
	if s.taskStarts == 0 {
		s.t.Error("no task has started")
	}
	s.checkStartedShares()
	s.t.Logf("%d task starts, %d machines left, %d operations written, epoch %d", s.taskStarts, len(s.cloud.Machines), s.store.OperationCount, s.currentEpoch())
}

// checkAllJobsAnswered advances time by 75 s and checks that the user of every accepted job that is not over received
// its status in that time.
func (s *simulation) checkAllJobsAnswered() {
	start := s.now
	s.runFor(75 * time.Second)
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.isFinished() || !j.submitted {
			continue
		}
		if j.lastStatusAt < start {
			s.t.Errorf("no status query for %s was answered for 75 s", id)
		}
	}
}

// checkStartedShares checks that at least half of the jobs of each class and of each team have started.
func (s *simulation) checkStartedShares() {
	started, total := map[string]int{}, map[string]int{}
	for _, j := range s.jobs {
		for _, group := range []string{"class " + string(j.spec.Class), "team " + string(j.spec.Team)} {
			total[group]++
			if j.startedAt != 0 {
				started[group]++
			}
		}
	}
	for group, n := range total {
		if 2*started[group] < n {
			s.t.Errorf("%d of %d jobs of %s have started, want at least half", started[group], n, group)
		}
	}
}

// submitRandomJobs submits a service and a small array each second and a large array every 4 s, for 60 s plus the given
// number of seconds, and cancels some of the services and small arrays.
func (s *simulation) submitRandomJobs(extraSeconds int) {
	replicas, large, small := serviceSpec, arraySpec, oneZoneSpec
	replicas.Tasks, large.Tasks, large.CPUs = 4, 400, 4
	for i := range 60 + extraSeconds {
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
