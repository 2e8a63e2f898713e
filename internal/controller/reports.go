package controller

import (
	"net/http"
	"slices"
	"time"

	"badgerbay/internal/fleet"
	"badgerbay/internal/leadership"
	"badgerbay/internal/unit"
)

// parked is a report that came before the records were read.
type parked struct {
	in    Reported
	until unit.Instant
}

// parkFor bounds the wait for the records: a worker waits for its answer.
const parkFor = 1500 * time.Millisecond

// park lets a report wait for the records. Without them nobody knows what must
// end, and an answer without that order renews the lease of what a user was told
// is cancelled: leaders that came and went before they had read anything kept
// such tasks running for as long as they did.
func (t *term) park(now unit.Instant, in Reported) {
	t.parked = append(t.parked, parked{in, now.Add(parkFor)})
}

// refuseParked refuses the parked reports that are due to be.
func (t *term) refuseParked(due func(parked) bool) {
	t.parked = slices.DeleteFunc(t.parked, func(p parked) bool {
		if !due(p) {
			return false
		}
		t.c.emit(ReplyReport{Ticket: p.in.Ticket, Code: http.StatusServiceUnavailable})
		return true
	})
}

// answerParked takes in the reports that waited for the records.
func (t *term) answerParked(now unit.Instant) {
	waited := t.parked
	t.parked = nil
	for _, p := range waited {
		if t.c.term != t {
			// One of them has shown a later leader.
			t.c.emit(ReplyReport{Ticket: p.in.Ticket, Code: http.StatusServiceUnavailable})
			continue
		}
		t.c.reported(now, p.in)
	}
}

// reported takes in a report and answers it.
func (t *term) reported(now unit.Instant, in Reported) {
	reply := ReplyReport{Ticket: in.Ticket, Code: http.StatusOK, Epoch: t.epoch, Until: t.c.lead.LeaseValidUntil()}
	t.reach.RecordHeartbeat(now, in.Report.Machine, in.Via)
	switch {
	case in.Report.FencingToken > t.epoch:
		// Somebody else was elected, or a raise of ours came through late.
		t.c.leadStep(now, leadership.LeadershipLost{})
		t.c.emit(ReplyReport{Ticket: in.Ticket, Code: http.StatusServiceUnavailable})
		return
	case !t.loaded:
		t.park(now, in)
		return
	}
	if t.fleet.WasRemoved(in.Report.Machine) {
		t.c.emit(ReplyReport{Ticket: in.Ticket, Code: http.StatusServiceUnavailable})
		return
	}
	m := t.fleet.Ensure(now, in.Report.Machine)
	if in.Report.Session < m.Session {
		// Its lease is surely over; the answer would be dropped.
		t.c.emit(ReplyReport{Ticket: in.Ticket, Code: http.StatusServiceUnavailable})
		return
	}
	t.noteFound(now, m)
	// A report overtaken by the answer to a direct command is stale, and the
	// worker still waits for its answer.
	if changes := t.fleet.ApplyHeartbeat(now, in.Report, true); !changes.Stale {
		t.changed(now, m, changes)
	}
	reply.Orders = t.fleet.Commands(now, m, true)
	t.c.emit(reply)
}

func (t *term) doDone(now unit.Instant, in DoDone) {
	t.fleet.FinishCommand(now, in.Machine, in.Report != nil)
	if in.Report == nil || in.Report.Machine != in.Machine || t.fleet.Machine(in.Machine) == nil {
		return
	}
	if in.Report.FencingToken > t.epoch && in.Epoch == t.epoch {
		t.c.leadStep(now, leadership.LeadershipLost{})
		return
	}
	t.noteFound(now, t.fleet.Machine(in.Machine))
	changes := t.fleet.ApplyHeartbeat(now, in.Report, false)
	if !changes.Stale {
		t.changed(now, t.fleet.Machine(in.Machine), changes)
	}
}

// changed follows what a report brought.
func (t *term) changed(now unit.Instant, m *fleet.Machine, ch fleet.Changes) {
	if ch.CameUp {
		t.dirty = true
		t.c.log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "session", m.Session, "epoch", t.epoch)
	}
	if ch.InterruptionNoticed {
		t.drain(now, m)
	}
	for _, s := range ch.Started {
		m.ConsecutiveFailures = 0
		t.c.log.Debug("task running", "job", s.Placement.Job.ID, "task", s.Placement.Task, "machine", m.ID, "epoch", t.epoch)
	}
	t.ended(now, ch)
}

// drain stops what is on a machine that the cloud takes away, with leave to
// save as much as the notice allows.
func (t *term) drain(now unit.Instant, m *fleet.Machine) {
	t.dirty = true
	left := m.InterruptionAt.Sub(now)
	t.c.log.Info("machine to be taken", "machine", m.ID, "in", left, "epoch", t.epoch)
	for _, p := range m.LivePlacements() {
		if p.Job.Spec.Gang {
			t.haltGang(now, p.Job, unit.Seconds(p.Job.Spec.CheckpointSeconds))
			continue
		}
		t.fleet.StopPlacement(now, p, unit.Seconds(p.Job.Spec.CheckpointSeconds))
	}
}

// probe sends commands to machines that have missed a report.
func (t *term) probe(now unit.Instant) {
	for _, m := range t.fleet.ClaimProbes(now) {
		t.c.emit(Do{Machine: m.ID, Addr: m.Addr, Epoch: t.epoch, Session: m.Session, Orders: t.fleet.Commands(now, m, false)})
	}
}

// push sends direct commands where they are due.
func (t *term) push(now unit.Instant) {
	for _, m := range t.fleet.ClaimDueCommands() {
		orders := t.fleet.Commands(now, m, false)
		if len(orders) == 0 {
			t.fleet.FinishCommand(now, m.ID, true)
			continue
		}
		t.c.emit(Do{Machine: m.ID, Addr: m.Addr, Epoch: t.epoch, Session: m.Session, Orders: orders})
	}
}
