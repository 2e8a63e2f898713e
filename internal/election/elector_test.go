package election

import (
	"math/rand/v2"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const t0 = clock.Instant(time.Hour)

var leaseTiming = Timing{LeaseTTL: 10 * time.Second, RenewInterval: 3 * time.Second, PollInterval: 500 * time.Millisecond}

func newElector() *Elector { return New("n0", leaseTiming, rand.New(rand.NewPCG(1, 2))) }

// newLeader returns an elector that leads since t0 under the epoch.
func newLeader(t *testing.T, epoch ident.Epoch) *Elector {
	t.Helper()
	elector := newElector()
	elector.Step(t0, Tick{})
	if e := elector.Step(t0, LeaderKeysRead{OK: true}); len(e) != 1 {
		t.Fatalf("no lease requested: %v", e)
	}
	if e := elector.Step(t0, LeaseGranted{OK: true, LeaseID: 7, SentAt: t0}); len(e) != 1 {
		t.Fatalf("the leader key is not set: %v", e)
	}
	elector.Step(t0, LeaderKeyAcquired{Outcome: OutcomeOK, Epoch: epoch})
	if !elector.LeaseValid(t0) || elector.Epoch() != epoch {
		t.Fatal("not leading")
	}
	return elector
}

func TestLeaderStopsBeforeItsLeaseEnds(t *testing.T) {
	elector := newLeader(t, 5)
	if !elector.LeaseValid(t0.Add(9500 * time.Millisecond)) {
		t.Error("stops acting far too soon")
	}
	if elector.LeaseValid(t0.Add(9900 * time.Millisecond)) {
		t.Error("acts up to the end of the lease, with no margin")
	}
	elector.Step(t0.Add(3*time.Second), LeaseRenewed{LeaseID: 7, Outcome: OutcomeOK, SentAt: t0.Add(2 * time.Second)})
	if elector.LeaseValid(t0.Add(11900*time.Millisecond)) || !elector.LeaseValid(t0.Add(11*time.Second)) {
		t.Error("a renewal must count from when it was sent")
	}
}

// TestLateRenewalKeepsLeadership: the key was bound to the lease all along, so a leader
// whose renewal succeeds after its deadline has not lost its leadership.
func TestLateRenewalKeepsLeadership(t *testing.T) {
	elector := newLeader(t, 5)
	late := t0.Add(25 * time.Second)
	elector.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeUnknown})
	if elector.LeaseValid(late) || !elector.IsLeader() {
		t.Fatal("must hold the key without acting")
	}
	elector.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeOK, SentAt: late})
	if !elector.LeaseValid(late) || elector.Epoch() != 5 {
		t.Error("does not act again after the renewal")
	}
	elector.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeGone})
	if elector.IsLeader() {
		t.Error("leads without a lease")
	}
}

// TestAnswersOfAnEarlierTerm: a renewal that was under way as leadership was lost is
// answered in the next term of the same node, and says nothing of its lease; nor does
// an advance of the epoch. With a slow state service such a renewal let a leader act
// for 0.2 s after its successor had the key.
func TestAnswersOfAnEarlierTerm(t *testing.T) {
	elector := newLeader(t, 5)
	elector.Step(t0, Tick{}) // renews lease 7
	elector.Step(t0, LeadershipLost{})
	elector.Step(t0, LeaderKeysRead{OK: true})
	elector.Step(t0, LeaseGranted{OK: true, LeaseID: 8, SentAt: t0})
	elector.Step(t0, LeaderKeyAcquired{Outcome: OutcomeOK, Epoch: 9})
	until := elector.LeaseValidUntil()
	late := t0.Add(4 * time.Second)
	elector.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeOK, SentAt: late})
	if elector.LeaseValidUntil() != until {
		t.Error("acts by the renewal of another lease")
	}
	elector.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeGone})
	if !elector.IsLeader() {
		t.Error("steps down by the end of another lease")
	}
	elector.Step(late, AdvanceEpoch{})
	elector.Step(late, LeaderKeyRewritten{PrevEpoch: 5, Outcome: OutcomeOK, Epoch: 6})
	if elector.Epoch() != 9 || !elector.AdvancingEpoch() {
		t.Errorf("epoch %d by the advance of an earlier term", elector.Epoch())
	}
}

// TestLostAnswerIsReadBack: an acquisition without an answer counts only when
// the key is seen to hold this very attempt.
func TestLostAnswerIsReadBack(t *testing.T) {
	elector := newElector()
	elector.Step(t0, LeaderKeysRead{OK: true})
	effects := elector.Step(t0, LeaseGranted{OK: true, LeaseID: 7, SentAt: t0})
	mine := effects[0].(AcquireLeaderKey).Leader
	elector.Step(t0, LeaderKeyAcquired{Outcome: OutcomeUnknown})
	if elector.IsLeader() {
		t.Fatal("leads on an unknown outcome")
	}
	other := *elector
	other.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n0", Nonce: "of an earlier process"}, Epoch: 4})
	if other.IsLeader() {
		t.Error("inherits the epoch of an earlier process")
	}
	elector.Step(t0.Add(time.Second), LeaderKeysRead{OK: true, Leader: mine, Epoch: 9})
	if !elector.IsLeader() || elector.Epoch() != 9 {
		t.Error("does not know its own key")
	}
}

// TestRestartTakesOverAtOnce: the key of an earlier process of this node is
// taken over without waiting for its lease, on condition of its epoch.
func TestRestartTakesOverAtOnce(t *testing.T) {
	elector := newElector()
	elector.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n0", Nonce: "dead"}, Epoch: 40})
	effects := elector.Step(t0, LeaseGranted{OK: true, LeaseID: 8, SentAt: t0})
	if a := effects[0].(AcquireLeaderKey); a.PrevEpoch != 40 {
		t.Errorf("conditional on %d, want the epoch of the dead process", a.PrevEpoch)
	}
	live := newElector()
	if e := live.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n1", Nonce: "alive"}, Epoch: 40}); e != nil {
		t.Errorf("campaigns against a live leader: %v", e)
	}
}

func TestAdvancedEpochKeepsLeadership(t *testing.T) {
	elector := newLeader(t, 5)
	e := elector.Step(t0, AdvanceEpoch{})
	if len(e) != 1 || e[0].(RewriteLeaderKey).PrevEpoch != 5 || !elector.AdvancingEpoch() {
		t.Fatalf("effects %v", e)
	}
	if again := elector.Step(t0, AdvanceEpoch{}); again != nil {
		t.Error("advances the epoch twice at once")
	}
	elector.Step(t0, LeaderKeyRewritten{PrevEpoch: 5, Outcome: OutcomeOK, Epoch: 12})
	if elector.Epoch() != 12 || elector.AdvancingEpoch() || !elector.LeaseValid(t0) {
		t.Error("the epoch was not advanced")
	}
}

func TestResignedLeaderCoolsDown(t *testing.T) {
	elector := newLeader(t, 5)
	e := elector.Step(t0, Resign{Cooldown: 20 * time.Second})
	if len(e) != 1 || e[0].(RevokeLease).LeaseID != 7 || elector.IsLeader() {
		t.Fatalf("effects %v", e)
	}
	if e := elector.Step(t0.Add(time.Second), LeaderKeysRead{OK: true}); e != nil {
		t.Error("campaigns again at once")
	}
	if e := elector.Step(t0.Add(21*time.Second), LeaderKeysRead{OK: true}); len(e) != 1 {
		t.Error("does not campaign after its cooldown")
	}
}

// TestLeadershipTransfer: the transferee acquires a key that names it at once, whoever else
// reads it; the leader that transferred it acts no more.
func TestLeadershipTransfer(t *testing.T) {
	elector := newLeader(t, 5)
	effects := elector.Step(t0, Resign{Cooldown: time.Minute, Transferee: "n1"})
	if elector.IsLeader() || len(effects) != 1 {
		t.Fatalf("leads %v after %v", elector.IsLeader(), effects)
	}
	transfer, ok := effects[0].(TransferLeadership)
	if !ok || transfer.PrevEpoch != 5 || transfer.Transferee.Node != "n1" || transfer.LeaseID != 7 {
		t.Fatalf("%+v", effects[0])
	}
	seen := LeaderKeysRead{OK: true, Leader: transfer.Transferee, Epoch: 6}
	other := New("n2", leaseTiming, rand.New(rand.NewPCG(3, 4)))
	if e := other.Step(t0, seen); len(e) != 0 {
		t.Errorf("another node campaigns: %v", e)
	}
	transferee := New("n1", leaseTiming, rand.New(rand.NewPCG(5, 6)))
	if e := transferee.Step(t0, seen); len(e) != 1 {
		t.Fatal("the transferee does not campaign")
	}
	// One that cools down takes what is transferred to it, and nothing else.
	resigned := newLeader(t, 4)
	resigned.Step(t0, Resign{Cooldown: time.Minute, Transferee: "n1"})
	if e := resigned.Step(t0, LeaderKeysRead{OK: true}); len(e) != 0 {
		t.Error("campaigns during its cooldown")
	}
	if e := resigned.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n0", Nonce: "x"}, Epoch: 9}); len(e) != 1 {
		t.Error("leaves a key that was transferred to it")
	}
	acquire := transferee.Step(t0, LeaseGranted{OK: true, LeaseID: 8, SentAt: t0})
	if a, ok := acquire[0].(AcquireLeaderKey); !ok || a.PrevEpoch != 6 {
		t.Errorf("%+v", acquire)
	}
}
