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

// heartbeatPath is the HTTP path to which workers send their heartbeats.
const heartbeatPath = "/agent/beat"

// heartbeatTimeout bounds the time from the receipt of a heartbeat to the reply.
const heartbeatTimeout = 3 * time.Second

// heartbeatHandler handles the heartbeats of workers. If this node leads, its core replies; otherwise the worker is
// redirected to the leader, or its heartbeat is relayed there.
type heartbeatHandler struct {
	*environment
	core   *coreActor
	peers  *peerNetwork
	reach  *reachability
	uplink *relayUplink
	router relay.Router
}

// handle handles a worker's heartbeat.
func (h *heartbeatHandler) handle(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(w, r, fleet.MaxMessageBytes)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	heartbeat, err := fleet.DecodeHeartbeat(data)
	if err != nil {
		h.log.Warn("malformed heartbeat rejected", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if heartbeat.UnreadableTasks > 0 {
		h.log.Warn("malformed tasks in heartbeat ignored", "machine", heartbeat.Machine, "tasks", heartbeat.UnreadableTasks)
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	h.write(w, h.reply(ctx, heartbeat))
}

// reply returns the reply to a heartbeat: the core's reply, a redirect to the leader, or the leader's relayed reply.
func (h *heartbeatHandler) reply(ctx context.Context, heartbeat *fleet.Heartbeat) controller.HeartbeatReply {
	reply, err := request(ctx, h.core, func(to controller.Responder[controller.HeartbeatReply]) controller.Input {
		return controller.HeartbeatReceived{Responder: to, Heartbeat: heartbeat}
	})
	if err != nil {
		reply = unavailableReply
	}
	// While this node gets no response from the state service, it cannot read which node leads, so it uses the leader
	// that its peers report, if any.
	askLeader := reply.Outcome == controller.HeartbeatRedirected || reply.Outcome == controller.HeartbeatUnavailable && h.reach.peerReportedLeader() != ""
	if reply.Final || !askLeader {
		return reply
	}
	return h.redirectOrRelay(ctx, heartbeat, reply)
}

// unavailableReply makes a worker retry.
var unavailableReply = controller.HeartbeatReply{Outcome: controller.HeartbeatUnavailable}

// redirectOrRelay redirects a worker to the leader. It relays the heartbeat instead if the worker has just come back
// from a redirect because it could not reach the leader.
func (h *heartbeatHandler) redirectOrRelay(ctx context.Context, heartbeat *fleet.Heartbeat,
	reply controller.HeartbeatReply) controller.HeartbeatReply {
	leader := h.reach.otherLeader()
	reply.Leader = leader
	if leader == "" {
		return reply
	}
	reply.Outcome = controller.HeartbeatRedirected
	// If this node cannot reach the leader, the worker probably cannot reach it either, unless the connection is refused:
	// a packet filter that refuses connections between nodes may let workers through. When all their heartbeats were
	// relayed in that case, the write budget for submissions was exhausted.
	reachable := func() bool { return h.peers.reachable(leader) || h.peers.ConnectionRefused(leader) }
	if reachable() && h.router.ShouldRedirect(h.clock.Now(), heartbeat.Machine, leader, reachable) {
		return reply
	}
	return h.relay(ctx, leader, heartbeat)
}

// relay forwards a heartbeat to the leader: over gRPC or, if that fails, through the state service.
func (h *heartbeatHandler) relay(ctx context.Context, leader string, heartbeat *fleet.Heartbeat) controller.HeartbeatReply {
	reply, err := h.relayToPeer(ctx, leader, heartbeat)
	if err == nil {
		return relayedReply(reply)
	}
	h.router.RecordPeerFailure(heartbeat.Machine)
	return h.uplink.relayHeartbeat(ctx, heartbeat)
}

// errIncompleteReply is returned when the leader's reply to a batch of one heartbeat does not contain exactly one
// heartbeat reply.
var errIncompleteReply = errors.New("peer reply lacks an answer to the heartbeat")

// relayToPeer forwards a heartbeat to the leader over gRPC.
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

// relayedReply converts the leader's reply, which was received over gRPC or through the state service. The leader has
// already checked that it was still valid.
func relayedReply(r peer.HeartbeatReply) controller.HeartbeatReply {
	return controller.HeartbeatReply{Outcome: outcomeOfHTTPStatus(r.Code), Epoch: r.Epoch, Commands: r.UnpackCommands(), Relayed: true}
}

// write sends the reply to the worker.
func (h *heartbeatHandler) write(w http.ResponseWriter, reply controller.HeartbeatReply) {
	body, err := h.encode(reply)
	// This is checked immediately before the response is sent: a process that was starved of CPU time must not renew a
	// worker's lease after its own leader lease or delegation grant has expired.
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
	w.Write(body) // the error is ignored: a disconnected worker sends another heartbeat
}

// encode returns the body of a reply, or nil if the reply has none.
func (h *heartbeatHandler) encode(reply controller.HeartbeatReply) ([]byte, error) {
	switch reply.Outcome {
	case controller.HeartbeatAccepted:
		return fleet.EncodeHeartbeatResponse(reply.Epoch, reply.Commands)
	case controller.HeartbeatRedirected:
		leader := reply.Leader
		if leader == h.settings.NodeName {
			leader = ""
		}
		return fleet.EncodeRedirect(leader)
	}
	return nil, nil
}

// httpStatusOf returns the HTTP status that reports the outcome of a heartbeat to its worker.
func httpStatusOf(outcome controller.HeartbeatOutcome) int {
	switch outcome {
	case controller.HeartbeatAccepted:
		return http.StatusOK
	case controller.HeartbeatRedirected:
		return http.StatusMisdirectedRequest
	}
	return http.StatusServiceUnavailable
}

// outcomeOfHTTPStatus returns the outcome that another node reported as an HTTP status.
func outcomeOfHTTPStatus(status int) controller.HeartbeatOutcome {
	switch status {
	case http.StatusOK:
		return controller.HeartbeatAccepted
	case http.StatusMisdirectedRequest:
		return controller.HeartbeatRedirected
	}
	return controller.HeartbeatUnavailable
}
