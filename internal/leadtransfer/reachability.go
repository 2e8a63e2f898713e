// Package leadtransfer decides whether a leader had better leave leadership to another
// node, because the workers reach that one and not this.
package leadtransfer

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const (
	// heartbeatWindow is how recent a report must be to count.
	heartbeatWindow = 8 * time.Second
	// Delay is how long most workers must have been out of reach
	// before a leader gives leadership up, and Cooldown how long it stays out
	// of the election after that.
	Delay    = 6 * time.Second
	Cooldown = 15 * time.Second
	// BackoffReset is how long a handover counts: a node that leads again within
	// that time is twice as patient as before, up to mostBackoffs times.
	BackoffReset        = 2 * time.Minute
	maxBackoffDoublings = 4
	// minMissingRatio times as many workers that don't come themselves as do show
	// that a leader is badly placed; leastRelayed workers, and one of relayedPart,
	// that come through others show that one of those is placed better.
	minMissingRatio     = 2
	minRelayedWorkers   = 3
	relayedShareDivisor = 20
)

// Reachability tells whether the workers reach this node themselves, or only through
// others. The zero value is ready for use.
type Reachability struct {
	contacts         map[ident.MachineID]contact
	unreachableSince clock.Instant // most have been out of reach since; 0: they are not
}

// contact is the last report of a worker; via is the node that it came through.
type contact struct {
	at  clock.Instant
	via string
}

// RecordHeartbeat takes in a report of a worker that came through the node via, or directly.
func (r *Reachability) RecordHeartbeat(now clock.Instant, id ident.MachineID, via string) {
	if r.contacts == nil {
		r.contacts = map[ident.MachineID]contact{}
	}
	r.contacts[id] = contact{now, via}
}

// ResetDelay begins the count of missing workers anew.
func (r *Reachability) ResetDelay() { r.unreachableSince = 0 }

// HasRelayed tells whether any worker's last report came through another node.
func (r *Reachability) HasRelayed() bool {
	for _, c := range r.contacts {
		if c.via != "" {
			return true
		}
	}
	return false
}

// Transferee is the node that had better lead, or "": for some time nearly all known
// workers have not come here themselves, and some come through that node. Many
// that are not heard of at all count too: through the state service a node
// relays but a part of hundreds, and a leader that waited until most were
// relayed held on for half a minute while leases ran out.
func (r *Reachability) Transferee(now clock.Instant, known int, delay time.Duration) string {
	direct, relayed := 0, 0
	through := map[string]int{}
	for id, c := range r.contacts {
		switch {
		case now.Sub(c.at) > heartbeatWindow:
			delete(r.contacts, id)
		case c.via != "":
			relayed++
			through[c.via]++
		default:
			direct++
		}
	}
	missing := max(known, direct+relayed) - direct
	if missing < minRelayedWorkers || missing < minMissingRatio*direct {
		r.unreachableSince = 0
		return ""
	}
	if r.unreachableSince == 0 {
		r.unreachableSince = now
	}
	if now.Sub(r.unreachableSince) < delay || relayed < max(minRelayedWorkers, known/relayedShareDivisor) {
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

// History remembers how often this node has handed leadership over of late.
// Where two zones can't reach each other each side misses the other's workers, and
// leadership went to and fro six times in half a minute.
type History struct {
	transfers    int
	lastTransfer clock.Instant
}

// Delay is how long workers must be missing before the next handover.
func (h *History) Delay(now clock.Instant) time.Duration {
	if now.Sub(h.lastTransfer) > BackoffReset {
		h.transfers = 0
	}
	return Delay << h.transfers
}

// RecordTransfer takes in that this node hands leadership over.
func (h *History) RecordTransfer(now clock.Instant) {
	h.transfers, h.lastTransfer = min(h.transfers+1, maxBackoffDoublings), now
}
