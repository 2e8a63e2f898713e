package controller

import (
	"fmt"

	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/fake"
)

// leaderActionOf returns the action of an effect that only a leader with a valid lease may take. The second result
// reports whether the effect is such an action.
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

// recordLeaderActions adds the actions that a node takes as leader to the leader history. It fails the test if two
// nodes acted as leader at the same time.
func (s *simulation) recordLeaderActions(n *simulatedNode, effects []Effect) {
	epoch := n.core.election.Epoch()
	for _, e := range effects {
		act, ok := leaderActionOf(n.steadyTime(s.now), e)
		if !ok || epoch == 0 {
			continue
		}
		act.At, act.Process, act.Epoch = s.now, fmt.Sprintf("%s, incarnation %d", n.name, n.incarnation), epoch
		if err := s.leaderHistory.Record(act); err != nil {
			s.t.Fatal(err)
		}
	}
}

// entitledNodes returns the names of the nodes whose leader lease is valid by their own clocks. There must never be
// more than one.
func (s *simulation) entitledNodes() []string {
	var names []string
	for _, n := range s.nodes {
		if n.alive && n.core.election.LeaseValid(n.steadyTime(s.now)) {
			names = append(names, n.name)
		}
	}
	return names
}
