package election

import (
	"math/rand/v2"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

var withHeartbeats = Timing{LeaseTTL: 6 * time.Second, RenewInterval: 1500 * time.Millisecond, PollInterval: 500 * time.Millisecond,
	Heartbeat: HeartbeatTiming{Interval: 800 * time.Millisecond, TTL: 2600 * time.Millisecond, PollInterval: 250 * time.Millisecond}}

// standbyOf returns a standby that has seen the leader n1 with a heartbeat at t0.
func standbyOf(seen LeaderKeysRead) *Elector {
	m := New("n0", withHeartbeats, rand.New(rand.NewPCG(1, 2)))
	m.SetNodes([]string{"n0", "n1"})
	m.Step(t0, ReplicaState{Ready: true})
	m.Step(t0, seen)
	return m
}

func beatOf(nonce string, stamp ident.Revision) LeaderKeysRead {
	return LeaderKeysRead{OK: true, Leader: LeaderRecord{Node: "n1", Nonce: "x"}, Epoch: 5,
		Heartbeat: HeartbeatRecord{Node: "n1", Nonce: nonce, TTLMs: 2600}, HeartbeatRevision: stamp}
}

// watch lets a standby look at the same keys every quarter of a second for d, and
// returns how long it took until it stood for election; 0: it did not.
func watch(m *Elector, from clock.Instant, d time.Duration, seen LeaderKeysRead) time.Duration {
	const pause = 250 * time.Millisecond
	for past := pause; past <= d; past += pause {
		for _, e := range m.Step(from.Add(past), seen) {
			if _, ok := e.(GrantLease); ok {
				return past
			}
		}
	}
	return 0
}

func TestStandbyWaitsForSilence(t *testing.T) {
	silent := beatOf("x", 9)
	if d := watch(standbyOf(silent), t0, 6*time.Second, silent); d < 2600*time.Millisecond || d > 3*time.Second {
		t.Errorf("stood after %v", d)
	}
	m := standbyOf(silent)
	m.Step(t0.Add(2*time.Second), beatOf("x", 10))
	if d := watch(m, t0.Add(2*time.Second), 2500*time.Millisecond, beatOf("x", 10)); d != 0 {
		t.Errorf("a heartbeat was seen, and it stood %v after that", d)
	}
	other := beatOf("of an earlier leader", 9)
	if d := watch(standbyOf(other), t0, 10*time.Second, other); d != 0 {
		t.Errorf("the heartbeat is not the leader's, and it stood after %v", d)
	}
	for _, life := range []int64{0, -1, 1 << 40} {
		odd := silent
		odd.Heartbeat.TTLMs = life
		if d := watch(standbyOf(odd), t0, 10*time.Second, odd); d != 0 {
			t.Errorf("life %d: stood after %v", life, d)
		}
	}
}

// TestStandbyAfterAnOutage: what a standby could not read proves nothing. The leader
// could not write meanwhile, and is given the time to do so.
func TestStandbyAfterAnOutage(t *testing.T) {
	silent := beatOf("x", 9)
	m := standbyOf(silent)
	back := t0.Add(20 * time.Second)
	if d := watch(m, back, 6*time.Second, silent); d < 2600*time.Millisecond {
		t.Errorf("stood %v after the outage", d)
	}
}

// TestStandbysTakeTurns: those that come first in order, and those that have a
// replica, go first.
func TestStandbysTakeTurns(t *testing.T) {
	silent := beatOf("x", 9)
	ready := standbyOf(silent)
	cold := standbyOf(silent)
	cold.Step(t0, ReplicaState{Ready: false})
	last := standbyOf(silent)
	last.SetNodes([]string{"n0", "n1", "n2", "n3"})
	first := watch(ready, t0, 6*time.Second, silent)
	for what, m := range map[string]*Elector{"without a replica": cold, "two places behind": last} {
		if d := watch(m, t0, 6*time.Second, silent); d <= first {
			t.Errorf("%s: stood after %v, the first after %v", what, d, first)
		}
	}
}

// TestTakeoverNamesTheHeartbeat: the transaction fails if the leader was heard again.
func TestTakeoverNamesTheHeartbeat(t *testing.T) {
	silent := beatOf("x", 9)
	m := standbyOf(silent)
	d := watch(m, t0, 6*time.Second, silent)
	effects := m.Step(t0.Add(d), LeaseGranted{OK: true, LeaseID: 3, SentAt: t0.Add(d)})
	acquire, ok := effects[0].(AcquireLeaderKey)
	if !ok || acquire.PrevEpoch != 5 || acquire.ExpectedHeartbeatRevision != 9 || acquire.Heartbeat == nil {
		t.Fatalf("%+v", effects)
	}
	m.Step(t0.Add(d), LeaderKeyAcquired{Outcome: OutcomeRefused})
	if m.IsLeader() || m.Standby().BlockReason != FailoverConflict {
		t.Errorf("leads %v, hindrance %q", m.IsLeader(), m.Standby().BlockReason)
	}
}
