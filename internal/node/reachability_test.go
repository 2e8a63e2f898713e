package node

import (
	"testing"

	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/peer/meshpb"
)

// TestIsolation checks that the isolation of a node and its leader follow from whether the state service answers it,
// from which peers it reaches, and from what these report.
func TestIsolation(t *testing.T) {
	withStore := &meshpb.HealthReply{StateReached: true, Leader: "n1"}
	withoutStore := &meshpb.HealthReply{Leader: "n1"}
	for _, c := range []struct {
		name      string
		answered  bool // the state service has answered this node
		reached   []*meshpb.HealthReply
		isolation leasedelegation.Isolation
		isolated  bool
		hint      string
	}{
		{name: "connected", answered: true, reached: []*meshpb.HealthReply{withStore}, isolation: leasedelegation.Connected},
		{name: "peer unreachable", answered: true, isolation: leasedelegation.Connected},
		{name: "refused by the state service", reached: []*meshpb.HealthReply{withStore}, isolation: leasedelegation.NodeIsolated, isolated: true, hint: "n1"},
		{name: "outage", reached: []*meshpb.HealthReply{withoutStore}, isolation: leasedelegation.StateServiceOutage},
		{name: "cut off from everything", isolation: leasedelegation.NodeIsolated, isolated: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newNodeFixture(t) // its only peer is n1
			if c.answered {
				f.node.store.record(nil)
			}
			r := f.node.reach
			if got := r.isolation(c.reached); got != c.isolation {
				t.Errorf("isolation %v, want %v", got, c.isolation)
			}
			r.publish(c.reached)
			if r.isolated.Load() != c.isolated || r.peerReportedLeader() != c.hint || r.otherLeader() != c.hint {
				t.Errorf("isolated %v, peer-reported leader %q, other leader %q", r.isolated.Load(), r.peerReportedLeader(), r.otherLeader())
			}
		})
	}
}
