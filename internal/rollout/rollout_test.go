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
	c.Heard(now, "n1", Newest)
	c.Heard(now, "n2", 0) // of the version before
	c.Heard(now, "who", Newest)
	if c.Next(now) != 0 || c.Form() != First || c.Behind(now) != 1 {
		t.Fatal("agreed without a node")
	}
	late := now.Add(10 * time.Second)
	c.Heard(late, "n2", Newest)
	if c.Next(late) != 0 {
		t.Error("agreed though a node was not heard lately")
	}
	c.Heard(late, "n1", Newest)
	if c.Next(late) != Newest || c.Next(late) != 0 || c.Form() != First {
		t.Fatal("the agreement must be stored once, before it is used")
	}
	c.Settle(false)
	if c.Form() != First || c.Next(late) != Newest {
		t.Error("used although it was not stored, or not tried again")
	}
	c.Settle(true)
	c.Heard(late, "n1", 0) // a version from before has come back
	if c.Form() != Newest || c.Next(late) != 0 {
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
	if c.Form() != Parts || c.Next(now) != Parts {
		t.Error("not used, or not stored")
	}
	c.Settle(true)
	if c.Form() != Parts || c.Next(now) != 0 {
		t.Error("a node that was not heard was taken for one that has this version")
	}
	c.Heard(now, "n1", Newest)
	if c.Next(now) != Newest {
		t.Error("the newest form is not stored after the one before")
	}
}

// TestFormThatAllHave: where nodes have versions in between, the latest form that
// all of them can is agreed on, and later ones after it.
func TestFormThatAllHave(t *testing.T) {
	c := New([]string{"n1", "n2"}, 0)
	c.Heard(now, "n1", Parts)
	c.Heard(now, "n2", Newest)
	if c.Next(now) != Parts {
		t.Fatal("the form that all have was not agreed on")
	}
	c.Settle(true)
	if c.Form() != Parts || c.Behind(now) != 1 || c.Next(now) != 0 {
		t.Errorf("form %d, %d nodes behind", c.Form(), c.Behind(now))
	}
	c.Heard(now, "n1", 99)
	if c.Next(now) != Newest {
		t.Error("the newest form was not agreed on")
	}
}
