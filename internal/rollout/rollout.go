// Package rollout decides which form of records the cluster may use while nodes
// of different versions serve side by side. Nodes say what they can; those of a
// version before this slice say nothing, which means the first form. A leader
// uses a later form only once every node of the settings has said that it can,
// and stores that, so that it is never taken back.
package rollout

import (
	"time"

	"badgerbay/internal/unit"
)

// Key holds the form that was agreed on.
const Key = "form"

// Form numbers what nodes store and say to each other.
type Form int

const (
	// First is what versions that say nothing can.
	First Form = 1
	// Parts: a job's record may be compressed, and continue in numbered parts.
	Parts Form = 2
	// Newest is what this program can.
	Newest = Parts
)

// Agreed is the value of Key.
type Agreed struct {
	Form Form `msgpack:"form" json:"form"`
}

// fresh is how long it counts what a node has said. A process that ends before
// its turn comes back with the old version.
const fresh = 5 * time.Second

// Cluster is what a leader knows of the nodes' versions.
type Cluster struct {
	heard  map[string]heard
	agreed Form
	stored bool // so is the agreement
	asked  bool // it is being stored
}

type heard struct {
	form Form
	at   unit.Instant
}

// New returns the cluster of the peers, with what is stored; 0: nothing.
func New(peers []string, stored Form) *Cluster {
	c := &Cluster{heard: map[string]heard{}, agreed: max(First, stored), stored: stored >= Newest}
	for _, p := range peers {
		c.heard[p] = heard{}
	}
	return c
}

// Form is the form that may be used.
func (c *Cluster) Form() Form { return min(c.agreed, Newest) }

// Said notes what a node can. Nodes that the settings don't name don't count.
func (c *Cluster) Said(now unit.Instant, node string, f Form) {
	if _, ok := c.heard[node]; ok {
		c.heard[node] = heard{max(First, f), now}
	}
}

// Behind counts the nodes that have not said lately that they can what this one
// can. One that is out of reach counts.
func (c *Cluster) Behind(now unit.Instant) int {
	n := 0
	for _, h := range c.heard {
		if h.form < Newest || now.Sub(h.at) > fresh {
			n++
		}
	}
	return n
}

// Due tells whether a later form is to be stored as agreed on, and notes that it
// is being stored.
func (c *Cluster) Due(now unit.Instant) bool {
	if c.asked || c.stored || c.agreed < Newest && c.Behind(now) > 0 {
		return false
	}
	c.asked = true
	return true
}

// Settle takes in whether the agreement was stored.
func (c *Cluster) Settle(stored bool) {
	c.asked = false
	if stored {
		c.agreed, c.stored = max(c.agreed, Newest), true
	}
}

// Lowered takes in that the state service keeps to its later limits: it does so
// only once all nodes have the later version.
func (c *Cluster) Lowered() { c.agreed = max(c.agreed, Newest) }
