package leadership

import (
	"math/rand/v2"
	"testing"
	"time"

	"badgerbay/internal/unit"
)

const t0 = unit.Instant(time.Hour)

var times = Times{Life: 10 * time.Second, Renew: 3 * time.Second, Poll: 500 * time.Millisecond}

func machine() *Machine { return New("n0", times, rand.New(rand.NewPCG(1, 2))) }

// elect brings a machine to leadership at t0 with the epoch.
func elect(t *testing.T, epoch unit.Epoch) *Machine {
	t.Helper()
	m := machine()
	m.Step(t0, Tick{})
	if e := m.Step(t0, KeyRead{OK: true}); len(e) != 1 {
		t.Fatalf("no lease asked for: %v", e)
	}
	if e := m.Step(t0, Granted{OK: true, Tenure: 7, Sent: t0}); len(e) != 1 {
		t.Fatalf("the key is not set: %v", e)
	}
	m.Step(t0, Acquired{Outcome: OK, Epoch: epoch})
	if !m.Entitled(t0) || m.Epoch() != epoch {
		t.Fatal("not leading")
	}
	return m
}

func TestEntitlementEndsBeforeTheLease(t *testing.T) {
	m := elect(t, 5)
	if !m.Entitled(t0.Add(9500 * time.Millisecond)) {
		t.Error("entitlement ends far too soon")
	}
	if m.Entitled(t0.Add(9900 * time.Millisecond)) {
		t.Error("entitled up to the end of the lease, with no margin")
	}
	m.Step(t0.Add(3*time.Second), Renewed{Tenure: 7, Outcome: OK, Sent: t0.Add(2 * time.Second)})
	if m.Entitled(t0.Add(11900*time.Millisecond)) || !m.Entitled(t0.Add(11*time.Second)) {
		t.Error("a renewal must count from when it was sent")
	}
}

// TestLateRenewalGoesOn: the key was bound to the lease all along, so an owner
// whose renewal succeeds after its deadline was never deposed.
func TestLateRenewalGoesOn(t *testing.T) {
	m := elect(t, 5)
	late := t0.Add(25 * time.Second)
	m.Step(late, Renewed{Tenure: 7, Outcome: Unknown})
	if m.Entitled(late) || !m.Leads() {
		t.Fatal("must lead without being entitled")
	}
	m.Step(late, Renewed{Tenure: 7, Outcome: OK, Sent: late})
	if !m.Entitled(late) || m.Epoch() != 5 {
		t.Error("not entitled again after the renewal")
	}
	m.Step(late, Renewed{Tenure: 7, Outcome: Gone})
	if m.Leads() {
		t.Error("leads without a lease")
	}
}

// TestAnswersOfAnEarlierTerm: a renewal that was under way as leadership was lost is
// answered in the next term of the same node, and says nothing of its lease; nor does
// a raise of the token. With a slow state service such a renewal kept a leader
// entitled for 0.2 s after its successor had the key.
func TestAnswersOfAnEarlierTerm(t *testing.T) {
	m := elect(t, 5)
	m.Step(t0, Tick{}) // renews lease 7
	m.Step(t0, Deposed{})
	m.Step(t0, KeyRead{OK: true})
	m.Step(t0, Granted{OK: true, Tenure: 8, Sent: t0})
	m.Step(t0, Acquired{Outcome: OK, Epoch: 9})
	until := m.EntitledUntil()
	late := t0.Add(4 * time.Second)
	m.Step(late, Renewed{Tenure: 7, Outcome: OK, Sent: late})
	if m.EntitledUntil() != until {
		t.Error("entitled by the renewal of another lease")
	}
	m.Step(late, Renewed{Tenure: 7, Outcome: Gone})
	if !m.Leads() {
		t.Error("deposed by the end of another lease")
	}
	m.Step(late, RaiseToken{})
	m.Step(late, TokenSet{Prev: 5, Outcome: OK, Epoch: 6})
	if m.Epoch() != 9 || !m.Raising() {
		t.Errorf("epoch %d by the raise of an earlier term", m.Epoch())
	}
}

// TestLostAnswerIsReadBack: an acquisition without an answer counts only when
// the key is seen to hold this very attempt.
func TestLostAnswerIsReadBack(t *testing.T) {
	m := machine()
	m.Step(t0, KeyRead{OK: true})
	effects := m.Step(t0, Granted{OK: true, Tenure: 7, Sent: t0})
	mine := effects[0].(Acquire).Holder
	m.Step(t0, Acquired{Outcome: Unknown})
	if m.Leads() {
		t.Fatal("leads on a guess")
	}
	other := *m
	other.Step(t0, KeyRead{OK: true, Holder: Holder{Node: "n0", Nonce: "of an earlier process"}, Stamp: 4})
	if other.Leads() {
		t.Error("inherits the epoch of an earlier process")
	}
	m.Step(t0.Add(time.Second), KeyRead{OK: true, Holder: mine, Stamp: 9})
	if !m.Leads() || m.Epoch() != 9 {
		t.Error("does not know its own key")
	}
}

// TestRestartTakesOverAtOnce: the key of an earlier process of this node is
// taken over without waiting for its lease, under the guard of its stamp.
func TestRestartTakesOverAtOnce(t *testing.T) {
	m := machine()
	m.Step(t0, KeyRead{OK: true, Holder: Holder{Node: "n0", Nonce: "dead"}, Stamp: 40})
	effects := m.Step(t0, Granted{OK: true, Tenure: 8, Sent: t0})
	if a := effects[0].(Acquire); a.Prev != 40 {
		t.Errorf("guarded by %d, want the stamp of the dead process", a.Prev)
	}
	m2 := machine()
	if e := m2.Step(t0, KeyRead{OK: true, Holder: Holder{Node: "n1", Nonce: "alive"}, Stamp: 40}); e != nil {
		t.Errorf("stands against a live leader: %v", e)
	}
}

func TestRaiseTokenKeepsLeadership(t *testing.T) {
	m := elect(t, 5)
	e := m.Step(t0, RaiseToken{})
	if len(e) != 1 || e[0].(SetToken).Prev != 5 || !m.Raising() {
		t.Fatalf("effects %v", e)
	}
	if again := m.Step(t0, RaiseToken{}); again != nil {
		t.Error("two raises at once")
	}
	m.Step(t0, TokenSet{Prev: 5, Outcome: OK, Epoch: 12})
	if m.Epoch() != 12 || m.Raising() || !m.Entitled(t0) {
		t.Error("the raise did not take")
	}
}

func TestResignRests(t *testing.T) {
	m := elect(t, 5)
	e := m.Step(t0, Resign{Cooldown: 20 * time.Second})
	if len(e) != 1 || e[0].(Release).Tenure != 7 || m.Leads() {
		t.Fatalf("effects %v", e)
	}
	if e := m.Step(t0.Add(time.Second), KeyRead{OK: true}); e != nil {
		t.Error("stands again at once")
	}
	if e := m.Step(t0.Add(21*time.Second), KeyRead{OK: true}); len(e) != 1 {
		t.Error("does not stand after its rest")
	}
}

// TestHandOver: the heir acquires a key that names it at once, whoever else
// looks on; the one that handed over is entitled no more.
func TestHandOver(t *testing.T) {
	m := elect(t, 5)
	effects := m.Step(t0, Resign{Cooldown: time.Minute, Heir: "n1"})
	if m.Leads() || len(effects) != 1 {
		t.Fatalf("leads %v after %v", m.Leads(), effects)
	}
	over, ok := effects[0].(HandOver)
	if !ok || over.Prev != 5 || over.Holder.Node != "n1" || over.Tenure != 7 {
		t.Fatalf("%+v", effects[0])
	}
	seen := KeyRead{OK: true, Holder: over.Holder, Stamp: 6}
	other := New("n2", times, rand.New(rand.NewPCG(3, 4)))
	if e := other.Step(t0, seen); len(e) != 0 {
		t.Errorf("another node stands: %v", e)
	}
	heir := New("n1", times, rand.New(rand.NewPCG(5, 6)))
	if e := heir.Step(t0, seen); len(e) != 1 {
		t.Fatal("the heir does not stand")
	}
	// One that rests itself takes what is handed to it, and nothing else.
	rests := elect(t, 4)
	rests.Step(t0, Resign{Cooldown: time.Minute, Heir: "n1"})
	if e := rests.Step(t0, KeyRead{OK: true}); len(e) != 0 {
		t.Error("stands while it rests")
	}
	if e := rests.Step(t0, KeyRead{OK: true, Holder: Holder{Node: "n0", Nonce: "x"}, Stamp: 9}); len(e) != 1 {
		t.Error("leaves a key that was handed to it")
	}
	acquire := heir.Step(t0, Granted{OK: true, Tenure: 8, Sent: t0})
	if a, ok := acquire[0].(Acquire); !ok || a.Prev != 6 {
		t.Errorf("%+v", acquire)
	}
}
