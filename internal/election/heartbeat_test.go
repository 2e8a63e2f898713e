package election

import (
	"math/rand/v2"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

var heartbeatTiming = Timing{LeaseTTL: 6 * time.Second, RenewInterval: 1500 * time.Millisecond, PollInterval: 500 * time.Millisecond,
	Heartbeat: HeartbeatTiming{Interval: 800 * time.Millisecond, TTL: 2600 * time.Millisecond, PollInterval: 250 * time.Millisecond}}

// newStandby returns a standby that has read the leader n1 with a heartbeat at t0.
func newStandby(seen LeaderKeysRead) *Elector {
	standby := New("n0", heartbeatTiming, rand.New(rand.NewPCG(1, 2)))
	standby.SetNodes([]string{"n0", "n1"})
	standby.Step(t0, ReplicaState{Ready: true})
	standby.Step(t0, seen)
	return standby
}

func keysWithHeartbeat(nonce string, revision ident.Revision) LeaderKeysRead {
	return LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n1", Nonce: "x"}, Epoch: 5,
		Heartbeat: HeartbeatRecord{Node: "n1", Nonce: nonce, TTLMs: 2600}, HeartbeatRevision: revision}
}

// pollUntilCampaign lets a standby read the same keys every quarter of a second for d, and
// returns how long it took until it campaigned; 0: it did not.
func pollUntilCampaign(standby *Elector, from clock.Instant, d time.Duration, seen LeaderKeysRead) time.Duration {
	const pause = 250 * time.Millisecond
	for past := pause; past <= d; past += pause {
		for _, e := range standby.Step(from.Add(past), seen) {
			if _, ok := e.(GrantLease); ok {
				return past
			}
		}
	}
	return 0
}

func TestStandbyWaitsForFailedHeartbeats(t *testing.T) {
	silent := keysWithHeartbeat("x", 9)
	if d := pollUntilCampaign(newStandby(silent), t0, 6*time.Second, silent); d < 2600*time.Millisecond || d > 3*time.Second {
		t.Errorf("campaigned after %v", d)
	}
	standby := newStandby(silent)
	standby.Step(t0.Add(2*time.Second), keysWithHeartbeat("x", 10))
	if d := pollUntilCampaign(standby, t0.Add(2*time.Second), 2500*time.Millisecond, keysWithHeartbeat("x", 10)); d != 0 {
		t.Errorf("a heartbeat was read, and it campaigned %v after that", d)
	}
	other := keysWithHeartbeat("of an earlier leader", 9)
	if d := pollUntilCampaign(newStandby(other), t0, 10*time.Second, other); d != 0 {
		t.Errorf("the heartbeat is not the leader's, and it campaigned after %v", d)
	}
	for _, ttlMs := range []int64{0, -1, 1 << 40} {
		odd := silent
		odd.Heartbeat.TTLMs = ttlMs
		if d := pollUntilCampaign(newStandby(odd), t0, 10*time.Second, odd); d != 0 {
			t.Errorf("TTL %d ms: campaigned after %v", ttlMs, d)
		}
	}
}

// TestStandbyAfterStateServiceOutage: what a standby could not read proves nothing. The leader
// could not write meanwhile, and is given the time to do so.
func TestStandbyAfterStateServiceOutage(t *testing.T) {
	silent := keysWithHeartbeat("x", 9)
	standby := newStandby(silent)
	back := t0.Add(20 * time.Second)
	if d := pollUntilCampaign(standby, back, 6*time.Second, silent); d < 2600*time.Millisecond {
		t.Errorf("campaigned %v after the outage", d)
	}
}

// TestStandbysAreStaggered: those that come first in order, and those that have a
// replica, go first.
func TestStandbysAreStaggered(t *testing.T) {
	silent := keysWithHeartbeat("x", 9)
	ready := newStandby(silent)
	cold := newStandby(silent)
	cold.Step(t0, ReplicaState{Ready: false})
	last := newStandby(silent)
	last.SetNodes([]string{"n0", "n1", "n2", "n3"})
	first := pollUntilCampaign(ready, t0, 6*time.Second, silent)
	for what, standby := range map[string]*Elector{"without a replica": cold, "two places behind": last} {
		if d := pollUntilCampaign(standby, t0, 6*time.Second, silent); d <= first {
			t.Errorf("%s: campaigned after %v, the first after %v", what, d, first)
		}
	}
}

// TestFailoverIsConditionalOnHeartbeat: the transaction fails if the leader was heard again.
func TestFailoverIsConditionalOnHeartbeat(t *testing.T) {
	silent := keysWithHeartbeat("x", 9)
	standby := newStandby(silent)
	d := pollUntilCampaign(standby, t0, 6*time.Second, silent)
	effects := standby.Step(t0.Add(d), LeaseGranted{OK: true, LeaseID: 3, SentAt: t0.Add(d)})
	acquire, ok := effects[0].(AcquireLeaderKey)
	if !ok || acquire.PrevEpoch != 5 || acquire.ExpectedHeartbeatRevision != 9 || acquire.Heartbeat == nil {
		t.Fatalf("%+v", effects)
	}
	standby.Step(t0.Add(d), LeaderKeyAcquired{Outcome: OutcomeRefused})
	if standby.IsLeader() || standby.Standby().BlockReason != FailoverConflict {
		t.Errorf("leads %v, blocked by %q", standby.IsLeader(), standby.Standby().BlockReason)
	}
}
