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
	// Staged: a round's record may continue in parts and name the attempts of its
	// starts; a job's record may be written in several transactions.
	Staged Form = 3
	// Newest is what this program can.
	Newest = Staged
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
	agreed Form // what may be used
	stored Form // what a successor finds
	asked  Form // what is being stored; 0: nothing
}

type heard struct {
	form Form
	at   unit.Instant
}

// New returns the cluster of the peers, with what is stored; 0: nothing.
func New(peers []string, stored Form) *Cluster {
	c := &Cluster{heard: map[string]heard{}, agreed: max(First, stored), stored: stored}
	for _, p := range peers {
		c.heard[p] = heard{}
	}
	return c
}

// Form is the form that may be used.
func (c *Cluster) Form() Form { return min(c.agreed, Newest) }

// Heard notes what a node can. Nodes that the settings don't name don't count.
func (c *Cluster) Heard(now unit.Instant, node string, f Form) {
	if _, ok := c.heard[node]; ok {
		c.heard[node] = heard{max(First, f), now}
	}
}

// Behind counts the nodes that have not said lately that they can what this one
// can. One that is out of reach counts.
func (c *Cluster) Behind(now unit.Instant) int {
	n := 0
	for _, h := range c.heard {
		if h.formAt(now) < Newest {
			n++
		}
	}
	return n
}

// formAt is the form that the node surely can at now.
func (h heard) formAt(now unit.Instant) Form {
	if now.Sub(h.at) > fresh {
		return First
	}
	return max(First, h.form)
}

// common is the latest form that all nodes have lately said that they can.
func (c *Cluster) common(now unit.Instant) Form {
	form := Newest
	for _, h := range c.heard {
		form = min(form, h.formAt(now))
	}
	return form
}

// Next is a later form that is to be stored as agreed on, and notes that it is
// being stored; 0: there is none.
func (c *Cluster) Next(now unit.Instant) Form {
	form := max(c.agreed, c.common(now))
	if c.asked != 0 || form <= max(First, c.stored) {
		return 0
	}
	c.asked = form
	return form
}

// Settle takes in whether the form that was asked for was stored.
func (c *Cluster) Settle(stored bool) {
	if stored {
		c.agreed, c.stored = max(c.agreed, c.asked), c.asked
	}
	c.asked = 0
}

// Lowered takes in that the state service keeps to its later limits: it does so
// only once all nodes have a version that knows them. They need not have this one.
func (c *Cluster) Lowered() { c.agreed = max(c.agreed, Parts) }
