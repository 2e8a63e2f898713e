package node

import (
	"net/http"
	"time"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/quota"
)

// quotaStatus is what a node tells operators of quotas.
type quotaStatus struct {
	Node    string                    `msgpack:"node"`
	Enabled bool                      `msgpack:"enabled"`
	Leads   bool                      `msgpack:"leads"`
	Holder  *holderStatus             `msgpack:"holder,omitempty"`
	Teams   map[ident.Team]teamStatus `msgpack:"teams,omitempty"`
}

// holderStatus is what this node holds.
type holderStatus struct {
	Stamp    ident.Revision             `msgpack:"stamp"`
	Jobs     int                        `msgpack:"jobs"`
	Admitted int                        `msgpack:"admitted"`
	Left     int                        `msgpack:"left_to_the_leader"`
	Teams    map[ident.Team]shareStatus `msgpack:"teams,omitempty"`
}

type shareStatus struct {
	Allotted amounts `msgpack:"allotted"`
	Reserved amounts `msgpack:"reserved"`
}

// teamStatus is how a team stands, as the leader knows it.
type teamStatus struct {
	Limit      amounts            `msgpack:"limit"`
	Guarantee  amounts            `msgpack:"guarantee"`
	Allotted   amounts            `msgpack:"allotted"`
	Unreserved amounts            `msgpack:"placed_without_reservation"`
	Wanted     amounts            `msgpack:"wanted_back"`
	Holders    map[string]amounts `msgpack:"holders,omitempty"`
	Damaged    bool               `msgpack:"damaged,omitempty"`
}

// amounts is an amount as users write it; nil: without a limit.
type amounts struct {
	CPUs *float64 `msgpack:"cpus"`
	GPUs *float64 `msgpack:"gpus"`
}

func amountsOf(u quota.Quantity) amounts {
	r := u.Resources()
	v := amounts{&r.CPUs, &r.GPUs}
	if u.MilliCPU >= quota.Unlimited {
		v.CPUs = nil
	}
	if u.MilliGPU >= quota.Unlimited {
		v.GPUs = nil
	}
	return v
}

func holderStatusOf(s *quota.HolderStatus) *holderStatus {
	v := &holderStatus{Stamp: s.ModRevision, Jobs: s.Jobs, Admitted: s.Admitted, Left: s.Refused, Teams: map[ident.Team]shareStatus{}}
	for team, share := range s.Teams {
		v.Teams[team] = shareStatus{amountsOf(share.Allocated), amountsOf(share.Reserved)}
	}
	return v
}

func teamStatusOf(s quota.TeamStatus) teamStatus {
	v := teamStatus{Limit: amountsOf(s.Limit), Guarantee: amountsOf(s.Guarantee), Allotted: amountsOf(s.Allocated),
		Unreserved: amountsOf(s.Uncovered), Wanted: amountsOf(s.RecallTarget), Damaged: s.Damaged, Holders: map[string]amounts{}}
	for _, a := range s.Allocations {
		v.Holders[a.Holder.Node] = amountsOf(a.Quantity)
	}
	return v
}

// handleQuotas answers an operator: what this node holds, and, at the leader, how the
// teams stand.
func (n *Node) handleQuotas(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	view := quotaStatus{Node: n.settings.NodeName, Enabled: n.quotaHolder != nil, Leads: n.view.Load().epoch != 0, Teams: map[ident.Team]teamStatus{}}
	if n.quotaHolder != nil {
		view.Holder = holderStatusOf(n.quotaHolder.published.Load())
	}
	replies := newReplyChannel[controller.QuotaStatusReply]()
	if n.tryEnqueue(controller.QuotaStatusRequest{Responder: replies}) {
		select {
		case reply := <-replies:
			for team, status := range reply.Teams {
				view.Teams[team] = teamStatusOf(status)
			}
		case <-r.Context().Done():
		case <-time.After(quotaReplyTimeout):
		}
	}
	writeMsgpack(w, &view)
}
