package quota

import (
	"maps"
	"slices"

	"badgerbay/internal/ident"
)

// coverage is which tasks of which jobs reservations cover, as far as the leader knows.
type coverage struct {
	reservations map[ident.JobID]Reservation
	caps         map[ident.JobID]int // what holders were told in this term
}

func newCoverage() coverage {
	return coverage{reservations: map[ident.JobID]Reservation{}, caps: map[ident.JobID]int{}}
}

// tasks is how many tasks of a team's job reservations cover.
func (c *coverage) tasks(job ident.JobID, team ident.Team) int {
	if r, ok := c.reservations[job]; ok && r.Team == team {
		return r.Tasks
	}
	return 0
}

// capJob notes what a holder was told of a job: it may free the rest from now on.
func (c *coverage) capJob(job ident.JobID, tasks int) {
	if old, capped := c.caps[job]; capped && old <= tasks {
		return
	}
	r, covered := c.reservations[job]
	if !covered {
		return // nothing that could be freed is known of
	}
	c.caps[job] = tasks
	r.Tasks = min(r.Tasks, tasks)
	c.reservations[job] = r
}

// applyCaps lowers reservations to the caps, and returns their sums by team.
func (c *coverage) applyCaps(reservations []Reservation) map[ident.Team]Quantity {
	totals := map[ident.Team]Quantity{}
	for i := range reservations {
		r := &reservations[i]
		if tasks, capped := c.caps[r.Job]; capped {
			r.Tasks = min(r.Tasks, tasks)
		}
		totals[r.Team] = totals[r.Team].Add(r.TaskDemand.Mul(r.Tasks))
	}
	return totals
}

// updateCoverage works out anew what reservations cover. Those of a holder that is gone,
// or that has reserved more than it was allocated, cover nothing: then its tasks count
// as the leader's own.
func (a *Allocator) updateCoverage() {
	clear(a.coverage.reservations)
	for _, node := range slices.Sorted(maps.Keys(a.reservations)) {
		reserved := a.reservations[node]
		totals := a.coverage.applyCaps(reserved.jobs)
		if a.holderRevisions[node] != reserved.holderRevision {
			continue
		}
		for _, r := range reserved.jobs {
			account := a.teams[r.Team]
			if account == nil {
				continue
			}
			allocation := account.record.allocationOf(node)
			if allocation != nil && allocation.Holder.ModRevision == reserved.holderRevision && totals[r.Team].Within(allocation.Quantity) {
				a.coverage.reservations[r.Job] = r
			}
		}
	}
}
