package controller

import (
	"fmt"
	"strings"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/quota"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// admit lets a node that does not lead admit a job that was stored through it.
func (s *sim) admit(id unit.JobID, spec *checkpoint.Spec) {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	need, err := quota.DemandOf(spec)
	if err != nil {
		s.t.Fatal(err)
	}
	if n.alive && n.core.election.Epoch() == 0 {
		s.holderStep(n, quota.JobSubmitted{Job: id, Team: spec.Team, Tasks: spec.Tasks, TaskDemand: need, Gang: spec.Gang})
	}
}

// holderStep gives a node's holder an input, and carries out what it asks for.
func (s *sim) holderStep(n *simNode, in quota.HolderInput) {
	if n.holder == nil || s.now.Before(s.frozen[n.index]) {
		return
	}
	life, holder := n.life, n.holder
	answer := func(in quota.HolderInput) {
		s.after(s.latency(), func() {
			if n.alive && n.life == life && n.holder == holder {
				s.holderStep(n, in)
			}
		})
	}
	before := holder.Status().Admitted
	effects := holder.Step(n.clock(s.now), in)
	s.admissions += holder.Status().Admitted - before
	for _, e := range effects {
		s.after(s.stateLatency(), func() {
			switch e := e.(type) {
			case quota.Register:
				answer(s.register(n, e))
			case quota.StoreReservations:
				s.storeReserved(n, life, e, false, answer)
			case quota.SendRequest:
				s.sendAsk(n, e, answer)
			}
		})
	}
}

func (s *sim) register(n *simNode, e quota.Register) quota.RegistrationDone {
	key := quota.HolderKey(e.Node)
	item, err := s.state.Get(key)
	if err != nil || s.stateless(n) {
		return quota.RegistrationDone{}
	}
	stamp, err := s.tryCommit(e.Txn(item.ModRevision))
	if err != nil {
		return quota.RegistrationDone{}
	}
	return quota.RegistrationDone{ModRevision: stamp}
}

// storeReserved does what holderActor.store does.
func (s *sim) storeReserved(n *simNode, life int, e quota.StoreReservations, unsure bool, answer func(quota.HolderInput)) {
	if !n.alive || n.life != life {
		return
	}
	if s.stateless(n) {
		s.after(150*time.Millisecond, func() { s.storeReserved(n, life, e, true, answer) })
		return
	}
	stamp, err := s.tryCommit(e.Txn())
	conflict, refused := err.(*statestore.ConflictError)
	switch {
	case err == nil:
		answer(quota.StoreDone{Outcome: quota.StoreSucceeded, ModRevision: stamp})
	case refused:
		if item, err := s.state.Get(e.Key); unsure && err == nil && item.ModRevision > e.Conditions[1].ModRevision {
			answer(quota.StoreDone{Outcome: quota.StoreSucceeded, ModRevision: item.ModRevision})
			return
		}
		answer(quota.StoreDone{Outcome: e.OutcomeOf(conflict)})
	default:
		s.after(150*time.Millisecond, func() { s.storeReserved(n, life, e, true, answer) })
	}
}

// sendAsk brings an ask to the leader that the node knows, over the mesh.
func (s *sim) sendAsk(n *simNode, e quota.SendRequest, answer func(quota.HolderInput)) {
	answered := false
	once := func(in quota.HolderInput) {
		if !answered {
			answered = true
			answer(in)
		}
	}
	s.after(2*time.Second, func() { once(quota.ResponseReceived{}) })
	for _, l := range s.nodes {
		if l.name != n.core.Leader() || l != n && !s.meets(n, l) || l.core.election.Epoch() == 0 || s.lost() {
			continue
		}
		s.step(l, QuotaRequest{Request: e.Request, Ticket: func(a quota.AllocationResponse) {
			if l == n || s.meets(n, l) {
				once(quota.ResponseReceived{Response: &a})
			}
		}})
	}
}

// apply carries out a transaction, and checks what is stored then.
func (s *sim) apply(t statestore.Txn) (unit.Revision, error) {
	v, err := s.state.Commit(t)
	for _, w := range t.Operations {
		if err != nil || !strings.HasPrefix(w.SetKey+w.DeleteKey, quota.KeyPrefix) {
			continue
		}
		if wrong := s.checkQuotas(); wrong != nil {
			s.t.Fatalf("quota: %v", wrong)
		}
		break
	}
	return v, err
}

// checkQuotas checks what is stored: no team's allotments exceed its limit, and no
// holder has reserved more than it was allotted.
func (s *sim) checkQuotas() error {
	items, _, err := s.state.List(quota.KeyPrefix)
	if err != nil {
		return nil
	}
	return quota.CheckInvariants(items, s.set.Params.TeamsByName())
}

// onMachines checks that what runs of each team is within its limit, however it was
// admitted.
func (s *sim) onMachines() error {
	for _, team := range s.set.Params.Teams {
		if used := s.usage()[team.Name]; team.CPULimit > 0 && used > team.CPULimit+1e-6 {
			return fmt.Errorf("%s uses %v of %v", team.Name, used, team.CPULimit)
		}
	}
	return nil
}
