package schemaversion

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

const now = clock.Instant(time.Hour)

// TestVersionIsAgreedAfterAllNodesReport checks that a later version is used only once every node has recently reported
// it and it is stored, and that it is never withdrawn.
func TestVersionIsAgreedAfterAllNodesReport(t *testing.T) {
	n := New([]string{"n1", "n2"}, 0)
	n.RecordReport(now, "n1", Latest)
	n.RecordReport(now, "n2", 0) // previous release, which reports no version
	n.RecordReport(now, "unconfigured", Latest)
	if n.Propose(now) != 0 || n.Version() != First || n.BehindCount(now) != 1 {
		t.Fatal("agreed although a node does not support the version")
	}
	late := now.Add(10 * time.Second)
	n.RecordReport(late, "n2", Latest)
	if n.Propose(late) != 0 {
		t.Error("agreed although a node has not reported recently")
	}
	n.RecordReport(late, "n1", Latest)
	if n.Propose(late) != Latest || n.Propose(late) != 0 || n.Version() != First {
		t.Fatal("the agreement must be stored once, before it is used")
	}
	n.CompleteProposal(false)
	if n.Version() != First || n.Propose(late) != Latest {
		t.Error("used although it was not stored, or not proposed again")
	}
	n.CompleteProposal(true)
	n.RecordReport(late, "n1", 0) // restarted with the previous release
	if n.Version() != Latest || n.Propose(late) != 0 {
		t.Error("the agreed version was withdrawn, or proposed again")
	}
	if New([]string{"n1"}, ChunkedJobs).Version() != ChunkedJobs {
		t.Error("a successor does not use the stored version")
	}
	if New(nil, 99).Version() != Latest {
		t.Error("a version is used that this release does not support")
	}
}

// TestReducedLimitsImplyUpgrade checks that reduced limits of the state service, which it enforces only after an
// upgrade of all nodes, allow ChunkedJobs even if a node is unreachable, but no later version.
func TestReducedLimitsImplyUpgrade(t *testing.T) {
	n := New([]string{"n1"}, 0)
	n.ObserveReducedLimits()
	if n.Version() != ChunkedJobs || n.Propose(now) != ChunkedJobs {
		t.Error("ChunkedJobs is not used or not proposed")
	}
	n.CompleteProposal(true)
	if n.Version() != ChunkedJobs || n.Propose(now) != 0 {
		t.Error("treated a node that has not reported as one of this release")
	}
	n.RecordReport(now, "n1", Latest)
	if n.Propose(now) != Latest {
		t.Error("the latest version is not proposed after ChunkedJobs")
	}
}

// TestLatestCommonVersionIsProposed checks that with nodes of intermediate releases the latest version that all of them
// support is agreed on, and later versions once all nodes support them.
func TestLatestCommonVersionIsProposed(t *testing.T) {
	n := New([]string{"n1", "n2"}, 0)
	n.RecordReport(now, "n1", ChunkedJobs)
	n.RecordReport(now, "n2", Latest)
	if n.Propose(now) != ChunkedJobs {
		t.Fatal("the latest version that all nodes support was not proposed")
	}
	n.CompleteProposal(true)
	if n.Version() != ChunkedJobs || n.BehindCount(now) != 1 || n.Propose(now) != 0 {
		t.Errorf("version %d, %d nodes behind", n.Version(), n.BehindCount(now))
	}
	n.RecordReport(now, "n1", 99)
	if n.Propose(now) != Latest {
		t.Error("the latest version was not proposed")
	}
}
