package controller

import (
	"time"

	"badgerbay/internal/leadership"
	"badgerbay/internal/unit"
)

const (
	// reachWindow is how recent a report must be to count.
	reachWindow = 8 * time.Second
	// reachPatience is how long most workers must have been out of reach
	// before a leader gives leadership up, and reachRest how long it stays out
	// of the election after that.
	reachPatience = 6 * time.Second
	reachRest     = 15 * time.Second
	// handoverMemory is how long a handover counts: a node that leads again within
	// that time is twice as patient as before, up to mostHandovers times.
	handoverMemory = 2 * time.Minute
	mostHandovers  = 4
	// reachRatio times as many workers that don't come themselves as do show
	// that a leader is badly placed; reachLeast workers, and one of reachPart,
	// that come through others show that one of those is placed better.
	reachRatio = 2
	reachLeast = 3
	reachPart  = 20
)

// reach tells whether the workers reach this node themselves, or only through
// others. The zero value is ready for use.
type reach struct {
	last  map[unit.MachineID]contact
	since unit.Instant // most have been out of reach since; 0: they are not
}

// contact is the last report of a worker; via is the node that it came through.
type contact struct {
	at  unit.Instant
	via string
}

func (r *reach) note(now unit.Instant, id unit.MachineID, via string) {
	if r.last == nil {
		r.last = map[unit.MachineID]contact{}
	}
	r.last[id] = contact{now, via}
}

// relayed tells whether any worker's last report came through another node.
func (r *reach) relayed() bool {
	for _, c := range r.last {
		if c.via != "" {
			return true
		}
	}
	return false
}

// heir is the node that had better lead, or "": for some time nearly all known
// workers have not come here themselves, and some come through that node. Many
// that are not heard of at all count too: through the state service a node
// relays but a part of hundreds, and a leader that waited until most were
// relayed held on for half a minute while leases ran out.
func (r *reach) heir(now unit.Instant, known int, patience time.Duration) string {
	direct, relayed := 0, 0
	through := map[string]int{}
	for id, c := range r.last {
		switch {
		case now.Sub(c.at) > reachWindow:
			delete(r.last, id)
		case c.via != "":
			relayed++
			through[c.via]++
		default:
			direct++
		}
	}
	missing := max(known, direct+relayed) - direct
	if missing < reachLeast || missing < reachRatio*direct {
		r.since = 0
		return ""
	}
	if r.since == 0 {
		r.since = now
	}
	if now.Sub(r.since) < patience || relayed < max(reachLeast, known/reachPart) {
		return ""
	}
	best := ""
	for node, n := range through {
		if best == "" || n > through[best] || n == through[best] && node < best {
			best = node
		}
	}
	// Right after a takeover most may still be on their way here: whoever is
	// to lead must bring more than come by themselves. A leader that did not
	// wait for that passed leadership to the wrong side of a cut.
	if through[best] <= direct {
		return ""
	}
	return best
}

// handOverIfMissed hands leadership over if another node can do the work better, and
// rests so that this one is not elected again at once.
func (t *term) handOverIfMissed(now unit.Instant) bool {
	if t.flight != nil || t.fold != nil || t.c.lead.Raising() {
		return false
	}
	interval := t.c.set.Params.Workers.ReportInterval()
	if t.c.justWoke(now) || now.Sub(t.acquired) < interval+interval/4 {
		// It has heard nobody because it stood still itself, or because the
		// workers have not had the time to come.
		t.reach.since = 0
		return false
	}
	heir := t.reach.heir(now, t.fleet.Reporting(), t.c.handovers.patience(now))
	if heir == "" {
		return false
	}
	t.c.handovers.note(now)
	t.c.log.Info("giving leadership up: the workers do not reach this node", "heir", heir, "epoch", t.epoch)
	t.c.leadStep(now, leadership.Resign{Rest: reachRest, Heir: heir})
	return true
}

// handovers remembers how often this node has handed leadership over of late.
// Where two zones can't reach each other each side misses the other's workers, and
// leadership went to and fro six times in half a minute.
type handovers struct {
	count int
	last  unit.Instant
}

// patience is how long workers must be missing before the next handover.
func (h *handovers) patience(now unit.Instant) time.Duration {
	if now.Sub(h.last) > handoverMemory {
		h.count = 0
	}
	return reachPatience << h.count
}

func (h *handovers) note(now unit.Instant) {
	h.count, h.last = min(h.count+1, mostHandovers), now
}
