package controller

import (
	"fmt"

	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/fake"
)

// leaderActionOf tells what an effect of a node does that only an entitled leader may do.
func leaderActionOf(now clock.Instant, e Effect) (fake.LeaderAction, bool) {
	switch e := e.(type) {
	case HeartbeatReply:
		return fake.LeaderAction{Kind: fake.HeartbeatAnswered}, e.Outcome == HeartbeatAccepted && !e.Final && now.Before(e.ValidUntil)
	case JobReply:
		return fake.LeaderAction{Kind: fake.UserAnswered}, e.Outcome == api.JobFound && now.Before(e.ValidUntil)
	case CommitTransaction:
		return fake.LeaderAction{Kind: fake.RecordsWritten, RecordsRound: e.Kind == RoundTransaction}, true
	case SendCommands:
		return fake.LeaderAction{Kind: fake.CommandSent}, true
	case ProvisionMachines, DeprovisionMachines:
		return fake.LeaderAction{Kind: fake.CloudCalled}, true
	}
	return fake.LeaderAction{}, false
}

// recordLeaderActions records what a node does as leader.
func (s *simulation) recordLeaderActions(n *simulatedNode, effects []Effect) {
	epoch := n.core.election.Epoch()
	for _, e := range effects {
		act, ok := leaderActionOf(n.steadyTime(s.now), e)
		if !ok || epoch == 0 {
			continue
		}
		act.At, act.Process, act.Epoch = s.now, fmt.Sprintf("%s, life %d", n.name, n.incarnation), epoch
		if err := s.leaderHistory.Record(act); err != nil {
			s.t.Fatal(err)
		}
	}
}

// entitledNodes lists the nodes that may act as leader now; there must never be two.
func (s *simulation) entitledNodes() []string {
	var names []string
	for _, n := range s.nodes {
		if n.alive && n.core.election.LeaseValid(n.steadyTime(s.now)) {
			names = append(names, n.name)
		}
	}
	return names
}
