package recovery

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/leasedelegation"
)

// SchedulingGate decides when a new leader may place tasks: it reconciles before it
// creates.
type SchedulingGate struct {
	// AcquiredAt is when this leader acquired Epoch.
	AcquiredAt clock.Instant
	Epoch      ident.Epoch
	Workers    config.Workers
	// LostRounds: some round record can't be read, so a task of it may run anywhere.
	LostRounds bool
	// Pristine: nothing was ever placed or provisioned, and the cloud lists no machine,
	// so there is nobody to wait for.
	Pristine bool
	Poll     HeartbeatPoll
}

// silentShareDivisor bounds the busy machines that may be silent when scheduling opens:
// one in so many. Among hundreds some are always silent, and what they hold counts as
// running.
const silentShareDivisor = 20

// Open tells whether tasks may be placed: nearly all busy machines have reported under
// the epoch, or have answered the poll, or have had the time to report by themselves.
func (g *SchedulingGate) Open(now clock.Instant, machines []*fleet.Machine) bool {
	sinceAcquired := now.Sub(g.AcquiredAt)
	if g.LostRounds && sinceAcquired < g.maxPlacementLifetime() {
		return false
	}
	switch {
	case g.Pristine,
		sinceAcquired >= g.Workers.MaxHeartbeatGap(),
		g.nearlyAllReported(machines):
		return true
	}
	return g.Poll.answered(now, machines)
}

// maxPlacementLifetime is how long a task that an earlier leader started may run on a
// machine that no record names, counted from the failover: for a lease that was renewed
// under a grant until the grant expired.
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
