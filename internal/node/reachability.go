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
	// storeSilenceThreshold: after so long without an answer of the state service a node
	// asks the others whether they have one.
	storeSilenceThreshold = 2 * time.Second
	// healthCheckInterval is the pause between two health checks of the peers.
	healthCheckInterval = time.Second
)

// reachability finds out what this node can reach.
type reachability struct {
	*environment
	core  *coreActor
	store *stateService
	peers *peerNetwork

	// isolated: the others reach the state service and this node does not, or it reaches
	// nobody.
	isolated   atomic.Bool
	leaderHint atomic.Pointer[string] // who leads, by what the others say; nil: use the core's view
}

// peerReportedLeader is who leads by what the other nodes say while the state service does not answer
// this one, or "".
func (r *reachability) peerReportedLeader() string {
	if hint := r.leaderHint.Load(); hint != nil {
		return *hint
	}
	return ""
}

// leader is the node that leads, as far as this one knows: by the state service, or by
// the others while that does not answer.
func (r *reachability) leader() string {
	if hint := r.peerReportedLeader(); hint != "" {
		return hint
	}
	return r.core.view().leader
}

// otherLeader is the leader if it is known and not this node, or "".
func (r *reachability) otherLeader() string {
	if leader := r.leader(); leader != r.settings.NodeName {
		return leader
	}
	return ""
}

// run checks the peers' health until ctx ends: which of them are reached and, while the
// state service does not answer this node, whether it answers them, and who leads.
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

// publish lets the handlers know who leads, and whether this node is isolated.
func (r *reachability) publish(reached []*meshpb.HealthReply) {
	isolated, hint := false, ""
	if !r.store.answeredWithin(storeSilenceThreshold) {
		// Whoever reaches nobody at all is cut off from everything.
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

// isolation tells what this node is cut off from, by what the others say.
func (r *reachability) isolation(reached []*meshpb.HealthReply) leasedelegation.Isolation {
	if r.store.answeredWithin(storeSilenceThreshold) {
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

// pollPeers asks the others, all at once, what they can reach, and returns the replies of
// those that are reached. It does not wait for the lease delegations that it asks these
// for after that.
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
				r.log.Debug("lease delegation failed", "peer", name, "err", err)
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

// requestDelegation asks a peer for a lease delegation, and for how long it has not used
// its own.
func (r *reachability) requestDelegation(ctx context.Context, name string) error {
	sentAt := r.clock.Now()
	data, err := msgpack.Marshal(peer.Batch{Node: r.settings.NodeName, WantsDelegation: true})
	if err != nil {
		return fmt.Errorf("encoding a delegation request: %w", err)
	}
	replyData, err := r.peers.RelayBatch(ctx, name, data)
	if err != nil {
		return fmt.Errorf("requesting a delegation: %w", err)
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
