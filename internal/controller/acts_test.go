package controller

import (
	"fmt"

	"badgerbay/internal/fake"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

// actOf tells what an effect of a node does that only an entitled leader may do.
func actOf(now unit.Instant, e Effect) (fake.Act, bool) {
	switch e := e.(type) {
	case HeartbeatReply:
		return fake.Act{What: fake.AnsweredReport}, e.Code == 200 && !e.Final && now.Before(e.ValidUntil)
	case JobReply:
		return fake.Act{What: fake.AnsweredUser}, e.Outcome == userapi.JobFound && now.Before(e.ValidUntil)
	case CommitTransaction:
		return fake.Act{What: fake.WroteRecords, Round: e.Kind == RoundTransaction}, true
	case SendCommands:
		return fake.Act{What: fake.SentCommand}, true
	case ProvisionMachines, DeprovisionMachines:
		return fake.Act{What: fake.CalledCloud}, true
	}
	return fake.Act{}, false
}

// noteActs records what a node does as leader.
func (s *sim) noteActs(n *simNode, effects []Effect) {
	epoch := n.core.election.Epoch()
	for _, e := range effects {
		act, ok := actOf(n.clock(s.now), e)
		if !ok || epoch == 0 {
			continue
		}
		act.At, act.By, act.Epoch = s.now, fmt.Sprintf("%s, life %d", n.name, n.life), epoch
		if err := s.acts.Note(act); err != nil {
			s.t.Fatal(err)
		}
	}
}

// entitled lists the nodes that may act as leader now; there must never be two.
func (s *sim) entitled() []string {
	var names []string
	for _, n := range s.nodes {
		if n.alive && n.core.election.LeaseValid(n.clock(s.now)) {
			names = append(names, n.name)
		}
	}
	return names
}
