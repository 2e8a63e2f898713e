package node

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/clock"
	"badgerbay/internal/standby"
)

// standbyStatus is the MessagePack response to an operator's query of this node's status as a standby.
type standbyStatus struct {
	Node                string  `msgpack:"node"`
	Enabled             bool    `msgpack:"enabled"`
	State               string  `msgpack:"state"`
	Ready               bool    `msgpack:"ready"`
	Reason              string  `msgpack:"reason,omitempty"`
	Leader              string  `msgpack:"leader"`
	LeaderSilentSeconds float64 `msgpack:"leader_silent_s"`
	BlockReason         string  `msgpack:"not_taking_over_because,omitempty"`
	Records             int     `msgpack:"records"`
	Bytes               int     `msgpack:"bytes"`
	Revision            uint64  `msgpack:"revision"`
	LagSeconds          float64 `msgpack:"lag_s"`
	LagRecords          int     `msgpack:"lag_records"`
	Reloads             int     `msgpack:"rereads"`
}

// handleStandby answers an operator's query of how this node would take over leadership.
func (n *Node) handleStandby(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	view := n.core.view()
	status := standbyStatus{Node: n.settings.NodeName, Leader: view.leader, State: "off"}
	if view.leads() {
		status.Leader, status.State = n.settings.NodeName, standby.StateLeading.String()
	}
	if n.standby != nil {
		n.standby.describe(n.clock.Now(), view, &status)
	}
	writeMsgpack(w, &status)
}

// describe fills in the state of the replica and, if this node does not lead, its readiness to take over.
func (a *standbyActor) describe(now clock.Instant, view *coreView, out *standbyStatus) {
	status := a.published.Load().status(now)
	out.Enabled = true
	if !view.leads() {
		out.State = status.State.String()
		out.Ready = status.State == standby.StateReady
		out.BlockReason = view.standby.BlockReason.String()
		out.LeaderSilentSeconds = view.standby.SilentFor(now).Seconds()
	}
	if status.Reason != nil {
		out.Reason = status.Reason.Error()
	}
	out.Records, out.Bytes, out.Revision = status.Records, status.Bytes, uint64(status.Revision)
	out.LagSeconds, out.LagRecords, out.Reloads = status.Lag.Seconds(), status.LagRecords, status.Reloads
}
