package node

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/pprof"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/controller"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/connlimit"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/peer"
	"badgerbay/internal/peer/meshpb"
)

// peerRetryPause is how long a peer that did not answer is not tried again by what
// has another way.
const peerRetryPause = 2 * time.Second

// peerReachable tells whether the peer may be tried over the mesh.
func (n *Node) peerReachable(peer string) bool {
	failed, ok := n.peerFailures.Load(peer)
	return !ok || n.clock.Now().Sub(failed.(clock.Instant)) > peerRetryPause
}

func (n *Node) notePeerResult(peer string, err error) {
	if err == nil {
		n.peerFailures.Delete(peer)
	} else {
		n.peerFailures.Store(peer, n.clock.Now())
	}
}

// watchReachability finds out which nodes the mesh reaches and, while the state
// service does not answer this node, whether the others reach it, and who
// leads.
func (n *Node) watchReachability(ctx context.Context) {
	cut, from := false, leasedelegation.Connected
	for n.sleep(ctx, healthCheckInterval) {
		reached := n.pollPeers(ctx)
		if now := len(reached) < len(n.peers.Names()); now != cut {
			cut = now
			n.enqueue(ctx, controller.PeerReachabilityChanged{Unreachable: cut})
		}
		if now := n.isolation(reached); now != from {
			from = now
			n.log.Info("cut off", "from", from, "peers_reached", len(reached))
			n.enqueue(ctx, controller.IsolationChanged{Isolation: from})
		}
		if n.stateReachable(storeSilenceThreshold) {
			n.health.storeUnreachableAlone.Store(false)
			n.health.leaderHint.Store("")
			continue
		}
		// Whoever reaches nobody at all is cut off from everything.
		alone, hint := len(reached) == 0 && len(n.peers.Names()) > 0, ""
		for _, h := range reached {
			if h.StateReached {
				alone, hint = true, h.Leader
			}
		}
		n.health.storeUnreachableAlone.Store(alone)
		n.health.leaderHint.Store(hint)
	}
}

// isolation tells what this node is cut off from, by what the others say.
func (n *Node) isolation(reached []*meshpb.HealthReply) leasedelegation.Isolation {
	if n.stateReachable(storeSilenceThreshold) {
		return leasedelegation.Connected
	}
	for _, h := range reached {
		if h.StateReached {
			return leasedelegation.NodeIsolated
		}
	}
	if len(reached) < len(n.peers.Names()) {
		return leasedelegation.NodeIsolated
	}
	return leasedelegation.StateServiceOutage
}

// requestLeaseDelegation asks a peer for a grant, and for what it has done by its own.
func (n *Node) requestLeaseDelegation(ctx context.Context, name string) error {
	sent := n.clock.Now()
	data, err := msgpack.Marshal(peer.Batch{Node: n.settings.NodeName, WantsDelegation: true})
	if err != nil {
		return fmt.Errorf("asking for a grant: %w", err)
	}
	reply, err := n.peers.RelayBatch(ctx, name, data)
	if err != nil {
		return fmt.Errorf("asking for a grant: %w", err)
	}
	a, err := peer.DecodeReply(reply)
	switch {
	case err != nil:
		return fmt.Errorf("grant of %s can't be read: %w", name, err)
	case a.Delegation == nil:
		return fmt.Errorf("%s did not say", name)
	}
	status, err := a.Delegation.Unpack()
	if err != nil {
		return err
	}
	n.enqueue(ctx, controller.PeerStatusReceived{Node: name, SentAt: sent, Status: status, SchemaVersion: a.Delegation.SchemaVersion, EnforcesQuotas: a.Delegation.EnforcesQuotas})
	return nil
}

// answerLeaseDelegation answers a peer that asks, or not at all if the core is overloaded.
func (n *Node) answerLeaseDelegation(ctx context.Context, node string) *peer.DelegationStatus {
	replies := newReplyChannel[controller.DelegationReply]()
	if !n.tryEnqueue(controller.DelegationRequest{Responder: replies, Node: node}) {
		return nil
	}
	select {
	case r := <-replies:
		return peer.PackDelegationStatus(r.Status)
	case <-ctx.Done():
		return nil
	}
}

// loadLogInterval is how often the load of the process is logged, at debug.
const loadLogInterval = 5 * time.Second

// logLoad logs what the process holds of what its machine grants.
func (n *Node) logLoad(ctx context.Context, d *connlimit.Listener) {
	for n.sleep(ctx, loadLogInterval) {
		if !n.log.Enabled(ctx, slog.LevelDebug) {
			return
		}
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		s := d.Stats()
		n.log.Debug("load", "connections", s.Open, "workers", s.Workers, "users", s.Users, "evicted", s.Evicted, "refused", s.Rejected,
			"threads", pprof.Lookup("threadcreate").Count(), "goroutines", runtime.NumGoroutine(), "heap_mb", mem.HeapInuse>>20, "sys_mb", mem.Sys>>20)
	}
}

// pollPeers asks the others, all at once, what they can reach, and notes which
// of them the mesh reaches.
func (n *Node) pollPeers(ctx context.Context) []*meshpb.HealthReply {
	names := n.peers.Names()
	replies := make(chan *meshpb.HealthReply, len(names))
	for _, name := range names {
		go func() {
			h, err := n.peers.Health(ctx, name)
			n.notePeerResult(name, err)
			replies <- h
			if err != nil {
				return
			}
			if err := n.requestLeaseDelegation(ctx, name); err != nil {
				n.log.Debug("no grant", "peer", name, "err", err)
			}
		}()
	}
	var out []*meshpb.HealthReply
	for range names {
		if h := <-replies; h != nil {
			out = append(out, h)
		}
	}
	return out
}
