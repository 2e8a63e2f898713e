package quota

import (
	"maps"
	"slices"

	"badgerbay/internal/ident"
)

// coverage tracks which tasks of which jobs are covered by reservations, as far as the leader knows.
type coverage struct {
	reservations map[ident.JobID]Reservation
	caps         map[ident.JobID]int // lowest cap sent to holders in this term
}

func newCoverage() coverage {
	return coverage{reservations: map[ident.JobID]Reservation{}, caps: map[ident.JobID]int{}}
}

// tasks returns how many tasks of a team's job are covered by reservations.
func (c *coverage) tasks(job ident.JobID, team ident.Team) int {
	if r, ok := c.reservations[job]; ok && r.Team == team {
		return r.Tasks
	}
	return 0
}

// capJob lowers the coverage of a job to the cap that is sent to its holder: from then on the holder may free the
// tasks beyond the cap.
func (c *coverage) capJob(job ident.JobID, tasks int) {
	if old, capped := c.caps[job]; capped && old <= tasks {
		return
	}
	r, covered := c.reservations[job]
	if !covered {
		return // the leader knows of no reservation that could be freed
	}
	c.caps[job] = tasks
	r.Tasks = min(r.Tasks, tasks)
	c.reservations[job] = r
}

// applyCaps lowers reservations to the caps, in place, and returns their sums by team.
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

// updateCoverage recomputes which tasks reservations cover. The reservations of a holder whose key is gone, or that
// has reserved more of a team's limit than it was allocated, cover nothing: their tasks then count against the part
// of the limit that is not allocated.
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
