// Package schemaversion decides which schema version of records and messages the cluster may use while nodes of
// different releases run at the same time. Nodes report the latest version that they support. The leader uses a later
// version only after every configured node has reported it, and stores the agreement so that the version never
// decreases. The callers transport the reports, store the agreement and encode records and messages in the agreed
// version.
package schemaversion

import (
	"time"

	"badgerbay/internal/clock"
)

// Key is the key under which the agreed version is stored.
const Key = "form"

// Version is a schema version of stored records and of messages between nodes.
type Version int

const (
	// First is the version that nodes support if they report none.
	First Version = 1
	// ChunkedJobs allows a job record to be compressed and to continue in numbered chunks.
	ChunkedJobs Version = 2
	// ChunkedRounds allows a round record to continue in chunks and to name the attempts of its starts, and allows a
	// job record to be written in several transactions.
	ChunkedRounds Version = 3
	// Latest is the latest version that this release supports.
	Latest = ChunkedRounds
)

// Agreement is the value of Key.
type Agreement struct {
	Version Version `msgpack:"form" json:"form"`
}

// reportMaxAge is how long a node's report is valid. Reports expire because a process that ends before its upgrade
// restarts with the old release.
const reportMaxAge = 5 * time.Second

// Negotiator tracks, on the leader, the versions that the other nodes support, and determines the version to use.
type Negotiator struct {
	reports map[string]versionReport // by node name
	agreed  Version                  // version that may be used
	stored  Version                  // version in the stored agreement, which a successor reads; 0: none
	pending Version                  // proposed version that is being stored; 0: none
}

// versionReport is a node's last report of the latest version that it supports.
type versionReport struct {
	version    Version
	receivedAt clock.Instant
}

// New returns the negotiator of a leader; nodes are the other configured nodes, and stored is the version that an
// earlier leader stored, or 0 if there is none.
func New(nodes []string, stored Version) *Negotiator {
	n := &Negotiator{reports: map[string]versionReport{}, agreed: max(First, stored), stored: stored}
	for _, node := range nodes {
		n.reports[node] = versionReport{}
	}
	return n
}

// Version returns the version that may be used.
func (n *Negotiator) Version() Version { return min(n.agreed, Latest) }

// RecordReport records a report of the latest version that a node supports. Reports of nodes that are not configured
// are ignored.
func (n *Negotiator) RecordReport(now clock.Instant, node string, version Version) {
	if _, configured := n.reports[node]; configured {
		n.reports[node] = versionReport{version: max(First, version), receivedAt: now}
	}
}

// BehindCount returns the number of nodes without a recent report that they support the latest version of this node.
// Unreachable nodes are counted too.
func (n *Negotiator) BehindCount(now clock.Instant) int {
	behind := 0
	for _, report := range n.reports {
		if report.versionAt(now) < Latest {
			behind++
		}
	}
	return behind
}

// versionAt returns the version that the node is known to support at now.
func (r versionReport) versionAt(now clock.Instant) Version {
	if now.Sub(r.receivedAt) > reportMaxAge {
		return First
	}
	return max(First, r.version)
}

// commonVersion returns the latest version that all nodes support according to their recent reports.
func (n *Negotiator) commonVersion(now clock.Instant) Version {
	common := Latest
	for _, report := range n.reports {
		common = min(common, report.versionAt(now))
	}
	return common
}

// Propose returns a later version that the caller must store as the agreement, or 0 if there is none or a proposal is
// pending. The caller then calls CompleteProposal.
func (n *Negotiator) Propose(now clock.Instant) Version {
	version := max(n.agreed, n.commonVersion(now))
	if n.pending != 0 || version <= max(First, n.stored) {
		return 0
	}
	n.pending = version
	return version
}

// CompleteProposal completes the pending proposal; stored is whether the proposed version was stored.
func (n *Negotiator) CompleteProposal(stored bool) {
	if stored {
		n.agreed, n.stored = max(n.agreed, n.pending), n.pending
	}
	n.pending = 0
}

// ObserveReducedLimits records that the state service enforces its reduced limits. It does so only once all nodes run a
// release that supports them, so ChunkedJobs may be used; those releases may be older than this one, so later versions
// may not.
func (n *Negotiator) ObserveReducedLimits() { n.agreed = max(n.agreed, ChunkedJobs) }
