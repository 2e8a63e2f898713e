// Package schemaversion decides which form of records the cluster may use while nodes
// of different versions serve side by side. Nodes say what they can; those of a
// version before this slice say nothing, which means the first form. A leader
// uses a later form only once every node of the settings has said that it can,
// and stores that, so that it is never taken back.
package schemaversion

import (
	"time"

	"badgerbay/internal/clock"
)

// Key holds the form that was agreed on.
const Key = "form"

// Version numbers what nodes store and say to each other.
type Version int

const (
	// First is what versions that say nothing can.
	First Version = 1
	// ChunkedJobs: a job's record may be compressed, and continue in numbered parts.
	ChunkedJobs Version = 2
	// ChunkedRounds: a round's record may continue in parts and name the attempts of its
	// starts; a job's record may be written in several transactions.
	ChunkedRounds Version = 3
	// Latest is what this program can.
	Latest = ChunkedRounds
)

// Agreement is the value of Key.
type Agreement struct {
	Version Version `msgpack:"form" json:"form"`
}

// reportMaxAge is how long it counts what a node has said. A process that ends before
// its turn comes back with the old version.
const reportMaxAge = 5 * time.Second

// Negotiator is what a leader knows of the nodes' versions.
type Negotiator struct {
	reports map[string]versionReport
	agreed  Version // what may be used
	stored  Version // what a successor finds
	pending Version // what is being stored; 0: nothing
}

type versionReport struct {
	version    Version
	receivedAt clock.Instant
}

// New returns the cluster of the peers, with what is stored; 0: nothing.
func New(peers []string, stored Version) *Negotiator {
	c := &Negotiator{reports: map[string]versionReport{}, agreed: max(First, stored), stored: stored}
	for _, p := range peers {
		c.reports[p] = versionReport{}
	}
	return c
}

// Version is the form that may be used.
func (c *Negotiator) Version() Version { return min(c.agreed, Latest) }

// RecordReport notes what a node can. Nodes that the settings don't name don't count.
func (c *Negotiator) RecordReport(now clock.Instant, node string, f Version) {
	if _, ok := c.reports[node]; ok {
		c.reports[node] = versionReport{max(First, f), now}
	}
}

// BehindCount counts the nodes that have not said lately that they can what this one
// can. One that is out of reach counts.
func (c *Negotiator) BehindCount(now clock.Instant) int {
	n := 0
	for _, h := range c.reports {
		if h.versionAt(now) < Latest {
			n++
		}
	}
	return n
}

// versionAt is the form that the node surely can at now.
func (h versionReport) versionAt(now clock.Instant) Version {
	if now.Sub(h.receivedAt) > reportMaxAge {
		return First
	}
	return max(First, h.version)
}

// commonVersion is the latest form that all nodes have lately said that they can.
func (c *Negotiator) commonVersion(now clock.Instant) Version {
	form := Latest
	for _, h := range c.reports {
		form = min(form, h.versionAt(now))
	}
	return form
}

// Propose is a later form that is to be stored as agreed on, and notes that it is
// being stored; 0: there is none.
func (c *Negotiator) Propose(now clock.Instant) Version {
	form := max(c.agreed, c.commonVersion(now))
	if c.pending != 0 || form <= max(First, c.stored) {
		return 0
	}
	c.pending = form
	return form
}

// Settle takes in whether the form that was asked for was stored.
func (c *Negotiator) Settle(stored bool) {
	if stored {
		c.agreed, c.stored = max(c.agreed, c.pending), c.pending
	}
	c.pending = 0
}

// ObserveReducedLimits takes in that the state service keeps to its later limits: it does so
// only once all nodes have a version that knows them. They need not have this one.
func (c *Negotiator) ObserveReducedLimits() { c.agreed = max(c.agreed, ChunkedJobs) }
