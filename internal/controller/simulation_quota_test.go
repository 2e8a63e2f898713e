package controller

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/quota"
)

// admitAtHolder submits a stored job to the quota holder of a random node, if that node runs and is not the leader.
func (s *simulation) admitAtHolder(id ident.JobID, spec *jobs.Spec) {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	demand, err := quota.DemandOf(spec)
	if err != nil {
		s.t.Fatal(err)
	}
	if n.alive && n.core.election.Epoch() == 0 {
		s.stepHolder(n, quota.JobSubmitted{Job: id, Team: spec.Team, Tasks: spec.Tasks, TaskDemand: demand, Gang: spec.Gang})
	}
}

// stepHolder passes an input to a node's quota holder and executes the resulting effects.
func (s *simulation) stepHolder(n *simulatedNode, in quota.HolderInput) {
	if n.holder == nil || s.now.Before(s.pausedUntil[n.index]) {
		return
	}
	incarnation, holder := n.incarnation, n.holder
	reply := func(in quota.HolderInput) {
		s.schedule(s.latency(), func() {
			if n.alive && n.incarnation == incarnation && n.holder == holder {
				s.stepHolder(n, in)
			}
		})
	}
	before := holder.Status().Admitted
	effects := holder.Step(n.steadyTime(s.now), in)
	s.admissions += holder.Status().Admitted - before
	for _, e := range effects {
		s.schedule(s.storeLatency(), func() {
			switch e := e.(type) {
			case quota.Register:
				reply(s.registerHolder(n, e))
			case quota.StoreReservations:
				s.storeReservations(n, incarnation, e, false, reply)
			case quota.SendRequest:
				s.sendQuotaRequest(n, e, reply)
			}
		})
	}
}

func (s *simulation) registerHolder(n *simulatedNode, e quota.Register) quota.RegistrationDone {
	key := quota.HolderKey(e.Node)
	item, err := s.store.Get(key)
	if err != nil || s.storeUnreachable(n) {
		return quota.RegistrationDone{}
	}
	revision, err := s.tryCommit(e.Txn(item.ModRevision))
	if err != nil {
		return quota.RegistrationDone{}
	}
	return quota.RegistrationDone{ModRevision: revision}
}

// storeReservations stores a holder's reservations in the way of quotaHolderActor.store: a transaction without a reply
// is retried, and if the retry conflicts, a read determines whether the earlier attempt was applied.
func (s *simulation) storeReservations(n *simulatedNode, incarnation int, e quota.StoreReservations, outcomeUnknown bool, reply func(quota.HolderInput)) {
	if !n.alive || n.incarnation != incarnation {
		return
	}
	if s.storeUnreachable(n) {
		s.schedule(150*time.Millisecond, func() { s.storeReservations(n, incarnation, e, true, reply) })
		return
	}
	revision, err := s.tryCommit(e.Txn())
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		reply(quota.StoreDone{Outcome: quota.StoreSucceeded, ModRevision: revision})
	case errors.As(err, &conflict):
		if item, err := s.store.Get(e.Key); outcomeUnknown && err == nil && item.ModRevision > e.Conditions[1].ModRevision {
			reply(quota.StoreDone{Outcome: quota.StoreSucceeded, ModRevision: item.ModRevision})
			return
		}
		reply(quota.StoreDone{Outcome: e.OutcomeOf(conflict)})
	default:
		s.schedule(150*time.Millisecond, func() { s.storeReservations(n, incarnation, e, true, reply) })
	}
}

// sendQuotaRequest sends a quota request over the peer network to the node that the sender considers leader. If no
// reply arrives within 2 s, the holder gets an empty response.
func (s *simulation) sendQuotaRequest(n *simulatedNode, e quota.SendRequest, reply func(quota.HolderInput)) {
	answered := false
	once := func(in quota.HolderInput) {
		if !answered {
			answered = true
			reply(in)
		}
	}
	s.schedule(2*time.Second, func() { once(quota.ResponseReceived{}) })
	for _, l := range s.nodes {
		if l.name != n.core.Leader() || l != n && !s.reachesPeer(n, l) || l.core.election.Epoch() == 0 || s.isLost() {
			continue
		}
		s.step(l, QuotaRequest{Request: e.Request, Responder: ResponderFunc[quota.AllocationResponse](func(a quota.AllocationResponse) {
			if l == n || s.reachesPeer(n, l) {
				once(quota.ResponseReceived{Response: &a})
			}
		})})
	}
}

// applyTransaction commits a transaction and, if it wrote quota records, checks their invariants.
func (s *simulation) applyTransaction(t kvstore.Txn) (ident.Revision, error) {
	v, err := s.store.Commit(t)
	if s.trace != nil {
		s.trace.printf("%d applied revision=%d refused=%t %s", s.now, v, err != nil, wireTxn(t))
	}
	for _, w := range t.Operations {
		if err != nil || !strings.HasPrefix(w.SetKey+w.DeleteKey, quota.KeyPrefix) {
			continue
		}
		if violation := s.checkStoredQuotas(); violation != nil {
			s.t.Fatalf("stored quotas violate an invariant: %v", violation)
		}
		break
	}
	return v, err
}

// checkStoredQuotas checks the invariants of the stored quota records: no team's allocations exceed its limit, and no
// holder has reserved more than it was allocated.
func (s *simulation) checkStoredQuotas() error {
	items, _, err := s.store.List(quota.KeyPrefix)
	if err != nil {
		return nil
	}
	return quota.CheckInvariants(items, s.settings.Params.TeamsByName())
}

// checkUsageWithinLimits checks that the running tasks of each team are within its CPU limit, whether the leader or a
// quota holder admitted them.
func (s *simulation) checkUsageWithinLimits() error {
	for _, team := range s.settings.Params.Teams {
		if used := s.running.cpus[team.Name]; team.CPULimit > 0 && used > team.CPULimit+1e-6 {
			return fmt.Errorf("team %s uses %v CPUs, its limit is %v", team.Name, used, team.CPULimit)
		}
	}
	return nil
}
