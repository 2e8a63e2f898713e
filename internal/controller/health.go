package controller

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/pprof"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/connlimit"
	"badgerbay/internal/delegation"
	"badgerbay/internal/mesh"
	"badgerbay/internal/mesh/meshpb"
	"badgerbay/internal/unit"
)

// meshRest is how long a peer that did not answer is not tried again by what
// has another way.
const meshRest = 2 * time.Second

// meshWorks tells whether the peer may be tried over the mesh.
func (n *Node) meshWorks(peer string) bool {
	failed, ok := n.meshFailed.Load(peer)
	return !ok || n.clock.Now().Sub(failed.(unit.Instant)) > meshRest
}

func (n *Node) noteMesh(peer string, err error) {
	if err == nil {
		n.meshFailed.Delete(peer)
	} else {
		n.meshFailed.Store(peer, n.clock.Now())
	}
}

// watchHealth finds out which nodes the mesh reaches and, while the state
// service does not answer this node, whether the others reach it, and who
// leads.
func (n *Node) watchHealth(ctx context.Context) {
	cut, from := false, delegation.Connected
	for n.pause(ctx, healthEvery) {
		reached := n.askPeers(ctx)
		if now := len(reached) < len(n.peers.Names()); now != cut {
			cut = now
			n.post(ctx, PeerReachabilityChanged{Unreachable: cut})
		}
		if now := n.isolation(reached); now != from {
			from = now
			n.log.Info("cut off", "from", from, "peers_reached", len(reached))
			n.post(ctx, IsolationChanged{Isolation: from})
		}
		if n.stateReachable(stateQuiet) {
			n.health.alone.Store(false)
			n.health.hint.Store("")
			continue
		}
		// Whoever reaches nobody at all is cut off from everything.
		alone, hint := len(reached) == 0 && len(n.peers.Names()) > 0, ""
		for _, h := range reached {
			if h.StateReached {
				alone, hint = true, h.Leader
			}
		}
		n.health.alone.Store(alone)
		n.health.hint.Store(hint)
	}
}

// isolation tells what this node is cut off from, by what the others say.
func (n *Node) isolation(reached []*meshpb.HealthReply) delegation.Isolation {
	if n.stateReachable(stateQuiet) {
		return delegation.Connected
	}
	for _, h := range reached {
		if h.StateReached {
			return delegation.NodeIsolated
		}
	}
	if len(reached) < len(n.peers.Names()) {
		return delegation.NodeIsolated
	}
	return delegation.StateServiceOutage
}

// askDelegation asks a peer for a grant, and for what it has done by its own.
func (n *Node) askDelegation(ctx context.Context, name string) error {
	sent := n.clock.Now()
	data, err := msgpack.Marshal(mesh.Batch{Node: n.set.NodeName, WantsDelegation: true})
	if err != nil {
		return fmt.Errorf("asking for a grant: %w", err)
	}
	reply, err := n.peers.RelayBatch(ctx, name, data)
	if err != nil {
		return fmt.Errorf("asking for a grant: %w", err)
	}
	a, err := mesh.DecodeReply(reply)
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
	n.post(ctx, PeerStatusReceived{Node: name, SentAt: sent, Status: status, SchemaVersion: a.Delegation.SchemaVersion, EnforcesQuotas: a.Delegation.EnforcesQuotas})
	return nil
}

// delegationStatus answers a peer that asks, or not at all if the core is overloaded.
func (n *Node) delegationStatus(ctx context.Context, node string) *mesh.DelegationStatus {
	ticket := make(chan DelegationReply, 1)
	if !n.offer(DelegationRequest{Ticket: ticket, Node: node}) {
		return nil
	}
	select {
	case r := <-ticket:
		return mesh.PackDelegationStatus(r.Status)
	case <-ctx.Done():
		return nil
	}
}

// loadEvery is how often the load of the process is logged, at debug.
const loadEvery = 5 * time.Second

// watchLoad logs what the process holds of what its machine grants.
func (n *Node) watchLoad(ctx context.Context, d *connlimit.Listener) {
	for n.pause(ctx, loadEvery) {
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

// askPeers asks the others, all at once, what they can reach, and notes which
// of them the mesh reaches.
func (n *Node) askPeers(ctx context.Context) []*meshpb.HealthReply {
	names := n.peers.Names()
	replies := make(chan *meshpb.HealthReply, len(names))
	for _, name := range names {
		go func() {
			h, err := n.peers.Health(ctx, name)
			n.noteMesh(name, err)
			replies <- h
			if err != nil {
				return
			}
			if err := n.askDelegation(ctx, name); err != nil {
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
