package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/leadtransfer"
)

// sweepInterval is the time between two sweeps over machines and jobs for expired deadlines.
const sweepInterval = 200 * time.Millisecond

// machineMonitor tracks which machines send heartbeats to the leader, and through which node.
type machineMonitor struct {
	*environment
	nextSweepAt   clock.Instant
	reachability  leadtransfer.Reachability
	reconnectedAt clock.Instant // when a machine last made contact after exceeding the silence timeout
}

// beginSweepIfDue reports whether a sweep is due now, and if so schedules the next one.
func (mm *machineMonitor) beginSweepIfDue(now clock.Instant) bool {
	if now.Before(mm.nextSweepAt) {
		return false
	}
	mm.nextSweepAt = now.Add(sweepInterval)
	return true
}

// recordHeartbeat records a heartbeat of a machine and the node that relayed it, if any.
func (mm *machineMonitor) recordHeartbeat(now clock.Instant, in HeartbeatReceived) {
	mm.reachability.RecordHeartbeat(now, in.Heartbeat.Machine, in.RelayedBy)
}

// transferee returns the node that should become the leader because the workers reach it and not this node, or "" if
// there is none. settled states that the workers have had enough time to send heartbeats to this node; until then the
// delay before a transfer does not begin.
func (mm *machineMonitor) transferee(now clock.Instant, settled bool, activeMachines int, delay time.Duration) string {
	if !settled {
		mm.reachability.ResetDelay()
		return ""
	}
	return mm.reachability.Transferee(now, activeMachines, delay)
}

// silentMachines returns the machines that have exceeded the silence timeout while others still send heartbeats. The
// caller deprovisions them: that proves that their tasks have ended, and does so earlier than the expiry of the leases.
//
// If more than a tenth of the machines, and more than one, have missed a heartbeat, the cause may be a network
// partition. The silent machines of a zone are then returned only if the following conditions rule that out:
//
//  1. every machine that has missed a heartbeat has also exceeded the timeout, so no more machines are falling silent;
//  2. no silent machine has reconnected lately, and no machine's last heartbeat was relayed by another node;
//  3. at least half of the zone's machines still send heartbeats.
//
// With fewer than three machines up, none is returned.
func (mm *machineMonitor) silentMachines(now, acquiredAt clock.Instant, machines []*fleet.Machine) map[ident.MachineID]bool {
	zones := map[ident.Zone]*silenceCount{}
	var all silenceCount
	timeout, missedAfter := mm.silenceTimeout(), mm.settings.Params.Workers.HeartbeatInterval()*3/2
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
		z.add(silence, timeout, missedAfter, m.ID)
		all.add(silence, timeout, missedAfter, m.ID)
	}
	// Machines that have missed only their first heartbeat count too. In a partition machines fall silent one after the
	// other, and the first one must not be deprovisioned as if it were the only one.
	fewMissed := all.missed <= max(1, all.machines/10)
	silent := map[ident.MachineID]bool{}
	// HasRelayed scans all heartbeats, so it is called only if the result matters.
	reconnecting := !fewMissed && (mm.reachability.HasRelayed() || now.Sub(mm.reconnectedAt) < reconnectWindow)
	for _, z := range zones {
		stable := !reconnecting && all.missed == len(all.timedOut) && z.missed <= z.machines/2
		if all.machines < 3 || !fewMissed && !stable {
			continue
		}
		for _, id := range z.timedOut {
			silent[id] = true
		}
	}
	return silent
}

// reconnectWindow is how long after the reconnect of one silent machine others are expected to reconnect as well.
// Without it, when workers that could not reach the leader reconnected through other nodes, the half that had not
// reconnected yet was deprovisioned.
const reconnectWindow = 20 * time.Second

// silentFor returns the time since the machine's last contact with this leader, or since the leader's election if that
// is later.
func silentFor(now, acquiredAt clock.Instant, m *fleet.Machine) time.Duration {
	return now.Sub(max(m.LastContact, acquiredAt))
}

// recordReconnect records that a machine has made contact after exceeding the silence timeout, if that is the case. It
// must be called before the contact is applied to the machine.
func (mm *machineMonitor) recordReconnect(now, acquiredAt clock.Instant, m *fleet.Machine) {
	if m.Up && silentFor(now, acquiredAt, m) > mm.silenceTimeout() {
		mm.reconnectedAt = now
	}
}

// silenceCount counts the machines that are up and those that have missed a heartbeat, and lists those that have
// exceeded the silence timeout.
type silenceCount struct {
	machines, missed int
	timedOut         []ident.MachineID // machines that have exceeded the silence timeout
}

// add counts a machine that has been silent for the given time.
func (c *silenceCount) add(silence, timeout, missedAfter time.Duration, id ident.MachineID) {
	c.machines++
	if silence > missedAfter {
		c.missed++
	}
	if silence > timeout {
		c.timedOut = append(c.timedOut, id)
	}
}

// silenceTimeout returns how long a worker may be silent before its machine is considered failed. It is at least two
// heartbeat intervals: a heartbeat may be late by a quarter of the interval, and a machine that misses one needs time
// to answer the probe that is sent then. With a fixed timeout of 6 s and an interval of 5 s, hundreds of healthy
// machines were deprovisioned together with their tasks.
func (mm *machineMonitor) silenceTimeout() time.Duration {
	return max(mm.policy.SilenceTimeout, 2*mm.settings.Params.Workers.HeartbeatInterval())
}
