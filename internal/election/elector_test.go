package election

import (
	"math/rand/v2"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const t0 = clock.Instant(time.Hour)

var times = Timing{LeaseTTL: 10 * time.Second, RenewInterval: 3 * time.Second, PollInterval: 500 * time.Millisecond}

func machine() *Elector { return New("n0", times, rand.New(rand.NewPCG(1, 2))) }

// elect brings a machine to leadership at t0 with the epoch.
func elect(t *testing.T, epoch ident.Epoch) *Elector {
	t.Helper()
	m := machine()
	m.Step(t0, Tick{})
	if e := m.Step(t0, LeaderKeysRead{OK: true}); len(e) != 1 {
		t.Fatalf("no lease asked for: %v", e)
	}
	if e := m.Step(t0, LeaseGranted{OK: true, LeaseID: 7, SentAt: t0}); len(e) != 1 {
		t.Fatalf("the key is not set: %v", e)
	}
	m.Step(t0, LeaderKeyAcquired{Outcome: OutcomeOK, Epoch: epoch})
	if !m.LeaseValid(t0) || m.Epoch() != epoch {
		t.Fatal("not leading")
	}
	return m
}

func TestEntitlementEndsBeforeTheLease(t *testing.T) {
	m := elect(t, 5)
	if !m.LeaseValid(t0.Add(9500 * time.Millisecond)) {
		t.Error("entitlement ends far too soon")
	}
	if m.LeaseValid(t0.Add(9900 * time.Millisecond)) {
		t.Error("entitled up to the end of the lease, with no margin")
	}
	m.Step(t0.Add(3*time.Second), LeaseRenewed{LeaseID: 7, Outcome: OutcomeOK, SentAt: t0.Add(2 * time.Second)})
	if m.LeaseValid(t0.Add(11900*time.Millisecond)) || !m.LeaseValid(t0.Add(11*time.Second)) {
		t.Error("a renewal must count from when it was sent")
	}
}

// TestLateRenewalGoesOn: the key was bound to the lease all along, so an owner
// whose renewal succeeds after its deadline was never deposed.
func TestLateRenewalGoesOn(t *testing.T) {
	m := elect(t, 5)
	late := t0.Add(25 * time.Second)
	m.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeUnknown})
	if m.LeaseValid(late) || !m.IsLeader() {
		t.Fatal("must lead without being entitled")
	}
	m.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeOK, SentAt: late})
	if !m.LeaseValid(late) || m.Epoch() != 5 {
		t.Error("not entitled again after the renewal")
	}
	m.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeGone})
	if m.IsLeader() {
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
	m.Step(t0, LeadershipLost{})
	m.Step(t0, LeaderKeysRead{OK: true})
	m.Step(t0, LeaseGranted{OK: true, LeaseID: 8, SentAt: t0})
	m.Step(t0, LeaderKeyAcquired{Outcome: OutcomeOK, Epoch: 9})
	until := m.LeaseValidUntil()
	late := t0.Add(4 * time.Second)
	m.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeOK, SentAt: late})
	if m.LeaseValidUntil() != until {
		t.Error("entitled by the renewal of another lease")
	}
	m.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeGone})
	if !m.IsLeader() {
		t.Error("deposed by the end of another lease")
	}
	m.Step(late, AdvanceEpoch{})
	m.Step(late, LeaderKeyRewritten{PrevEpoch: 5, Outcome: OutcomeOK, Epoch: 6})
	if m.Epoch() != 9 || !m.AdvancingEpoch() {
		t.Errorf("epoch %d by the raise of an earlier term", m.Epoch())
	}
}

// TestLostAnswerIsReadBack: an acquisition without an answer counts only when
// the key is seen to hold this very attempt.
func TestLostAnswerIsReadBack(t *testing.T) {
	m := machine()
	m.Step(t0, LeaderKeysRead{OK: true})
	effects := m.Step(t0, LeaseGranted{OK: true, LeaseID: 7, SentAt: t0})
	mine := effects[0].(AcquireLeaderKey).Leader
	m.Step(t0, LeaderKeyAcquired{Outcome: OutcomeUnknown})
	if m.IsLeader() {
		t.Fatal("leads on a guess")
	}
	other := *m
	other.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n0", Nonce: "of an earlier process"}, Epoch: 4})
	if other.IsLeader() {
		t.Error("inherits the epoch of an earlier process")
	}
	m.Step(t0.Add(time.Second), LeaderKeysRead{OK: true, Leader: mine, Epoch: 9})
	if !m.IsLeader() || m.Epoch() != 9 {
		t.Error("does not know its own key")
	}
}

// TestRestartTakesOverAtOnce: the key of an earlier process of this node is
// taken over without waiting for its lease, under the guard of its stamp.
func TestRestartTakesOverAtOnce(t *testing.T) {
	m := machine()
	m.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n0", Nonce: "dead"}, Epoch: 40})
	effects := m.Step(t0, LeaseGranted{OK: true, LeaseID: 8, SentAt: t0})
	if a := effects[0].(AcquireLeaderKey); a.PrevEpoch != 40 {
		t.Errorf("guarded by %d, want the stamp of the dead process", a.PrevEpoch)
	}
	m2 := machine()
	if e := m2.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n1", Nonce: "alive"}, Epoch: 40}); e != nil {
		t.Errorf("stands against a live leader: %v", e)
	}
}

func TestRaiseTokenKeepsLeadership(t *testing.T) {
	m := elect(t, 5)
	e := m.Step(t0, AdvanceEpoch{})
	if len(e) != 1 || e[0].(RewriteLeaderKey).PrevEpoch != 5 || !m.AdvancingEpoch() {
		t.Fatalf("effects %v", e)
	}
	if again := m.Step(t0, AdvanceEpoch{}); again != nil {
		t.Error("two raises at once")
	}
	m.Step(t0, LeaderKeyRewritten{PrevEpoch: 5, Outcome: OutcomeOK, Epoch: 12})
	if m.Epoch() != 12 || m.AdvancingEpoch() || !m.LeaseValid(t0) {
		t.Error("the raise did not take")
	}
}

func TestResignRests(t *testing.T) {
	m := elect(t, 5)
	e := m.Step(t0, Resign{Cooldown: 20 * time.Second})
	if len(e) != 1 || e[0].(RevokeLease).LeaseID != 7 || m.IsLeader() {
		t.Fatalf("effects %v", e)
	}
	if e := m.Step(t0.Add(time.Second), LeaderKeysRead{OK: true}); e != nil {
		t.Error("stands again at once")
	}
	if e := m.Step(t0.Add(21*time.Second), LeaderKeysRead{OK: true}); len(e) != 1 {
		t.Error("does not stand after its rest")
	}
}

// TestHandOver: the heir acquires a key that names it at once, whoever else
// looks on; the one that handed over is entitled no more.
func TestHandOver(t *testing.T) {
	m := elect(t, 5)
	effects := m.Step(t0, Resign{Cooldown: time.Minute, Transferee: "n1"})
	if m.IsLeader() || len(effects) != 1 {
		t.Fatalf("leads %v after %v", m.IsLeader(), effects)
	}
	over, ok := effects[0].(TransferLeadership)
	if !ok || over.PrevEpoch != 5 || over.Transferee.Node != "n1" || over.LeaseID != 7 {
		t.Fatalf("%+v", effects[0])
	}
	seen := LeaderKeysRead{OK: true, Leader: over.Transferee, Epoch: 6}
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
	rests.Step(t0, Resign{Cooldown: time.Minute, Transferee: "n1"})
	if e := rests.Step(t0, LeaderKeysRead{OK: true}); len(e) != 0 {
		t.Error("stands while it rests")
	}
	if e := rests.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n0", Nonce: "x"}, Epoch: 9}); len(e) != 1 {
		t.Error("leaves a key that was handed to it")
	}
	acquire := heir.Step(t0, LeaseGranted{OK: true, LeaseID: 8, SentAt: t0})
	if a, ok := acquire[0].(AcquireLeaderKey); !ok || a.PrevEpoch != 6 {
		t.Errorf("%+v", acquire)
	}
}
