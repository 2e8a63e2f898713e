package fleet

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/jobs"
)

// EndedPlacement is a placement that has ended.
type EndedPlacement struct {
	Placement *jobs.Placement
	Cause     ExitCause
	// CheckpointStored tells that the task's progress was saved as it stopped.
	CheckpointStored bool
}

// StartedPlacement is a placement first seen running.
type StartedPlacement struct{ Placement *jobs.Placement }

// Changes are what an event brought: a heartbeat, an expired lease, a lost machine.
type Changes struct {
	Stale               bool // the heartbeat is older than what is known; nothing was applied
	HigherFencingToken  bool // the worker has seen a higher fencing token than the leader's
	Ended               []EndedPlacement
	Started             []StartedPlacement
	CameUp              bool // the machine is new, or back in a new session
	InterruptionNoticed bool // the cloud has given notice that it takes the machine back
}

// ApplyHeartbeat applies a heartbeat whose answer leaves now and renews the worker's lease.
func (f *Fleet) ApplyHeartbeat(now clock.Instant, h *Heartbeat) Changes {
	m := f.Ensure(now, h.Machine)
	if m.isStale(h) {
		// The answer to an old heartbeat may renew the lease too, but from when the
		// heartbeat was sent: before the newest that is known. Duplicates of a dead
		// machine's heartbeats must not keep its lease alive.
		m.LastRenewal = max(m.LastRenewal, m.LastContact)
		return Changes{Stale: true}
	}
	m.LastRenewal, m.LastHeartbeat = now, now
	return f.applyStatus(now, m, h)
}

// ApplyCommandAnswer applies the status in the answer to a direct command. It shows that
// the machine exists, and renews no lease.
func (f *Fleet) ApplyCommandAnswer(now clock.Instant, h *Heartbeat) Changes {
	m := f.Ensure(now, h.Machine)
	if m.isStale(h) {
		return Changes{Stale: true}
	}
	m.Confirmed = true
	return f.applyStatus(now, m, h)
}

func (f *Fleet) applyStatus(now clock.Instant, m *Machine, h *Heartbeat) Changes {
	changes := Changes{CameUp: !m.Up, HigherFencingToken: h.FencingToken > f.epoch}
	if h.Session > m.Session {
		f.beginSession(now, m, &changes)
	}
	f.updateMachine(now, m, h)
	changes.InterruptionNoticed = m.updateInterruption(now, h)
	f.reconcilePlacements(now, m, h, &changes)
	return changes
}

// isStale tells whether a heartbeat is older than what is known of the machine.
func (m *Machine) isStale(h *Heartbeat) bool {
	return m.Removed || h.Session < m.Session || h.Session == m.Session && h.HeartbeatSeq <= m.HeartbeatSeq
}

// beginSession ends what ran in the session before. The lease of the new one counts from
// its beginning, whether or not any heartbeat of it was answered: the session may have
// become known by the refusal of a direct command.
func (f *Fleet) beginSession(now clock.Instant, m *Machine, changes *Changes) {
	changes.CameUp = true
	f.endAllPlacements(now, m, changes)
	m.LastRenewal = max(m.LastRenewal, now)
}

func (f *Fleet) updateMachine(now clock.Instant, m *Machine, h *Heartbeat) {
	m.setZone(h.Zone)
	m.Addr, m.Type, m.Spot = h.Addr, h.Type, h.Spot
	m.Session, m.HeartbeatSeq = h.Session, h.HeartbeatSeq
	m.FencingToken = max(m.FencingToken, h.FencingToken)
	m.Confirmed = m.Confirmed || h.FencingToken >= f.firstEpoch
	if now.Sub(m.lastUnansweredAt) > unansweredCommandWindow {
		m.unansweredCommands = 0
	}
	m.Up, m.LastContact = true, now
}

// updateInterruption follows the cloud's notice that it takes the machine back, and tells
// whether it is new.
func (m *Machine) updateInterruption(now clock.Instant, h *Heartbeat) bool {
	if !h.InterruptionNoticed {
		m.InterruptionAt = 0
		return false
	}
	if m.InterruptionAt != 0 {
		return false
	}
	m.InterruptionAt = now.Add(h.InterruptionIn)
	return true
}
