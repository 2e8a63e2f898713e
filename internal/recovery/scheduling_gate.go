package recovery

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/leasedelegation"
)

// SchedulingGate decides when a new leader may place tasks: only after it has reconciled its records with the state of
// the machines.
type SchedulingGate struct {
	// AcquiredAt is when this leader acquired Epoch.
	AcquiredAt clock.Instant
	Epoch      ident.Epoch
	Workers    config.Workers
	// LostRounds is whether some round record can't be decoded, so that its tasks may run on any machine.
	LostRounds bool
	// Pristine is whether nothing was ever placed or provisioned and the cloud lists no machine, so that there is no
	// machine to wait for.
	Pristine bool
	Poll     HeartbeatPoll
}

// silentShareDivisor bounds the busy machines that may be silent when scheduling opens to one in silentShareDivisor.
// Among hundreds of machines some are always silent; their tasks count as running.
const silentShareDivisor = 20

// Open reports whether tasks may be placed. One of these conditions must hold: the cluster is pristine, nearly all busy
// machines have sent a heartbeat to this leader, the polled machines have answered, or every machine has had time to
// send a periodic heartbeat. If a round record is lost, the tasks of that round must also have had time to end.
func (g *SchedulingGate) Open(now clock.Instant, machines []*fleet.Machine) bool {
	sinceAcquired := now.Sub(g.AcquiredAt)
	if g.LostRounds && sinceAcquired < g.maxPlacementLifetime() {
		return false
	}
	switch {
	case g.Pristine,
		sinceAcquired >= g.Workers.MaxHeartbeatGap(),
		g.nearlyAllSentHeartbeat(machines):
		return true
	}
	return g.Poll.answered(now, machines)
}

// maxPlacementLifetime returns how long after the failover a task that an earlier leader started may still run on a
// machine that no record names: for the TTL of a lease that was renewed under a grant just before the grant expired.
func (g *SchedulingGate) maxPlacementLifetime() time.Duration {
	const margin = 2 * time.Second
	return g.Workers.LeaseTTL() + leasedelegation.GrantDuration(g.Workers) + margin
}

func (g *SchedulingGate) nearlyAllSentHeartbeat(machines []*fleet.Machine) bool {
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
