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

// newLeader returns an elector that became leader at t0 under the given epoch.
func newLeader(t *testing.T, epoch ident.Epoch) *Elector {
	t.Helper()
	elector := newElector()
	elector.Step(t0, Tick{})
	if e := elector.Step(t0, LeaderKeysRead{OK: true}); len(e) != 1 {
		t.Fatalf("got effects %v, want a lease request", e)
	}
	if e := elector.Step(t0, LeaseGranted{OK: true, LeaseID: 7, SentAt: t0}); len(e) != 1 {
		t.Fatalf("got effects %v, want the acquisition of the leader key", e)
	}
	elector.Step(t0, LeaderKeyAcquired{Outcome: OutcomeOK, Epoch: epoch})
	if !elector.LeaseValid(t0) || elector.Epoch() != epoch {
		t.Fatal("the elector is not the leader under the given epoch")
	}
	return elector
}

// TestLeaseValidityEndsBeforeLeaseExpiry checks that a leader may act until shortly before its lease ends, and that a
// renewal extends the lease from the time at which it was sent. It guards against two leaders that act at the same
// time.
func TestLeaseValidityEndsBeforeLeaseExpiry(t *testing.T) {
	elector := newLeader(t, 5)
	if !elector.LeaseValid(t0.Add(9500 * time.Millisecond)) {
		t.Error("the lease is invalid 500 ms before its end")
	}
	if elector.LeaseValid(t0.Add(9900 * time.Millisecond)) {
		t.Error("the lease is valid 100 ms before its end, within the margin")
	}
	elector.Step(t0.Add(3*time.Second), LeaseRenewed{LeaseID: 7, Outcome: OutcomeOK, SentAt: t0.Add(2 * time.Second)})
	if elector.LeaseValid(t0.Add(11900*time.Millisecond)) || !elector.LeaseValid(t0.Add(11*time.Second)) {
		t.Error("the renewed lease is not counted from the time at which the renewal was sent")
	}
}

// TestLateRenewalKeepsLeadership checks that a leader whose renewal succeeds after its deadline keeps its leadership,
// since the leader key was bound to the lease throughout, and that it does not act between the deadline and the
// renewal.
func TestLateRenewalKeepsLeadership(t *testing.T) {
	elector := newLeader(t, 5)
	late := t0.Add(25 * time.Second)
	elector.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeUnknown})
	if elector.LeaseValid(late) || !elector.IsLeader() {
		t.Fatal("after the deadline the leader must keep its leadership without acting")
	}
	elector.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeOK, SentAt: late})
	if !elector.LeaseValid(late) || elector.Epoch() != 5 {
		t.Error("the lease is invalid after the renewal, or the epoch has changed")
	}
	elector.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeGone})
	if elector.IsLeader() {
		t.Error("still the leader after its lease has ended")
	}
}

// TestResponsesFromEarlierTermAreIgnored checks that a leader ignores responses to lease renewals and epoch advances
// that it sent in an earlier term. They arrive in the next term if leadership was lost while they were in flight, and
// concern another lease. With a slow state service such a renewal let a leader act for 0.2 s after its successor had
// acquired the leader key.
func TestResponsesFromEarlierTermAreIgnored(t *testing.T) {
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
		t.Error("the renewal of another lease extended the lease")
	}
	elector.Step(late, LeaseRenewed{LeaseID: 7, Outcome: OutcomeGone})
	if !elector.IsLeader() {
		t.Error("stepped down at the end of another lease")
	}
	elector.Step(late, AdvanceEpoch{})
	elector.Step(late, LeaderKeyRewritten{PrevEpoch: 5, Outcome: OutcomeOK, Epoch: 6})
	if elector.Epoch() != 9 || !elector.AdvancingEpoch() {
		t.Errorf("epoch %d after a response from an earlier term, want 9 with the advance pending", elector.Epoch())
	}
}

// TestUnknownAcquisitionOutcomeIsResolvedByRead checks that an acquisition with an unknown outcome makes the node
// leader only once a read of the leader key returns the nonce of this attempt. It guards against a process that adopts
// the epoch of an earlier process.
func TestUnknownAcquisitionOutcomeIsResolvedByRead(t *testing.T) {
	elector := newElector()
	elector.Step(t0, LeaderKeysRead{OK: true})
	effects := elector.Step(t0, LeaseGranted{OK: true, LeaseID: 7, SentAt: t0})
	attempt := effects[0].(AcquireLeaderKey).Leader
	elector.Step(t0, LeaderKeyAcquired{Outcome: OutcomeUnknown})
	if elector.IsLeader() {
		t.Fatal("became leader on an unknown outcome")
	}
	other := *elector
	other.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n0", Nonce: "of an earlier process"}, Epoch: 4})
	if other.IsLeader() {
		t.Error("adopted the epoch of an earlier process")
	}
	elector.Step(t0.Add(time.Second), LeaderKeysRead{OK: true, Leader: attempt, Epoch: 9})
	if !elector.IsLeader() || elector.Epoch() != 9 {
		t.Error("did not become leader although the key holds its nonce")
	}
}

// TestRestartedNodeReacquiresOwnKeyImmediately checks that a restarted node acquires a leader key written by its
// earlier process without waiting for the old lease to expire, on condition of the old epoch, and that it does not
// campaign against another leader.
func TestRestartedNodeReacquiresOwnKeyImmediately(t *testing.T) {
	elector := newElector()
	elector.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n0", Nonce: "dead"}, Epoch: 40})
	effects := elector.Step(t0, LeaseGranted{OK: true, LeaseID: 8, SentAt: t0})
	if a := effects[0].(AcquireLeaderKey); a.PrevEpoch != 40 {
		t.Errorf("conditional on epoch %d, want 40, the epoch of the ended process", a.PrevEpoch)
	}
	other := newElector()
	if e := other.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n1", Nonce: "alive"}, Epoch: 40}); e != nil {
		t.Errorf("got effects %v, want no campaign against a live leader", e)
	}
}

// TestAdvancedEpochKeepsLeadership checks that a leader advances its epoch without losing its leadership, with one
// request at a time.
func TestAdvancedEpochKeepsLeadership(t *testing.T) {
	elector := newLeader(t, 5)
	e := elector.Step(t0, AdvanceEpoch{})
	if len(e) != 1 || e[0].(RewriteLeaderKey).PrevEpoch != 5 || !elector.AdvancingEpoch() {
		t.Fatalf("effects %v", e)
	}
	if again := elector.Step(t0, AdvanceEpoch{}); again != nil {
		t.Error("a second advance was requested while one is pending")
	}
	elector.Step(t0, LeaderKeyRewritten{PrevEpoch: 5, Outcome: OutcomeOK, Epoch: 12})
	if elector.Epoch() != 12 || elector.AdvancingEpoch() || !elector.LeaseValid(t0) {
		t.Error("the epoch was not advanced to 12, or the leadership was lost")
	}
}

// TestResignedLeaderWaitsForCooldown checks that a leader that resigned does not campaign for an absent leader key
// before its cooldown has passed, and does so afterwards.
func TestResignedLeaderWaitsForCooldown(t *testing.T) {
	elector := newLeader(t, 5)
	e := elector.Step(t0, Resign{Cooldown: 20 * time.Second})
	if len(e) != 1 || e[0].(RevokeLease).LeaseID != 7 || elector.IsLeader() {
		t.Fatalf("effects %v", e)
	}
	if e := elector.Step(t0.Add(time.Second), LeaderKeysRead{OK: true}); e != nil {
		t.Error("campaigned during its cooldown")
	}
	if e := elector.Step(t0.Add(21*time.Second), LeaderKeysRead{OK: true}); len(e) != 1 {
		t.Error("did not campaign after its cooldown")
	}
}

// TestLeadershipTransfer checks that a leader that transfers its leadership stops acting, that the transferee acquires
// the key that names it as soon as it reads the key, and that no other node does.
func TestLeadershipTransfer(t *testing.T) {
	elector := newLeader(t, 5)
	effects := elector.Step(t0, Resign{Cooldown: time.Minute, Transferee: "n1"})
	if elector.IsLeader() || len(effects) != 1 {
		t.Fatalf("IsLeader %v after effects %v, want one effect and no leadership", elector.IsLeader(), effects)
	}
	transfer, ok := effects[0].(TransferLeadership)
	if !ok || transfer.PrevEpoch != 5 || transfer.Transferee.Node != "n1" || transfer.LeaseID != 7 {
		t.Fatalf("got effect %+v, want a transfer to n1", effects[0])
	}
	transferred := LeaderKeysRead{OK: true, Leader: transfer.Transferee, Epoch: 6}
	other := New("n2", leaseTiming, rand.New(rand.NewPCG(3, 4)))
	if e := other.Step(t0, transferred); len(e) != 0 {
		t.Errorf("a node other than the transferee campaigned: %v", e)
	}
	transferee := New("n1", leaseTiming, rand.New(rand.NewPCG(5, 6)))
	if e := transferee.Step(t0, transferred); len(e) != 1 {
		t.Fatal("the transferee did not campaign")
	}
	// During its cooldown a node acquires a key that was transferred to it, but no absent key.
	resigned := newLeader(t, 4)
	resigned.Step(t0, Resign{Cooldown: time.Minute, Transferee: "n1"})
	if e := resigned.Step(t0, LeaderKeysRead{OK: true}); len(e) != 0 {
		t.Error("campaigned for an absent key during its cooldown")
	}
	if e := resigned.Step(t0, LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n0", Nonce: "x"}, Epoch: 9}); len(e) != 1 {
		t.Error("did not campaign for a key that was transferred to it")
	}
	acquire := transferee.Step(t0, LeaseGranted{OK: true, LeaseID: 8, SentAt: t0})
	if a, ok := acquire[0].(AcquireLeaderKey); !ok || a.PrevEpoch != 6 {
		t.Errorf("got effects %+v, want an acquisition conditional on epoch 6", acquire)
	}
}
