// Package schemaversion decides which schema version of records and messages the cluster
// may use while nodes of different releases serve side by side. Nodes report the latest
// version that they know; a leader uses a later one only once every configured node has
// reported it, and stores that, so that it is never taken back. Carrying the reports,
// storing the agreement and encoding by it are left to the callers.
package schemaversion

import (
	"time"

	"badgerbay/internal/clock"
)

// Key is the key under which the agreed version is stored.
const Key = "form"

// Version numbers the forms of what nodes store and say to each other.
type Version int

const (
	// First is what nodes know that report nothing.
	First Version = 1
	// ChunkedJobs lets a job's record be compressed, and continue in numbered chunks.
	ChunkedJobs Version = 2
	// ChunkedRounds lets a round's record continue in chunks and name the attempts of its
	// starts, and a job's record be written in several transactions.
	ChunkedRounds Version = 3
	// Latest is the latest version that this program knows.
	Latest = ChunkedRounds
)

// Agreement is the value of Key.
type Agreement struct {
	Version Version `msgpack:"form" json:"form"`
}

// reportMaxAge is how long a node's report counts. A process that ends before its upgrade
// comes back with the old release.
const reportMaxAge = 5 * time.Second

// Negotiator is what a leader knows of the versions that the other nodes know.
type Negotiator struct {
	reports map[string]versionReport // by node name
	agreed  Version                  // may be used
	stored  Version                  // a successor finds it; 0: none
	pending Version                  // is being stored; 0: none
}

// versionReport is the latest version that a node said it knows.
type versionReport struct {
	version    Version
	receivedAt clock.Instant
}

// New returns the negotiator of a leader with the given other nodes. stored is the version
// that an earlier leader stored; 0: none.
func New(nodes []string, stored Version) *Negotiator {
	n := &Negotiator{reports: map[string]versionReport{}, agreed: max(First, stored), stored: stored}
	for _, node := range nodes {
		n.reports[node] = versionReport{}
	}
	return n
}

// Version is the version that may be used.
func (n *Negotiator) Version() Version { return min(n.agreed, Latest) }

// RecordReport notes the latest version that a node knows. Nodes that are not configured
// don't count.
func (n *Negotiator) RecordReport(now clock.Instant, node string, version Version) {
	if _, configured := n.reports[node]; configured {
		n.reports[node] = versionReport{version: max(First, version), receivedAt: now}
	}
}

// BehindCount counts the nodes that have not reported lately that they know what this one
// knows. One that is out of reach counts.
func (n *Negotiator) BehindCount(now clock.Instant) int {
	behind := 0
	for _, report := range n.reports {
		if report.versionAt(now) < Latest {
			behind++
		}
	}
	return behind
}

// versionAt is the version that the node surely knows at now.
func (r versionReport) versionAt(now clock.Instant) Version {
	if now.Sub(r.receivedAt) > reportMaxAge {
		return First
	}
	return max(First, r.version)
}

// commonVersion is the latest version that all nodes have lately reported.
func (n *Negotiator) commonVersion(now clock.Instant) Version {
	common := Latest
	for _, report := range n.reports {
		common = min(common, report.versionAt(now))
	}
	return common
}

// Propose returns a later version that is to be stored as agreed, which the caller does
// and then calls Settle, or 0.
func (n *Negotiator) Propose(now clock.Instant) Version {
	version := max(n.agreed, n.commonVersion(now))
	if n.pending != 0 || version <= max(First, n.stored) {
		return 0
	}
	n.pending = version
	return version
}

// Settle notes whether the proposed version was stored.
func (n *Negotiator) Settle(stored bool) {
	if stored {
		n.agreed, n.stored = max(n.agreed, n.pending), n.pending
	}
	n.pending = 0
}

// ObserveReducedLimits notes that the state service enforces its later limits: it does so
// only once all nodes have a release that knows them, though perhaps not this one.
func (n *Negotiator) ObserveReducedLimits() { n.agreed = max(n.agreed, ChunkedJobs) }
