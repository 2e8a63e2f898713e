package scheduler

import (
	"maps"
	"math"
	"slices"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// amountEpsilon is the tolerance for rounding errors in sums of decimal amounts.
const amountEpsilon = 1e-6

// quotaTracker tracks how much of their guarantees and limits the teams use, including the
// plan's own decisions.
type quotaTracker struct {
	teams         map[ident.Team]config.Team
	hasGuarantees bool // at least one team has a guarantee

	// usage counts all placements that may exist. An evicted placement is included until its
	// exit is observed, so that no other task uses its share of the team's limit before.
	usage map[ident.Team]jobs.Resources
	// evictedUsage is the part of usage that belongs to placements which are requested to stop.
	evictedUsage map[ident.Team]jobs.Resources

	reserved           map[ident.Team]jobs.Resources // see Snapshot.Reserved
	reservedTasksOf    func(*jobs.Job) int           // see Snapshot.ReservedTasks
	unusedReserved     map[*jobs.Job]int             // reserved tasks that are not placed
	reservationChecked map[*jobs.Job]bool
	reservationBlocked map[ident.Team]jobs.Resources // see Plan.ReservationBlocked
}

func newQuotaTracker(s *Snapshot) *quotaTracker {
	q := &quotaTracker{
		teams:              s.Teams,
		usage:              map[ident.Team]jobs.Resources{},
		evictedUsage:       map[ident.Team]jobs.Resources{},
		reserved:           maps.Clone(s.Reserved),
		reservedTasksOf:    s.ReservedTasks,
		unusedReserved:     map[*jobs.Job]int{},
		reservationChecked: map[*jobs.Job]bool{},
		reservationBlocked: map[ident.Team]jobs.Resources{},
	}
	for _, team := range s.Teams {
		q.hasGuarantees = q.hasGuarantees || team.CPUGuarantee > 0
	}
	for _, job := range s.PlacedJobs {
		q.addUsage(job, len(job.Placements))
		for _, placement := range job.Placements {
			if placement.Stopping {
				q.addEvictedUsage(placement)
			}
		}
	}
	return q
}

// addUsage adds n tasks of the job to the usage of its team.
func (q *quotaTracker) addUsage(job *jobs.Job, n int) {
	team := job.Spec.Team
	q.usage[team] = q.usage[team].Add(job.Spec.TaskResources().Multiply(n))
}

// addEvictedUsage records that a placement is requested to stop.
func (q *quotaTracker) addEvictedUsage(placement *jobs.Placement) {
	spec := &placement.Job.Spec
	q.evictedUsage[spec.Team] = q.evictedUsage[spec.Team].Add(spec.TaskResources())
}

// usageAfterEvictions returns the usage of the team after all placements that are requested to
// stop have ended.
func (q *quotaTracker) usageAfterEvictions(team ident.Team) jobs.Resources {
	return q.usage[team].Sub(q.evictedUsage[team])
}

// tasksWithinGuarantee returns how many more tasks of the job its team's guarantee covers.
func (q *quotaTracker) tasksWithinGuarantee(job *jobs.Job) int {
	team, used := q.teams[job.Spec.Team], q.usage[job.Spec.Team]
	n := int((team.CPUGuarantee - used.CPUs + amountEpsilon) / job.Spec.CPUs)
	if job.Spec.GPUs > 0 {
		n = min(n, int((team.GPUGuarantee-used.GPUs+amountEpsilon)/job.Spec.GPUs))
	}
	return max(0, n)
}

// withinGuarantee reports whether the team of the job remains within its guarantee with one
// more task of the job.
func (q *quotaTracker) withinGuarantee(job *jobs.Job) bool {
	team := q.teams[job.Spec.Team]
	after := q.usage[job.Spec.Team].Add(job.Spec.TaskResources())
	return team.CPUGuarantee > 0 && after.CPUs <= team.CPUGuarantee+amountEpsilon &&
		(after.GPUs == 0 || after.GPUs <= team.GPUGuarantee+amountEpsilon)
}

// keepsFullGuarantee reports whether the team of a placement still uses at least its CPU
// guarantee after n tasks like this one have ended.
func (q *quotaTracker) keepsFullGuarantee(placement *jobs.Placement, n int) bool {
	spec := &placement.Job.Spec
	left := q.usageAfterEvictions(spec.Team).Sub(spec.TaskResources().Multiply(n))
	return left.CPUs >= q.teams[spec.Team].CPUGuarantee-amountEpsilon
}

// mayReclaim reports whether work may be evicted for the job regardless of the job's priority:
// its team is within its guarantee, and another team is beyond its own.
func (q *quotaTracker) mayReclaim(job *jobs.Job) bool {
	if !q.hasGuarantees || !q.withinGuarantee(job) {
		return false
	}
	for name, team := range q.teams {
		if name != job.Spec.Team && q.usageAfterEvictions(name).CPUs > team.CPUGuarantee {
			return true
		}
	}
	return false
}

// guaranteedCPUs returns how many CPUs the machines should have for the active teams: for each
// team its guarantee, multiplied by share, or its usage if that is higher. The teams are added
// in a fixed order, so that the sum is rounded in the same way in each plan.
func (q *quotaTracker) guaranteedCPUs(share float64, active func(ident.Team) bool) float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(q.teams)) {
		if team := q.teams[name]; team.CPUGuarantee > 0 && active(name) {
			sum += max(team.CPUGuarantee*share, q.usage[name].CPUs)
		}
	}
	return sum
}

// tasksWithinQuota returns how many more tasks of the job its team's limit allows: the tasks
// that reservations cover, and those that fit into the part of the limit that is neither used
// nor reserved for others.
func (q *quotaTracker) tasksWithinQuota(job *jobs.Job) int {
	used := q.usage[job.Spec.Team]
	n := q.tasksWithinLimit(job, used)
	if reserved, ok := q.reserved[job.Spec.Team]; ok {
		n = min(n, q.unusedReservedTasks(job)+q.tasksWithinLimit(job, used.Add(reserved)))
	}
	return n
}

// tasksWithinLimit returns how many more tasks of the job its team's limit allows in addition
// to the used resources.
func (q *quotaTracker) tasksWithinLimit(job *jobs.Job, used jobs.Resources) int {
	team := q.teams[job.Spec.Team]
	n := math.MaxInt32
	if team.CPULimit > 0 && job.Spec.CPUs > 0 {
		n = min(n, int((team.CPULimit-used.CPUs+amountEpsilon)/job.Spec.CPUs))
	}
	if team.GPULimit > 0 && job.Spec.GPUs > 0 {
		n = min(n, int((team.GPULimit-used.GPUs+amountEpsilon)/job.Spec.GPUs))
	}
	return max(0, n)
}

// unusedReservedTasks returns how many more tasks of the job reservations cover.
func (q *quotaTracker) unusedReservedTasks(job *jobs.Job) int {
	n, known := q.unusedReserved[job]
	if !known && q.reservedTasksOf != nil {
		n = max(0, q.reservedTasksOf(job)-len(job.Placements))
		q.unusedReserved[job] = n
	}
	return n
}

// consumeReservation deducts n tasks of the job from the reserved resources, as far as reservations
// cover them, because they now count as usage.
func (q *quotaTracker) consumeReservation(job *jobs.Job, n int) {
	reserved, ok := q.reserved[job.Spec.Team]
	if !ok {
		return
	}
	n = min(n, q.unusedReservedTasks(job))
	q.unusedReserved[job] -= n
	q.reserved[job.Spec.Team] = reserved.Sub(job.Spec.TaskResources().Multiply(n)).Max(jobs.Resources{})
}

// recordReservationBlocked records, once for each job, the resources of those of its n tasks that
// fit the team's limit but are blocked by reservations.
func (q *quotaTracker) recordReservationBlocked(job *jobs.Job, n int) {
	team := job.Spec.Team
	if _, ok := q.reserved[team]; !ok || q.reservationChecked[job] {
		return
	}
	q.reservationChecked[job] = true
	if n = min(n, q.tasksWithinLimit(job, q.usage[team])) - q.tasksWithinQuota(job); n > 0 {
		q.reservationBlocked[team] = q.reservationBlocked[team].Add(job.Spec.TaskResources().Multiply(n))
	}
}
