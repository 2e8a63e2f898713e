package leadership

import (
	"math/rand/v2"
	"testing"
	"time"

	"badgerbay/internal/unit"
)

var withHeartbeats = Times{Life: 6 * time.Second, Renew: 1500 * time.Millisecond, Poll: 500 * time.Millisecond,
	Heartbeat: HeartbeatTimes{Interval: 800 * time.Millisecond, Life: 2600 * time.Millisecond, Poll: 250 * time.Millisecond}}

// standbyOf returns a standby that has seen the leader n1 with a heartbeat at t0.
func standbyOf(seen KeyRead) *Machine {
	m := New("n0", withHeartbeats, rand.New(rand.NewPCG(1, 2)))
	m.RankAmong([]string{"n0", "n1"})
	m.Step(t0, ReplicaState{Ready: true})
	m.Step(t0, seen)
	return m
}

func beatOf(nonce string, stamp unit.Version) KeyRead {
	return KeyRead{OK: true, Holder: Holder{Node: "n1", Nonce: "x"}, Stamp: 5,
		Heartbeat: Heartbeat{Node: "n1", Nonce: nonce, LifeMs: 2600}, HeartbeatStamp: stamp}
}

// watch lets a standby look at the same keys every quarter of a second for d, and
// returns how long it took until it stood for election; 0: it did not.
func watch(m *Machine, from unit.Instant, d time.Duration, seen KeyRead) time.Duration {
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
		odd.Heartbeat.LifeMs = life
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
	last.RankAmong([]string{"n0", "n1", "n2", "n3"})
	first := watch(ready, t0, 6*time.Second, silent)
	for what, m := range map[string]*Machine{"without a replica": cold, "two places behind": last} {
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
	effects := m.Step(t0.Add(d), Granted{OK: true, Tenure: 3, Sent: t0.Add(d)})
	acquire, ok := effects[0].(Acquire)
	if !ok || acquire.Prev != 5 || acquire.Silent != 9 || acquire.Heartbeat == nil {
		t.Fatalf("%+v", effects)
	}
	m.Step(t0.Add(d), Acquired{Outcome: Refused})
	if m.Leads() || m.Standby().Hindrance != TakeoverConflict {
		t.Errorf("leads %v, hindrance %q", m.Leads(), m.Standby().Hindrance)
	}
}
