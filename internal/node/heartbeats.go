package node

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/controller"
	"badgerbay/internal/fleet"
	"badgerbay/internal/peer"
	"badgerbay/internal/relay"
	"badgerbay/internal/wire"
)

// heartbeatPath is where workers send their heartbeats.
const heartbeatPath = "/agent/beat"

// heartbeatBudget bounds the time until a worker is answered.
const heartbeatBudget = 3 * time.Second

// heartbeatHandler answers workers: the core does if this node leads; else a worker is
// redirected to the leader, or its heartbeat is relayed.
type heartbeatHandler struct {
	*environment
	core   *coreActor
	peers  *peerNetwork
	reach  *reachability
	uplink *relayUplink
	router relay.Router
}

// handle answers a worker's heartbeat.
func (h *heartbeatHandler) handle(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(w, r, fleet.MaxMessageBytes)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	heartbeat, err := fleet.DecodeHeartbeat(data)
	if err != nil {
		h.log.Warn("heartbeat unreadable", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if heartbeat.UnreadableTasks > 0 {
		h.log.Warn("tasks in a heartbeat unreadable", "machine", heartbeat.Machine, "tasks", heartbeat.UnreadableTasks)
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatBudget)
	defer cancel()
	h.write(w, h.reply(ctx, heartbeat))
}

// reply finds the answer to a heartbeat.
func (h *heartbeatHandler) reply(ctx context.Context, heartbeat *fleet.Heartbeat) controller.HeartbeatReply {
	reply, err := request(ctx, h.core, func(to controller.Responder[controller.HeartbeatReply]) controller.Input {
		return controller.HeartbeatReceived{Responder: to, Heartbeat: heartbeat}
	})
	if err != nil {
		reply = unavailableReply
	}
	// While the others say who leads, a node without the state service is no judge of it.
	askLeader := reply.Outcome == controller.HeartbeatRedirected || reply.Outcome == controller.HeartbeatUnavailable && h.reach.peerReportedLeader() != ""
	if reply.Final || !askLeader {
		return reply
	}
	return h.redirectOrRelay(ctx, heartbeat, reply)
}

// unavailableReply tells a worker to try again.
var unavailableReply = controller.HeartbeatReply{Outcome: controller.HeartbeatUnavailable}

// redirectOrRelay sends a worker to the leader, or relays its heartbeat if it has just
// come back from there without having reached it.
func (h *heartbeatHandler) redirectOrRelay(ctx context.Context, heartbeat *fleet.Heartbeat,
	reply controller.HeartbeatReply) controller.HeartbeatReply {
	leader := h.reach.otherLeader()
	reply.Leader = leader
	if leader == "" {
		return reply
	}
	reply.Outcome = controller.HeartbeatRedirected
	// Where the leader is not reached by this node, the worker hardly will; but a
	// filter that refuses connections between nodes lets workers through, and
	// relaying them all took the writes that submissions need.
	reachable := func() bool { return h.peers.reachable(leader) || h.peers.ConnectionRefused(leader) }
	if reachable() && h.router.ShouldRedirect(h.clock.Now(), heartbeat.Machine, leader, reachable) {
		return reply
	}
	return h.relay(ctx, leader, heartbeat)
}

// relay brings a heartbeat to the leader: directly or, when it is not reached, through
// the state service.
func (h *heartbeatHandler) relay(ctx context.Context, leader string, heartbeat *fleet.Heartbeat) controller.HeartbeatReply {
	reply, err := h.relayToPeer(ctx, leader, heartbeat)
	if err == nil {
		return relayedReply(reply)
	}
	h.router.RecordPeerFailure(heartbeat.Machine)
	return h.uplink.relayHeartbeat(ctx, heartbeat)
}

// errIncompleteReply says that the leader's reply does not answer the heartbeat.
var errIncompleteReply = errors.New("reply without an answer to the heartbeat")

func (h *heartbeatHandler) relayToPeer(ctx context.Context, leader string, heartbeat *fleet.Heartbeat) (peer.HeartbeatReply, error) {
	batch := &peer.Batch{Node: h.settings.NodeName, Heartbeats: []peer.Heartbeat{peer.PackHeartbeat(heartbeat)}}
	reply, err := h.peers.exchange(ctx, leader, batch)
	if err != nil {
		return peer.HeartbeatReply{}, err
	}
	if len(reply.Heartbeats) != 1 {
		return peer.HeartbeatReply{}, errIncompleteReply
	}
	return reply.Heartbeats[0], nil
}

// relayedReply is the answer that the leader has given through another node or the state
// service. The leader has checked that it may be given.
func relayedReply(r peer.HeartbeatReply) controller.HeartbeatReply {
	return controller.HeartbeatReply{Outcome: outcomeOfHTTPStatus(r.Code), Epoch: r.Epoch, Commands: r.UnpackCommands(), Relayed: true}
}

// write answers a worker.
func (h *heartbeatHandler) write(w http.ResponseWriter, reply controller.HeartbeatReply) {
	body, err := h.encode(reply)
	// The last moment before the answer leaves: a process that was starved
	// must not renew a worker's lease after its own entitlement has ended.
	expired := reply.Outcome == controller.HeartbeatAccepted && !reply.Relayed && !h.clock.Now().Before(reply.ValidUntil)
	if err != nil || expired {
		reply, body = unavailableReply, nil
	}
	status := httpStatusOf(reply.Outcome)
	h.metrics.HeartbeatResponses.WithLabelValues(strconv.Itoa(status)).Inc()
	if body != nil {
		w.Header().Set("Content-Type", wire.ContentType)
	}
	w.WriteHeader(status)
	w.Write(body) // a worker that has gone sends its next heartbeat
}

// encode returns the body of a reply; nil: it has none.
func (h *heartbeatHandler) encode(reply controller.HeartbeatReply) ([]byte, error) {
	switch reply.Outcome {
	case controller.HeartbeatAccepted:
		return fleet.EncodeHeartbeatAnswer(reply.Epoch, reply.Commands)
	case controller.HeartbeatRedirected:
		leader := reply.Leader
		if leader == h.settings.NodeName {
			leader = ""
		}
		return fleet.EncodeRedirect(leader)
	}
	return nil, nil
}

// httpStatusOf is the HTTP status by which a worker learns the outcome of its heartbeat.
func httpStatusOf(outcome controller.HeartbeatOutcome) int {
	switch outcome {
	case controller.HeartbeatAccepted:
		return http.StatusOK
	case controller.HeartbeatRedirected:
		return http.StatusMisdirectedRequest
	}
	return http.StatusServiceUnavailable
}

// outcomeOfHTTPStatus is the outcome that another node has reported as an HTTP status.
func outcomeOfHTTPStatus(status int) controller.HeartbeatOutcome {
	switch status {
	case http.StatusOK:
		return controller.HeartbeatAccepted
	case http.StatusMisdirectedRequest:
		return controller.HeartbeatRedirected
	}
	return controller.HeartbeatUnavailable
}
