// Package leadtransfer decides whether a leader should transfer leadership to another node because the workers reach
// that node but not this one. It records whether each worker's heartbeats arrive directly or are relayed by another
// node, and computes the backoff between transfers. Package election performs the resignation and the election.
package leadtransfer

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const (
	// heartbeatWindow is the maximum age of a heartbeat that is counted.
	heartbeatWindow = 8 * time.Second
	// minMissingRatio is the minimum ratio of the workers that do not reach the leader directly to those that do, from
	// which most workers count as unable to reach it.
	minMissingRatio = 2
	// At least minRelayedWorkers workers, and at least one in relayedShareDivisor of the known workers, must send their
	// heartbeats through other nodes before leadership is transferred to one of these nodes.
	minRelayedWorkers   = 3
	relayedShareDivisor = 20
)

// Reachability tracks which workers reach this node directly and which reach only another node that relays their
// heartbeats. The zero value is ready for use.
type Reachability struct {
	contacts         map[ident.MachineID]contact
	unreachableSince clock.Instant // when most workers became unreachable; 0: most workers are reachable
}

// contact records the arrival of a worker's last heartbeat.
type contact struct {
	at  clock.Instant
	via string // the node that relayed the heartbeat; empty if it arrived directly
}

// RecordHeartbeat records a worker's heartbeat that the node via relayed, or that arrived directly if via is empty.
func (r *Reachability) RecordHeartbeat(now clock.Instant, id ident.MachineID, via string) {
	if r.contacts == nil {
		r.contacts = map[ident.MachineID]contact{}
	}
	r.contacts[id] = contact{at: now, via: via}
}

// ResetDelay restarts the delay before a transfer.
func (r *Reachability) ResetDelay() { r.unreachableSince = 0 }

// HasRelayed reports whether any recorded worker's last heartbeat was relayed.
func (r *Reachability) HasRelayed() bool {
	for _, c := range r.contacts {
		if c.via != "" {
			return true
		}
	}
	return false
}

// Transferee returns the node that should become leader, or "" if leadership should stay here. A transfer requires
// that:
//
//  1. throughout the delay, the known workers that do not reach this node directly number at least minRelayedWorkers,
//     and at least minMissingRatio times those that do;
//  2. other nodes relay the heartbeats of at least minRelayedWorkers workers, and of at least one in relayedShareDivisor
//     of the known workers;
//  3. the transferee relays the heartbeats of more workers than reach this node directly.
//
// Workers whose heartbeats reach no node count as not reaching this node: of hundreds of workers a node can relay only
// a part through the state service, and a leader that waited until most were relayed kept its leadership for half a
// minute while leases expired.
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
	// Right after a failover most workers may not have reconnected to this node yet, so the transferee must relay more
	// workers than reach this node directly. Without this condition a leader transferred leadership to the wrong side
	// of a network partition.
	if relayedBy[node] <= direct {
		return ""
	}
	return node
}

// countRecent counts the workers with a recent heartbeat, separately for direct and relayed ones and by relaying node,
// and removes the records of all other workers.
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

// busiestRelay returns the node that relays the most workers. Among equals it returns the first by name.
func busiestRelay(relayedBy map[string]int) string {
	busiest := ""
	for node, workers := range relayedBy {
		if busiest == "" || workers > relayedBy[busiest] || workers == relayedBy[busiest] && node < busiest {
			busiest = node
		}
	}
	return busiest
}
