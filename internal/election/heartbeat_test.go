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

// newStandby returns a standby with a complete replica that has read the given keys at t0.
func newStandby(keys LeaderKeysRead) *Elector {
	standby := New("n0", heartbeatTiming, rand.New(rand.NewPCG(1, 2)))
	standby.SetNodes([]string{"n0", "n1"})
	standby.Step(t0, ReplicaState{Ready: true})
	standby.Step(t0, keys)
	return standby
}

func keysWithHeartbeat(nonce string, revision ident.Revision) LeaderKeysRead {
	return LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n1", Nonce: "x"}, Epoch: 5,
		Heartbeat: HeartbeatRecord{Node: "n1", Nonce: nonce, TTLMs: 2600}, HeartbeatRevision: revision}
}

// pollUntilCampaign passes the same keys to the standby every 250 ms for d and returns the time until it campaigned, or
// 0 if it did not.
func pollUntilCampaign(standby *Elector, from clock.Instant, d time.Duration, keys LeaderKeysRead) time.Duration {
	const pollInterval = 250 * time.Millisecond
	for elapsed := pollInterval; elapsed <= d; elapsed += pollInterval {
		for _, e := range standby.Step(from.Add(elapsed), keys) {
			if _, ok := e.(GrantLease); ok {
				return elapsed
			}
		}
	}
	return 0
}

// TestStandbyCampaignsAfterHeartbeatExpiry checks that a standby campaigns only after the leader's heartbeat has
// expired. A new heartbeat restarts the wait, and a heartbeat of another leader or with an invalid TTL never leads to a
// campaign.
func TestStandbyCampaignsAfterHeartbeatExpiry(t *testing.T) {
	silent := keysWithHeartbeat("x", 9)
	if d := pollUntilCampaign(newStandby(silent), t0, 6*time.Second, silent); d < 2600*time.Millisecond || d > 3*time.Second {
		t.Errorf("campaigned after %v, want 2.6 s to 3 s", d)
	}
	standby := newStandby(silent)
	standby.Step(t0.Add(2*time.Second), keysWithHeartbeat("x", 10))
	if d := pollUntilCampaign(standby, t0.Add(2*time.Second), 2500*time.Millisecond, keysWithHeartbeat("x", 10)); d != 0 {
		t.Errorf("campaigned %v after a new heartbeat, want no campaign within 2.5 s", d)
	}
	other := keysWithHeartbeat("of an earlier leader", 9)
	if d := pollUntilCampaign(newStandby(other), t0, 10*time.Second, other); d != 0 {
		t.Errorf("campaigned after %v although the heartbeat belongs to another leader", d)
	}
	for _, ttlMs := range []int64{0, -1, 1 << 40} {
		invalid := silent
		invalid.Heartbeat.TTLMs = ttlMs
		if d := pollUntilCampaign(newStandby(invalid), t0, 10*time.Second, invalid); d != 0 {
			t.Errorf("heartbeat TTL %d ms: campaigned after %v, want no campaign", ttlMs, d)
		}
	}
}

// TestStandbyAfterStateServiceOutage checks that a standby waits a full heartbeat TTL after an outage of the state
// service, because the leader could not write heartbeats during the outage either.
func TestStandbyAfterStateServiceOutage(t *testing.T) {
	silent := keysWithHeartbeat("x", 9)
	standby := newStandby(silent)
	back := t0.Add(20 * time.Second)
	if d := pollUntilCampaign(standby, back, 6*time.Second, silent); d < 2600*time.Millisecond {
		t.Errorf("campaigned %v after the outage, want at least 2.6 s", d)
	}
}

// TestStandbysAreStaggered checks that standbys that precede others in the failover order, and standbys with a complete
// replica, campaign before the others.
func TestStandbysAreStaggered(t *testing.T) {
	silent := keysWithHeartbeat("x", 9)
	ready := newStandby(silent)
	withoutReplica := newStandby(silent)
	withoutReplica.Step(t0, ReplicaState{Ready: false})
	last := newStandby(silent)
	last.SetNodes([]string{"n0", "n1", "n2", "n3"})
	first := pollUntilCampaign(ready, t0, 6*time.Second, silent)
	for name, standby := range map[string]*Elector{"without a replica": withoutReplica, "two places later in the order": last} {
		if d := pollUntilCampaign(standby, t0, 6*time.Second, silent); d <= first {
			t.Errorf("%s: campaigned after %v, want later than the first standby, after %v", name, d, first)
		}
	}
}

// TestFailoverIsConditionalOnHeartbeat checks that the transaction of a failover is conditional on the last heartbeat
// that was read, so that it fails if the leader has written another one.
func TestFailoverIsConditionalOnHeartbeat(t *testing.T) {
	silent := keysWithHeartbeat("x", 9)
	standby := newStandby(silent)
	d := pollUntilCampaign(standby, t0, 6*time.Second, silent)
	effects := standby.Step(t0.Add(d), LeaseGranted{OK: true, LeaseID: 3, SentAt: t0.Add(d)})
	acquire, ok := effects[0].(AcquireLeaderKey)
	if !ok || acquire.PrevEpoch != 5 || acquire.ExpectedHeartbeatRevision != 9 || acquire.Heartbeat == nil {
		t.Fatalf("got effects %+v, want an acquisition conditional on epoch 5 and heartbeat revision 9", effects)
	}
	standby.Step(t0.Add(d), LeaderKeyAcquired{Outcome: OutcomeRefused})
	if standby.IsLeader() || standby.Standby().BlockReason != FailoverConflict {
		t.Errorf("IsLeader %v, block reason %q after a rejected failover", standby.IsLeader(), standby.Standby().BlockReason)
	}
}
