package node

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"
	"badgerbay/internal/quota"
)

// quotaStatus is the MessagePack response to an operator's quota query.
type quotaStatus struct {
	Node    string                    `msgpack:"node"`
	Enabled bool                      `msgpack:"enabled"`
	Leads   bool                      `msgpack:"leads"`
	Holder  *holderStatus             `msgpack:"holder,omitempty"`
	Teams   map[ident.Team]teamStatus `msgpack:"teams,omitempty"`
}

// holderStatus is the status of this node as a quota holder.
type holderStatus struct {
	Revision         ident.Revision                  `msgpack:"stamp"`
	Jobs             int                             `msgpack:"jobs"`
	Admitted         int                             `msgpack:"admitted"`
	DeferredToLeader int                             `msgpack:"left_to_the_leader"`
	Teams            map[ident.Team]allocationStatus `msgpack:"teams,omitempty"`
}

// allocationStatus is the part of a team's limit that is allocated to a holder, and what the holder has reserved of it.
type allocationStatus struct {
	Allocated amounts `msgpack:"allotted"`
	Reserved  amounts `msgpack:"reserved"`
}

// teamStatus is the quota status of a team, as the leader knows it.
type teamStatus struct {
	Limit      amounts            `msgpack:"limit"`
	Guarantee  amounts            `msgpack:"guarantee"`
	Allocated  amounts            `msgpack:"allotted"`
	Unreserved amounts            `msgpack:"placed_without_reservation"`
	Recalled   amounts            `msgpack:"wanted_back"`
	Holders    map[string]amounts `msgpack:"holders,omitempty"`
	Damaged    bool               `msgpack:"damaged,omitempty"`
}

// amounts is a quantity in the units that users specify, CPUs and GPUs; nil means unlimited.
type amounts struct {
	CPUs *float64 `msgpack:"cpus"`
	GPUs *float64 `msgpack:"gpus"`
}

func amountsOf(q quota.Quantity) amounts {
	resources := q.Resources()
	out := amounts{CPUs: &resources.CPUs, GPUs: &resources.GPUs}
	if q.MilliCPU >= quota.Unlimited {
		out.CPUs = nil
	}
	if q.MilliGPU >= quota.Unlimited {
		out.GPUs = nil
	}
	return out
}

func holderStatusOf(s *quota.HolderStatus) *holderStatus {
	out := &holderStatus{
		Revision:         s.ModRevision,
		Jobs:             s.Jobs,
		Admitted:         s.Admitted,
		DeferredToLeader: s.Refused,
		Teams:            map[ident.Team]allocationStatus{},
	}
	for team, allocation := range s.Teams {
		out.Teams[team] = allocationStatus{Allocated: amountsOf(allocation.Allocated), Reserved: amountsOf(allocation.Reserved)}
	}
	return out
}

func teamStatusOf(s quota.TeamStatus) teamStatus {
	out := teamStatus{
		Limit:      amountsOf(s.Limit),
		Guarantee:  amountsOf(s.Guarantee),
		Allocated:  amountsOf(s.Allocated),
		Unreserved: amountsOf(s.Uncovered),
		Recalled:   amountsOf(s.RecallTarget),
		Holders:    map[string]amounts{},
		Damaged:    s.Damaged,
	}
	for _, a := range s.Allocations {
		out.Holders[a.Holder.Node] = amountsOf(a.Quantity)
	}
	return out
}

// handleQuotas answers an operator's quota query with the holder status of this node and, at the leader, the quota
// status of the teams.
func (n *Node) handleQuotas(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	status := quotaStatus{
		Node:    n.settings.NodeName,
		Enabled: n.quotaHolder != nil,
		Leads:   n.core.view().leads(),
		Teams:   map[ident.Team]teamStatus{},
	}
	if n.quotaHolder != nil {
		status.Holder = holderStatusOf(n.quotaHolder.published.Load())
	}
	for team, s := range n.core.quotaStatus(r.Context()) {
		status.Teams[team] = teamStatusOf(s)
	}
	writeMsgpack(w, &status)
}

// quotaStatus returns the quota status of the teams, or nil if this node does not lead or the core did not answer.
func (a *coreActor) quotaStatus(ctx context.Context) map[ident.Team]quota.TeamStatus {
	ctx, cancel := context.WithTimeout(ctx, quotaReplyTimeout)
	defer cancel()
	reply, err := request(ctx, a, func(to controller.Responder[controller.QuotaStatusReply]) controller.Input {
		return controller.QuotaStatusRequest{Responder: to}
	})
	if err != nil {
		return nil
	}
	return reply.Teams
}
