package node

import (
	"context"
	"net/http"
	"strconv"

	"badgerbay/internal/controller"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/fleet"
	"badgerbay/internal/wire"
)

// heartbeatPath is where workers report.
const heartbeatPath = "/agent/beat"

// handleHeartbeat answers a worker's report.
func (n *Node) handleHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(w, r, fleet.MaxMessageBytes)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	report, err := fleet.DecodeHeartbeat(data)
	if err != nil {
		n.log.Warn("report can't be read", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if report.UnreadableTasks > 0 {
		n.log.Warn("tasks in a report can't be read", "machine", report.Machine, "tasks", report.UnreadableTasks)
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatBudget)
	defer cancel()
	replies := newReplyChannel[controller.HeartbeatReply]()
	var reply controller.HeartbeatReply
	if n.tryEnqueue(controller.HeartbeatReceived{Responder: replies, Heartbeat: report}) {
		select {
		case reply = <-replies:
		case <-ctx.Done():
		}
	}
	if !reply.Final && (reply.Outcome == controller.HeartbeatRedirected || reply.Outcome == controller.HeartbeatUnavailable && n.health.leaderHint.Load() != "") {
		reply = n.redirectOrRelay(ctx, report, reply)
	}
	n.writeHeartbeatReply(w, reply)
}

// redirectOrRelay sends a worker to the leader, or relays its report if it has just
// come back from there without having reached it.
func (n *Node) redirectOrRelay(ctx context.Context, r *fleet.Heartbeat, reply controller.HeartbeatReply) controller.HeartbeatReply {
	leader := n.leader()
	if leader == "" || leader == n.settings.NodeName {
		reply.Leader = ""
		return reply
	}
	reply.Outcome, reply.Leader = controller.HeartbeatRedirected, leader
	// Where the mesh does not reach the leader, the worker hardly will; but a
	// filter that refuses connections between nodes lets workers through, and
	// relaying them all took the changes that submissions need.
	works := func() bool { return n.peerReachable(leader) || n.peers.ConnectionRefused(leader) }
	if works() && n.router.ShouldRedirect(n.clock.Now(), r.Machine, leader, works) {
		return reply
	}
	return n.relayHeartbeat(ctx, leader, r)
}

func (n *Node) writeHeartbeatReply(w http.ResponseWriter, reply controller.HeartbeatReply) {
	var body []byte
	var err error
	switch reply.Outcome {
	case controller.HeartbeatAccepted:
		body, err = fleet.EncodeHeartbeatAnswer(reply.Epoch, reply.Commands)
	case controller.HeartbeatRedirected:
		leader := reply.Leader
		if leader == n.settings.NodeName {
			leader = ""
		}
		body, err = fleet.EncodeRedirect(leader)
	}
	// The last moment before the answer leaves: a process that was starved
	// must not renew a worker's lease after its own entitlement has ended.
	if err != nil || reply.Outcome == controller.HeartbeatAccepted && !reply.Relayed && !n.clock.Now().Before(reply.ValidUntil) {
		reply.Outcome, body = controller.HeartbeatUnavailable, nil
	}
	status := statusOf(reply.Outcome)
	n.metrics.HeartbeatResponses.WithLabelValues(strconv.Itoa(status)).Inc()
	if body != nil {
		w.Header().Set("Content-Type", wire.ContentType)
	}
	w.WriteHeader(status)
	w.Write(body)
}
