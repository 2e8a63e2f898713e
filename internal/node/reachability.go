package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/controller"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/peer"
	"badgerbay/internal/peer/meshpb"
)

const (
	// storeSilenceThreshold is the time without a response from the state service after which a node relies on its
	// peers' reports of whether the state service answers them.
	storeSilenceThreshold = 2 * time.Second
	// healthCheckInterval is the pause between two rounds of peer health checks.
	healthCheckInterval = time.Second
)

// reachability determines which peers this node reaches and whether it is isolated from the state service.
type reachability struct {
	*environment
	core  *coreActor
	store *stateService
	peers *peerNetwork

	// isolated is set while the state service does not answer this node, and either a peer reaches the state service or
	// no peer answers.
	isolated   atomic.Bool
	leaderHint atomic.Pointer[string] // leader that peers report; nil or empty: use the core's view
}

// peerReportedLeader returns the leader that peers report while the state service does not answer this node, or "" if
// there is none.
func (r *reachability) peerReportedLeader() string {
	if hint := r.leaderHint.Load(); hint != nil {
		return *hint
	}
	return ""
}

// leader returns the current leader as far as this node knows: according to the state service or, while that does not
// answer, according to the peers.
func (r *reachability) leader() string {
	if hint := r.peerReportedLeader(); hint != "" {
		return hint
	}
	return r.core.view().leader
}

// otherLeader returns the leader, or "" if it is unknown or this node.
func (r *reachability) otherLeader() string {
	if leader := r.leader(); leader != r.settings.NodeName {
		return leader
	}
	return ""
}

// run checks the health of the peers until ctx ends: which of them answer and, while the state service does not answer
// this node, whether it answers them and which node leads.
func (r *reachability) run(ctx context.Context) {
	var delegations sync.WaitGroup
	defer delegations.Wait()
	unreachable, isolation := false, leasedelegation.Connected
	for sleep(ctx, healthCheckInterval) {
		reached := r.pollPeers(ctx, &delegations)
		if current := len(reached) < len(r.peers.Names()); current != unreachable {
			unreachable = current
			r.core.post(ctx, controller.PeerReachabilityChanged{Unreachable: unreachable})
		}
		if current := r.isolation(reached); current != isolation {
			isolation = current
			r.log.Info("isolation changed", "isolation", isolation, "peers_reached", len(reached))
			r.core.post(ctx, controller.IsolationChanged{Isolation: isolation})
		}
		r.publish(reached)
	}
}

// publish updates the reported leader and the isolation of this node for the request handlers.
func (r *reachability) publish(reached []*meshpb.HealthReply) {
	isolated, hint := false, ""
	if !r.store.respondedWithin(storeSilenceThreshold) {
		// A node that has peers and reaches none of them is cut off from everything.
		isolated = len(reached) == 0 && len(r.peers.Names()) > 0
		for _, health := range reached {
			if health.StateReached {
				isolated, hint = true, health.Leader
			}
		}
	}
	r.isolated.Store(isolated)
	r.leaderHint.Store(&hint)
}

// isolation returns what this node is cut off from, according to the peers that answered. It returns StateServiceOutage
// only if all peers answered and none of them reaches the state service.
func (r *reachability) isolation(reached []*meshpb.HealthReply) leasedelegation.Isolation {
	if r.store.respondedWithin(storeSilenceThreshold) {
		return leasedelegation.Connected
	}
	for _, health := range reached {
		if health.StateReached {
			return leasedelegation.NodeIsolated
		}
	}
	if len(reached) < len(r.peers.Names()) {
		return leasedelegation.NodeIsolated
	}
	return leasedelegation.StateServiceOutage
}

// pollPeers calls the health check of all peers concurrently and returns the replies of those that answer. From these
// it then requests delegation grants in the background: it does not wait for them, and registers them with delegations.
func (r *reachability) pollPeers(ctx context.Context, delegations *sync.WaitGroup) []*meshpb.HealthReply {
	names := r.peers.Names()
	replies := make(chan *meshpb.HealthReply, len(names))
	for _, name := range names {
		delegations.Go(func() {
			health, err := r.peers.checkHealth(ctx, name)
			if err != nil {
				replies <- nil
				return
			}
			replies <- health
			if err := r.requestDelegation(ctx, name); err != nil {
				r.log.Debug("lease delegation request failed", "peer", name, "err", err)
			}
		})
	}
	var reached []*meshpb.HealthReply
	for range names {
		if health := <-replies; health != nil {
			reached = append(reached, health)
		}
	}
	return reached
}

// requestDelegation requests from a peer a lease delegation and the time since the peer last renewed a lease under its
// own delegation, and posts the reply to the core.
func (r *reachability) requestDelegation(ctx context.Context, name string) error {
	sentAt := r.clock.Now()
	data, err := msgpack.Marshal(peer.Batch{Node: r.settings.NodeName, WantsDelegation: true})
	if err != nil {
		return fmt.Errorf("encoding a lease delegation request: %w", err)
	}
	replyData, err := r.peers.RelayBatch(ctx, name, data)
	if err != nil {
		return fmt.Errorf("requesting a lease delegation: %w", err)
	}
	reply, err := peer.DecodeReply(replyData)
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformedReply, err)
	}
	if reply.Delegation == nil {
		return errNoDelegation
	}
	status, err := reply.Delegation.Unpack()
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformedReply, err)
	}
	r.core.post(ctx, controller.PeerStatusReceived{Node: name, SentAt: sentAt, Status: status,
		SchemaVersion: reply.Delegation.SchemaVersion, EnforcesQuotas: reply.Delegation.EnforcesQuotas})
	return nil
}
