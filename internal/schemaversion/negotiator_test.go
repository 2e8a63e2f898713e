package schemaversion

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

const now = clock.Instant(time.Hour)

// TestAgreement: a later version is used once every node has reported it lately, and stays.
func TestAgreement(t *testing.T) {
	n := New([]string{"n1", "n2"}, 0)
	n.RecordReport(now, "n1", Latest)
	n.RecordReport(now, "n2", 0) // of the release before
	n.RecordReport(now, "who", Latest)
	if n.Propose(now) != 0 || n.Version() != First || n.BehindCount(now) != 1 {
		t.Fatal("agreed without a node")
	}
	late := now.Add(10 * time.Second)
	n.RecordReport(late, "n2", Latest)
	if n.Propose(late) != 0 {
		t.Error("agreed though a node has not reported lately")
	}
	n.RecordReport(late, "n1", Latest)
	if n.Propose(late) != Latest || n.Propose(late) != 0 || n.Version() != First {
		t.Fatal("the agreement must be stored once, before it is used")
	}
	n.Settle(false)
	if n.Version() != First || n.Propose(late) != Latest {
		t.Error("used although it was not stored, or not tried again")
	}
	n.Settle(true)
	n.RecordReport(late, "n1", 0) // the release before has come back
	if n.Version() != Latest || n.Propose(late) != 0 {
		t.Error("taken back")
	}
	if New([]string{"n1"}, ChunkedJobs).Version() != ChunkedJobs {
		t.Error("a successor does not know")
	}
	if New(nil, 99).Version() != Latest {
		t.Error("a version is used that this program does not know")
	}
}

// TestReducedLimitsProveUpgrade: limits that come only after the upgrade show that it is over,
// also where a node is out of reach.
func TestReducedLimitsProveUpgrade(t *testing.T) {
	n := New([]string{"n1"}, 0)
	n.ObserveReducedLimits()
	if n.Version() != ChunkedJobs || n.Propose(now) != ChunkedJobs {
		t.Error("not used, or not stored")
	}
	n.Settle(true)
	if n.Version() != ChunkedJobs || n.Propose(now) != 0 {
		t.Error("a node that has not reported was taken for one of this release")
	}
	n.RecordReport(now, "n1", Latest)
	if n.Propose(now) != Latest {
		t.Error("the latest version is not stored after the one before")
	}
}

// TestVersionThatAllNodesKnow: where nodes have releases in between, the latest version
// that all of them know is agreed on, and later ones after it.
func TestVersionThatAllNodesKnow(t *testing.T) {
	n := New([]string{"n1", "n2"}, 0)
	n.RecordReport(now, "n1", ChunkedJobs)
	n.RecordReport(now, "n2", Latest)
	if n.Propose(now) != ChunkedJobs {
		t.Fatal("the version that all know was not agreed on")
	}
	n.Settle(true)
	if n.Version() != ChunkedJobs || n.BehindCount(now) != 1 || n.Propose(now) != 0 {
		t.Errorf("version %d, %d nodes behind", n.Version(), n.BehindCount(now))
	}
	n.RecordReport(now, "n1", 99)
	if n.Propose(now) != Latest {
		t.Error("the latest version was not agreed on")
	}
}
