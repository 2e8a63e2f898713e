package controller

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/quota"
	"badgerbay/internal/unit"
)

// quotaView is what a node tells operators of quotas.
type quotaView struct {
	Node    string                 `msgpack:"node"`
	Enabled bool                   `msgpack:"enabled"`
	Leads   bool                   `msgpack:"leads"`
	Holder  *holderView            `msgpack:"holder,omitempty"`
	Teams   map[unit.Team]teamView `msgpack:"teams,omitempty"`
}

// holderView is what this node holds.
type holderView struct {
	Stamp    unit.Revision           `msgpack:"stamp"`
	Jobs     int                     `msgpack:"jobs"`
	Admitted int                     `msgpack:"admitted"`
	Left     int                     `msgpack:"left_to_the_leader"`
	Teams    map[unit.Team]shareView `msgpack:"teams,omitempty"`
}

type shareView struct {
	Allotted unitsView `msgpack:"allotted"`
	Reserved unitsView `msgpack:"reserved"`
}

// teamView is how a team stands, as the leader knows it.
type teamView struct {
	Limit      unitsView            `msgpack:"limit"`
	Guarantee  unitsView            `msgpack:"guarantee"`
	Allotted   unitsView            `msgpack:"allotted"`
	Unreserved unitsView            `msgpack:"placed_without_reservation"`
	Wanted     unitsView            `msgpack:"wanted_back"`
	Holders    map[string]unitsView `msgpack:"holders,omitempty"`
	Damaged    bool                 `msgpack:"damaged,omitempty"`
}

// unitsView is an amount as users write it; nil: without a limit.
type unitsView struct {
	CPUs *float64 `msgpack:"cpus"`
	GPUs *float64 `msgpack:"gpus"`
}

func viewUnits(u quota.Quantity) unitsView {
	r := u.Resources()
	v := unitsView{&r.CPUs, &r.GPUs}
	if u.MilliCPU >= quota.Unlimited {
		v.CPUs = nil
	}
	if u.MilliGPU >= quota.Unlimited {
		v.GPUs = nil
	}
	return v
}

func viewHolder(s *quota.HolderStatus) *holderView {
	v := &holderView{Stamp: s.ModRevision, Jobs: s.Jobs, Admitted: s.Admitted, Left: s.Refused, Teams: map[unit.Team]shareView{}}
	for team, share := range s.Teams {
		v.Teams[team] = shareView{viewUnits(share.Allocated), viewUnits(share.Reserved)}
	}
	return v
}

func viewTeam(s quota.TeamStatus) teamView {
	v := teamView{Limit: viewUnits(s.Limit), Guarantee: viewUnits(s.Guarantee), Allotted: viewUnits(s.Allocated),
		Unreserved: viewUnits(s.Uncovered), Wanted: viewUnits(s.RecallTarget), Damaged: s.Damaged, Holders: map[string]unitsView{}}
	for _, a := range s.Allocations {
		v.Holders[a.Holder.Node] = viewUnits(a.Quantity)
	}
	return v
}

// showQuotas answers an operator: what this node holds, and, at the leader, how the
// teams stand.
func (n *Node) showQuotas(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	view := quotaView{Node: n.set.NodeName, Enabled: n.holder != nil, Leads: n.view.Load().epoch != 0, Teams: map[unit.Team]teamView{}}
	if n.holder != nil {
		view.Holder = viewHolder(n.holder.published.Load())
	}
	ticket := make(chan QuotaStatusReply, 1)
	if n.offer(QuotaStatusRequest{Ticket: ticket}) {
		select {
		case reply := <-ticket:
			for team, status := range reply.Teams {
				view.Teams[team] = viewTeam(status)
			}
		case <-r.Context().Done():
		case <-time.After(quotaWait):
		}
	}
	writeView(w, &view)
}
