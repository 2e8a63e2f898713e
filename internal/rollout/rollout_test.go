package rollout

import (
	"testing"
	"time"

	"badgerbay/internal/unit"
)

const now = unit.Instant(time.Hour)

// TestAgreement: the later form is used once every node has said lately that it
// can, and stays.
func TestAgreement(t *testing.T) {
	c := New([]string{"n1", "n2"}, 0)
	c.Said(now, "n1", Newest)
	c.Said(now, "n2", 0) // of the version before
	c.Said(now, "who", Newest)
	if c.Due(now) || c.Form() != First || c.Behind(now) != 1 {
		t.Fatal("agreed without a node")
	}
	late := now.Add(10 * time.Second)
	c.Said(late, "n2", Newest)
	if c.Due(late) {
		t.Error("agreed though a node was not heard lately")
	}
	c.Said(late, "n1", Newest)
	if !c.Due(late) || c.Due(late) || c.Form() != First {
		t.Fatal("the agreement must be stored once, before it is used")
	}
	c.Settle(false)
	if c.Form() != First || !c.Due(late) {
		t.Error("used although it was not stored, or not tried again")
	}
	c.Settle(true)
	c.Said(late, "n1", 0) // a version from before has come back
	if c.Form() != Parts || c.Due(late) {
		t.Error("taken back")
	}
	if New([]string{"n1"}, Parts).Form() != Parts {
		t.Error("a successor does not know")
	}
	if New(nil, 99).Form() != Newest {
		t.Error("a form was used that this program does not know")
	}
}

// TestLoweredLimitsShowIt: limits that come only after the upgrade show that it
// is over, also where a node is out of reach.
func TestLoweredLimitsShowIt(t *testing.T) {
	c := New([]string{"n1"}, 0)
	c.Lowered()
	if c.Form() != Parts || !c.Due(now) {
		t.Error("not used, or not stored")
	}
}
