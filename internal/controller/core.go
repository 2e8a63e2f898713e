package controller

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/delegation"
	"badgerbay/internal/fleet"
	"badgerbay/internal/handover"
	"badgerbay/internal/leadership"
	"badgerbay/internal/policy"
	"badgerbay/internal/quota"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

// Core is the state machine of one node. It is not safe for concurrent use.
type Core struct {
	set    *config.Settings
	pol    *policy.Policy
	log    *slog.Logger
	met    *Metrics
	budget *statestore.Budget
	clock  unit.Clock
	lead   *leadership.Elector
	types  []*fleet.MachineType
	term   *term // nil unless this node holds the leader key
	keeper *delegation.Delegate
	from   delegation.Isolation // what this node is cut off from
	// outside is the node in another zone that workers try before they are kept.
	outside   string
	handovers handover.History

	cut         bool         // some node is out of reach over the mesh
	stepped     unit.Instant // the last step
	woke        unit.Instant // the last step after a long rest
	nextFlavors unit.Instant
	out         []Effect
}

// NewCore returns the core of a node.
func NewCore(set *config.Settings, pol *policy.Policy, clock unit.Clock, budget *statestore.Budget,
	rng *rand.Rand, log *slog.Logger, met *Metrics) *Core {
	lead := leadership.New(set.NodeName, leadershipTimes(set, pol), rng)
	lead.SetNodes(append(set.PeerNames(), set.NodeName))
	return &Core{set: set, pol: pol, log: log, met: met, budget: budget, clock: clock,
		lead: lead, keeper: delegation.NewDelegate(unit.Zone(set.Zone), set.Params.Workers, clock.Now()),
		outside: outsideNode(set)}
}

// leadershipTimes are the settings of the lease and, with a warm standby, of the
// heartbeats.
func leadershipTimes(set *config.Settings, pol *policy.Policy) leadership.Timing {
	times := leadership.Timing{LeaseTTL: pol.LeaseTTL, RenewInterval: pol.LeaseRenewInterval, PollInterval: pol.LeaderPollInterval}.ShortenedTo(set.Params.Workers.FailoverTime())
	if w := pol.Features.WarmStandby; w != nil {
		times.Heartbeat = leadership.HeartbeatTiming{Interval: w.HeartbeatInterval, TTL: w.HeartbeatTTL, PollInterval: w.PollInterval}
	}
	return times
}

// Leader is the node that was last seen to lead, or "".
func (c *Core) Leader() string { return c.lead.LeaderNode() }

// Epoch is the epoch in which this node leads, 0 if it does not.
func (c *Core) Epoch() unit.Epoch { return c.lead.Epoch() }

// Standby is how this node stands to the leader.
func (c *Core) Standby() leadership.StandbyStatus { return c.lead.Standby() }

// DelegateIdleSince is since when this node has kept no worker by a grant.
func (c *Core) DelegateIdleSince() unit.Instant { return c.keeper.IdleSince() }

// Types are the machine types, or nil while they are not known.
func (c *Core) Types() []*fleet.MachineType { return c.types }

// Step takes one input at now and returns what to send, write and answer.
// Inputs that come by the hundred a second only take in what they bring, and
// send what they make due; what looks over machines and jobs waits for the
// next tick. At 1,500 machines doing all of it for each report took 2 ms.
func (c *Core) Step(now unit.Instant, in Input) []Effect {
	c.out = nil
	if gap := now.Sub(c.stepped); gap > stalledAfter {
		c.woke = now
		if c.stepped != 0 {
			c.met.Stood.Inc()
			c.log.Debug("stood still", "for", gap)
		}
	}
	c.stepped = now
	c.take(now, in)
	if frequent(in) {
		if c.term != nil && c.term.loaded && c.lead.LeaseValid(now) {
			c.term.push(now)
		}
		return c.out
	}
	c.leadStep(now, leadership.Tick{})
	if c.types == nil && !now.Before(c.nextFlavors) {
		c.nextFlavors = now.Add(2 * time.Second)
		c.emit(CallFlavors{})
	}
	if c.term != nil {
		c.term.advance(now)
	}
	return c.out
}

// stalledAfter: a core that took no step for so long, although ticks come far more
// often, has stood still while its clocks ran on, or was starved.
const stalledAfter = 500 * time.Millisecond

// justWoke tells whether the node woke so short a time ago that what it has not
// heard since proves nothing: reports and answers were there to be heard while
// it stood still.
func (c *Core) justWoke(now unit.Instant) bool {
	interval := c.set.Params.Workers.HeartbeatInterval()
	return now.Sub(c.woke) < interval+interval/2
}

// frequent tells whether the input is of a kind that comes from each machine
// or user.
func frequent(in Input) bool {
	switch in.(type) {
	case Reported, DoDone, Asked, Noticed, JobRead, PeerAsked, PeerStatus:
		return true
	}
	return false
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

// leadStep runs the leadership machine and follows what it decides.
func (c *Core) leadStep(now unit.Instant, in leadership.Input) {
	before := c.lead.Epoch()
	for _, e := range c.lead.Step(now, in) {
		if _, ok := e.(leadership.WriteHeartbeat); ok {
			c.budget.ForceTakeWrites(now, 1)
		}
		c.emit(DoLead{e})
	}
	after := c.lead.Epoch()
	if before == after {
		return
	}
	c.met.EpochChanges.Inc()
	switch {
	case c.term != nil && after != 0:
		c.log.Info("token raised", "epoch", after)
		c.term.setToken(after)
	case after != 0:
		c.log.Info("leading", "epoch", after)
		c.budget.SetLeader(now, true)
		c.begin(now, after)
	default:
		c.log.Info("no longer leading", "epoch", before)
		c.grantSelf(now, before)
		c.budget.SetLeader(now, false)
		c.term.abandon()
		c.term = nil
	}
}

// begin begins a term.
func (c *Core) begin(now unit.Instant, epoch unit.Epoch) {
	ledger, err := quota.NewAllocator(c.set.Params.TeamsByName(), c.pol.Features.TeamQuotas, epoch)
	if err != nil {
		c.emit(Stop{Err: err})
		return
	}
	c.term = newTerm(c, now, epoch)
	c.term.quota = ledger
	c.emit(LoadAll{Epoch: epoch})
}

func (c *Core) take(now unit.Instant, in Input) {
	switch in := in.(type) {
	case Lead:
		c.leadStep(now, in.In)
	case Reported:
		c.reported(now, in)
	case Asked:
		c.asked(now, in)
	case MeshCut:
		c.cut = in.On
	case Isolated:
		c.from = in.From
	case PeerAsked:
		c.peerAsked(now, in)
	case PeerStatus:
		c.keeper.AcceptStatus(in.Sent, in.Status)
		if c.term != nil {
			c.term.ledger.ConfirmIdle(in.Node, in.Sent, now, in.Status.IdleFor)
			c.term.cluster.RecordReport(now, in.Node, in.Form)
			if in.Quotas {
				c.term.keepsQuotas[in.Node] = now
			}
		}
	case QuotaShown:
		c.showQuotas(now, in)
	case FlavorsDone:
		c.flavors(in)
	default:
		if c.term != nil {
			c.term.take(now, in)
		}
	}
}

func (c *Core) flavors(in FlavorsDone) {
	if in.Types == nil {
		return
	}
	c.types = in.Types
	if c.term != nil {
		c.term.fleet.SetMachineTypes(in.Types)
		c.term.dirty = true
	}
}

// reported answers a worker. A node that is not entitled must not answer 200,
// so that leases really run out: it names the leader, or refuses.
func (c *Core) reported(now unit.Instant, in Reported) {
	if !c.lead.LeaseValid(now) || c.term == nil {
		if in.Via == "" && c.keep(now, in) {
			return
		}
		reply := ReplyReport{Ticket: in.Ticket, Code: http.StatusMisdirectedRequest, Leader: c.Leader()}
		if c.lead.IsLeader() {
			reply.Code = http.StatusServiceUnavailable
		}
		c.emit(reply)
		return
	}
	c.term.reported(now, in)
}

func (c *Core) asked(now unit.Instant, in Asked) {
	if !c.lead.LeaseValid(now) || c.term == nil || !c.term.loaded {
		c.emit(ReplyAsk{Ticket: in.Ticket, Outcome: userapi.NoLeader})
		return
	}
	c.term.asked(now, in)
}
