package controller

import (
	"time"

	"badgerbay/internal/leadership"
	"badgerbay/internal/unit"
)

const (
	// reachWindow is how recent a report must be to count.
	reachWindow = 8 * time.Second
	// reachPatience is how long most workers must have been relayed before a
	// leader gives leadership up, and reachRest how long it stays out of the
	// election after that.
	reachPatience = 6 * time.Second
	reachRest     = 15 * time.Second
	// reachLeast relayed workers, and reachRatio times as many as come
	// directly, show that another node is better placed.
	reachLeast = 3
	reachRatio = 4
)

// reach tells whether the workers reach this node themselves, or only through
// others. The zero value is ready for use.
type reach struct {
	last  map[unit.MachineID]contact
	since unit.Instant // most have been relayed since; 0: they are not
}

type contact struct {
	at      unit.Instant
	relayed bool
}

func (r *reach) note(now unit.Instant, id unit.MachineID, relayed bool) {
	if r.last == nil {
		r.last = map[unit.MachineID]contact{}
	}
	r.last[id] = contact{now, relayed}
}

// poor tells whether this node has been poorly placed for some time: nearly
// all workers that are heard of at all are relayed.
func (r *reach) poor(now unit.Instant) bool {
	direct, relayed := 0, 0
	for id, c := range r.last {
		switch {
		case now.Sub(c.at) > reachWindow:
			delete(r.last, id)
		case c.relayed:
			relayed++
		default:
			direct++
		}
	}
	if relayed < reachLeast || relayed < reachRatio*direct {
		r.since = 0
		return false
	}
	if r.since == 0 {
		r.since = now
	}
	return now.Sub(r.since) >= reachPatience
}

// cannotLead gives leadership up if another node can do the work better, and
// rests so that another is elected.
func (t *term) cannotLead(now unit.Instant) bool {
	if t.flight != nil || t.fold != nil || t.c.lead.Sealing() || !t.reach.poor(now) {
		return false
	}
	t.c.log.Info("giving leadership up: the workers do not reach this node", "epoch", t.epoch)
	t.c.leadStep(now, leadership.Resign{Rest: reachRest})
	return true
}
