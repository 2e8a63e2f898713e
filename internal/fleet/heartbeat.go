package fleet

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/jobs"
)

// EndedPlacement is a placement that has ended, and the cause.
type EndedPlacement struct {
	Placement *jobs.Placement
	Cause     ExitCause
	// CheckpointStored means that the task's progress was saved when it stopped.
	CheckpointStored bool
}

// StartedPlacement is a placement whose task was reported as running for the first time.
type StartedPlacement struct{ Placement *jobs.Placement }

// Changes are the effects of an event: a heartbeat, an expired lease or a lost machine.
type Changes struct {
	Stale               bool // the heartbeat is older than the known status, which was not changed
	HigherFencingToken  bool // the worker has seen a fencing token above the leader's epoch
	Ended               []EndedPlacement
	Started             []StartedPlacement
	CameUp              bool // the machine was not up before, or has begun a new session
	InterruptionNoticed bool // the cloud has announced that it will reclaim the machine
}

// ApplyHeartbeat applies a heartbeat. The response to it is sent at now, and renews the worker's lease.
func (f *Fleet) ApplyHeartbeat(now clock.Instant, h *Heartbeat) Changes {
	m := f.Ensure(now, h.Machine)
	if m.isStale(h) {
		// The response to a stale heartbeat may renew the lease too, but only from the time at which the heartbeat was
		// sent, which is before the last contact. LastRenewal is not set to now, because duplicates of heartbeats that
		// arrive after the machine has failed must not extend its lease.
		m.LastRenewal = max(m.LastRenewal, m.LastContact)
		return Changes{Stale: true}
	}
	m.LastRenewal, m.LastHeartbeat = now, now
	return f.applyStatus(now, m, h)
}

// ApplyCommandResponse applies the status in the response to a direct command. The response proves that the machine
// exists, but does not renew its lease.
func (f *Fleet) ApplyCommandResponse(now clock.Instant, h *Heartbeat) Changes {
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

// isStale reports whether a heartbeat is older than the known status of the machine.
func (m *Machine) isStale(h *Heartbeat) bool {
	return m.Removed || h.Session < m.Session || h.Session == m.Session && h.HeartbeatSeq <= m.HeartbeatSeq
}

// beginSession ends the placements of the previous session. The lease of the new session counts from now, even if none
// of its heartbeats was answered: the session may have become known from the refusal of a direct command.
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

// updateInterruption records or clears the cloud's notice that it will reclaim the machine, and reports whether the
// notice is new.
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
