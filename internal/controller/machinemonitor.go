package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/leadtransfer"
)

// sweepInterval is the pause between two sweeps over machines and jobs for what only time brings about.
const sweepInterval = 200 * time.Millisecond

// machineMonitor follows which machines the leader hears, and through which node.
type machineMonitor struct {
	*environment
	nextSweepAt   clock.Instant
	reachability  leadtransfer.Reachability
	reconnectedAt clock.Instant // when a machine that was silent for too long was last heard again
}

// beginSweepIfDue tells whether a sweep is due now.
func (w *machineMonitor) beginSweepIfDue(now clock.Instant) bool {
	if now.Before(w.nextSweepAt) {
		return false
	}
	w.nextSweepAt = now.Add(sweepInterval)
	return true
}

// recordHeartbeat notes that a machine is heard, and through which node.
func (w *machineMonitor) recordHeartbeat(now clock.Instant, in HeartbeatReceived) {
	w.reachability.RecordHeartbeat(now, in.Heartbeat.Machine, in.RelayedBy)
}

// transferee is the node that had better lead, since the workers reach it and not this one, or "". settled tells that
// this node and the workers have had the time to hear each other.
func (w *machineMonitor) transferee(now clock.Instant, settled bool, activeMachines int, delay time.Duration) string {
	if !settled {
		w.reachability.ResetDelay()
		return ""
	}
	return w.reachability.Transferee(now, activeMachines, delay)
}

// silentMachines are those that have stopped sending heartbeats while others go on. Returning one proves that its tasks
// are gone sooner than its lease does. Many silent machines may be a network partition, and are left alone unless they
// surely are none: no other falls silent any more, none is regained or comes through another node, and most machines of
// the zone go on.
func (w *machineMonitor) silentMachines(now, acquiredAt clock.Instant, machines []*fleet.Machine) map[ident.MachineID]bool {
	zones := map[ident.Zone]*silenceCount{}
	var all silenceCount
	limit, missedAfter := w.silenceTimeout(), w.settings.Params.Workers.HeartbeatInterval()*3/2
	for _, m := range machines {
		if !m.Up {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &silenceCount{}
			zones[m.Zone] = z
		}
		silence := silentFor(now, acquiredAt, m)
		z.add(silence, limit, missedAfter, m.ID)
		all.add(silence, limit, missedAfter, m.ID)
	}
	// Those that miss their first heartbeat count too: in a partition the machines fall silent one after the other, and the
	// first must not be returned alone.
	few := all.missed <= max(1, all.machines/10)
	silent := map[ident.MachineID]bool{}
	// Looking over all heartbeats is left out where it does not matter.
	regained := !few && (w.reachability.HasRelayed() || now.Sub(w.reconnectedAt) < reconnectWindow)
	for _, z := range zones {
		settled := !regained && all.missed == len(all.timedOut) && z.missed <= z.machines/2
		if all.machines < 3 || !few && !settled {
			continue
		}
		for _, id := range z.timedOut {
			silent[id] = true
		}
	}
	return silent
}

// reconnectWindow is how long it counts that a machine was heard again after it had been silent for too long: others may
// be on their way too. As the workers of a leader that they did not reach came back through other nodes, the half that
// was not there yet was returned.
const reconnectWindow = 20 * time.Second

// silentFor is how long this leader has not heard the machine.
func silentFor(now, acquiredAt clock.Instant, m *fleet.Machine) time.Duration {
	return now.Sub(max(m.LastContact, acquiredAt))
}

// recordReconnect notes that a machine is heard that was silent for too long.
func (w *machineMonitor) recordReconnect(now, acquiredAt clock.Instant, m *fleet.Machine) {
	if m.Up && silentFor(now, acquiredAt, m) > w.silenceTimeout() {
		w.reconnectedAt = now
	}
}

// silenceCount counts machines that are up, and those of them that have missed a heartbeat.
type silenceCount struct {
	machines, missed int
	timedOut         []ident.MachineID // for too long
}

func (c *silenceCount) add(silence, limit, missedAfter time.Duration, id ident.MachineID) {
	c.machines++
	if silence > missedAfter {
		c.missed++
	}
	if silence > limit {
		c.timedOut = append(c.timedOut, id)
	}
}

// silenceTimeout is how long a worker may be silent before its machine is taken for dead. It spans two heartbeats, of
// which each may come a quarter late, and the probe in between: at six seconds fixed, with heartbeats every five, healthy
// machines were returned by the hundred with all that ran on them.
func (w *machineMonitor) silenceTimeout() time.Duration {
	return max(w.policy.SilenceTimeout, 2*w.settings.Params.Workers.HeartbeatInterval())
}
