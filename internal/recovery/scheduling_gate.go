package recovery

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/leasedelegation"
)

// SchedulingGate decides when a new leader may place tasks: "reconcile before create".
type SchedulingGate struct {
	AcquiredAt clock.Instant // the epoch
	Epoch      ident.Epoch
	Workers    config.Workers
	// LostRounds: some round can't be read, so a task of it may run anywhere.
	LostRounds bool
	// Pristine: nothing was ever placed or rented, and the cloud lists nothing, so
	// nobody is left to wait for.
	Pristine bool
	Poll     *HeartbeatPoll
}

// silentShareDivisor: one machine in so many may be silent when placing begins. Among
// hundreds some are always silent, and what they hold counts as there.
const silentShareDivisor = 20

// Open tells whether nearly all machines with placements have reported under the
// epoch, or a report interval has passed and the quarter by which reports may be
// late.
func (g *SchedulingGate) Open(now clock.Instant, machines []*fleet.Machine) bool {
	since := now.Sub(g.AcquiredAt)
	if g.LostRounds && since < g.maxPlacementLifetime() {
		return false
	}
	return since >= g.Workers.MaxHeartbeatGap() || g.Pristine || g.nearlyAllReported(machines) || g.Poll.answered(now, machines)
}

// maxPlacementLifetime is how long what an earlier leader started may run on a machine
// that no report names, counted from the takeover: a lease that a grant has kept to
// its end.
func (g *SchedulingGate) maxPlacementLifetime() time.Duration {
	const margin = 2 * time.Second
	return g.Workers.LeaseTTL() + leasedelegation.GrantDuration(g.Workers) + margin
}

func (g *SchedulingGate) nearlyAllReported(machines []*fleet.Machine) bool {
	busy, silent, up := 0, 0, 0
	for _, m := range machines {
		if m.Up {
			up++
		}
		if !m.Busy() {
			continue
		}
		busy++
		if !m.Up || m.FencingToken < g.Epoch {
			silent++
		}
	}
	return up > 0 && silent <= busy/silentShareDivisor
}
