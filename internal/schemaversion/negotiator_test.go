package schemaversion

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

const now = clock.Instant(time.Hour)

// TestAgreement: the later form is used once every node has said lately that it
// can, and stays.
func TestAgreement(t *testing.T) {
	c := New([]string{"n1", "n2"}, 0)
	c.RecordReport(now, "n1", Latest)
	c.RecordReport(now, "n2", 0) // of the version before
	c.RecordReport(now, "who", Latest)
	if c.Propose(now) != 0 || c.Version() != First || c.BehindCount(now) != 1 {
		t.Fatal("agreed without a node")
	}
	late := now.Add(10 * time.Second)
	c.RecordReport(late, "n2", Latest)
	if c.Propose(late) != 0 {
		t.Error("agreed though a node was not heard lately")
	}
	c.RecordReport(late, "n1", Latest)
	if c.Propose(late) != Latest || c.Propose(late) != 0 || c.Version() != First {
		t.Fatal("the agreement must be stored once, before it is used")
	}
	c.Settle(false)
	if c.Version() != First || c.Propose(late) != Latest {
		t.Error("used although it was not stored, or not tried again")
	}
	c.Settle(true)
	c.RecordReport(late, "n1", 0) // a version from before has come back
	if c.Version() != Latest || c.Propose(late) != 0 {
		t.Error("taken back")
	}
	if New([]string{"n1"}, ChunkedJobs).Version() != ChunkedJobs {
		t.Error("a successor does not know")
	}
	if New(nil, 99).Version() != Latest {
		t.Error("a form was used that this program does not know")
	}
}

// TestReducedLimitsProveUpgrade: limits that come only after the upgrade show that it
// is over, also where a node is out of reach.
func TestReducedLimitsProveUpgrade(t *testing.T) {
	c := New([]string{"n1"}, 0)
	c.ObserveReducedLimits()
	if c.Version() != ChunkedJobs || c.Propose(now) != ChunkedJobs {
		t.Error("not used, or not stored")
	}
	c.Settle(true)
	if c.Version() != ChunkedJobs || c.Propose(now) != 0 {
		t.Error("a node that was not heard was taken for one that has this version")
	}
	c.RecordReport(now, "n1", Latest)
	if c.Propose(now) != Latest {
		t.Error("the newest form is not stored after the one before")
	}
}

// TestVersionThatAllNodesKnow: where nodes have versions in between, the latest form that
// all of them can is agreed on, and later ones after it.
func TestVersionThatAllNodesKnow(t *testing.T) {
	c := New([]string{"n1", "n2"}, 0)
	c.RecordReport(now, "n1", ChunkedJobs)
	c.RecordReport(now, "n2", Latest)
	if c.Propose(now) != ChunkedJobs {
		t.Fatal("the form that all have was not agreed on")
	}
	c.Settle(true)
	if c.Version() != ChunkedJobs || c.BehindCount(now) != 1 || c.Propose(now) != 0 {
		t.Errorf("form %d, %d nodes behind", c.Version(), c.BehindCount(now))
	}
	c.RecordReport(now, "n1", 99)
	if c.Propose(now) != Latest {
		t.Error("the newest form was not agreed on")
	}
}
