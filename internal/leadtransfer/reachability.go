// Package leadtransfer decides whether a leader should transfer leadership to another node,
// because the workers reach that one and not this. It owns the record of the way by which
// each worker's heartbeats come, and the backoff between transfers. Resigning and the
// election are left to package election.
package leadtransfer

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const (
	// heartbeatWindow is how recent a heartbeat must be to count.
	heartbeatWindow = 8 * time.Second
	// minMissingRatio times as many workers that don't reach this node as do show that the
	// leader is badly placed.
	minMissingRatio = 2
	// minRelayedWorkers, and one worker in relayedShareDivisor, whose heartbeats come
	// through other nodes show that one of those is placed better.
	minRelayedWorkers   = 3
	relayedShareDivisor = 20
)

// Reachability tells whether the workers reach this node, or only others that relay their
// heartbeats. The zero value is ready for use.
type Reachability struct {
	contacts         map[ident.MachineID]contact
	unreachableSince clock.Instant // when most workers became unreachable; 0: they are not
}

// contact is the last heartbeat of a worker.
type contact struct {
	at  clock.Instant
	via string // the node that relayed it; empty: it came directly
}

// RecordHeartbeat notes a worker's heartbeat that the node via relayed, or, if that is
// empty, that came directly.
func (r *Reachability) RecordHeartbeat(now clock.Instant, id ident.MachineID, via string) {
	if r.contacts == nil {
		r.contacts = map[ident.MachineID]contact{}
	}
	r.contacts[id] = contact{at: now, via: via}
}

// ResetDelay lets the delay before a transfer begin anew.
func (r *Reachability) ResetDelay() { r.unreachableSince = 0 }

// HasRelayed tells whether any worker's last heartbeat was relayed.
func (r *Reachability) HasRelayed() bool {
	for _, c := range r.contacts {
		if c.via != "" {
			return true
		}
	}
	return false
}

// Transferee is the node that should lead, or "": for the delay, nearly all known workers
// have not reached this node, and some reach that one. Workers that nobody hears from
// count too: through the state service a node relays but a part of hundreds, and a leader
// that waited until most were relayed held on for half a minute while leases expired.
func (r *Reachability) Transferee(now clock.Instant, knownWorkers int, delay time.Duration) string {
	direct, relayed, relayedBy := r.countRecent(now)
	missing := max(knownWorkers, direct+relayed) - direct
	if missing < minRelayedWorkers || missing < minMissingRatio*direct {
		r.unreachableSince = 0
		return ""
	}
	if r.unreachableSince == 0 {
		r.unreachableSince = now
	}
	if now.Sub(r.unreachableSince) < delay || relayed < max(minRelayedWorkers, knownWorkers/relayedShareDivisor) {
		return ""
	}
	node := busiestRelay(relayedBy)
	// Right after a failover most workers may still be on their way here: whoever is to
	// lead must relay more than come directly. A leader that did not wait for that
	// transferred leadership to the wrong side of a network partition.
	if relayedBy[node] <= direct {
		return ""
	}
	return node
}

// countRecent counts the workers with a recent heartbeat by the way it came, and forgets
// the others.
func (r *Reachability) countRecent(now clock.Instant) (direct, relayed int, relayedBy map[string]int) {
	relayedBy = map[string]int{}
	for id, c := range r.contacts {
		switch {
		case now.Sub(c.at) > heartbeatWindow:
			delete(r.contacts, id)
		case c.via != "":
			relayed++
			relayedBy[c.via]++
		default:
			direct++
		}
	}
	return direct, relayed, relayedBy
}

// busiestRelay returns the node that relays the most workers; of several the first by name.
func busiestRelay(relayedBy map[string]int) string {
	busiest := ""
	for node, workers := range relayedBy {
		if busiest == "" || workers > relayedBy[busiest] || workers == relayedBy[busiest] && node < busiest {
			busiest = node
		}
	}
	return busiest
}
