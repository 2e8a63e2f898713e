package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/api"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/leadtransfer"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/policy"
)

// Core is the state machine of one node. It is not safe for concurrent use.
type Core struct {
	*environment
	election     *election.Elector
	machineTypes []*fleet.MachineType
	term         *term // nil unless this node holds the leader key
	delegate     *leasedelegation.Delegate
	isolation    leasedelegation.Isolation // what this node is cut off from
	// probeNode is the node in another zone that workers try before they are kept.
	probeNode       string
	transferHistory leadtransfer.History

	peersUnreachable bool          // some node is out of reach over the mesh
	lastStep         clock.Instant // the last step
	stallEnded       clock.Instant // the last step after a long rest
	nextMachineTypes clock.Instant
}

// ElectionInput carries an input of the election.
type ElectionInput struct{ Input election.Input }

// ElectionEffect carries an effect of the election.
type ElectionEffect struct{ Effect election.Effect }

func (ElectionInput) input()   {}
func (ElectionEffect) effect() {}

// NewCore returns the core of a node.
func NewCore(set *config.Settings, pol *policy.Policy, clock clock.Clock, budget *kvstore.Budget,
	rng *rand.Rand, log *slog.Logger, met *Metrics) *Core {
	lead := election.New(set.NodeName, electionTimes(set, pol), rng)
	lead.SetNodes(append(set.PeerNames(), set.NodeName))
	return &Core{environment: &environment{settings: set, policy: pol, log: log, metrics: met, budget: budget, clock: clock},
		election: lead, delegate: leasedelegation.NewDelegate(ident.Zone(set.Zone), set.Params.Workers, clock.Now()),
		probeNode: nodeOutsideZone(set)}
}

// electionTimes are the settings of the lease and, with a warm standby, of the
// heartbeats.
func electionTimes(set *config.Settings, pol *policy.Policy) election.Timing {
	times := election.Timing{LeaseTTL: pol.LeaseTTL, RenewInterval: pol.LeaseRenewInterval, PollInterval: pol.LeaderPollInterval}.ShortenedTo(set.Params.Workers.FailoverTime())
	if w := pol.Features.WarmStandby; w != nil {
		times.Heartbeat = election.HeartbeatTiming{Interval: w.HeartbeatInterval, TTL: w.HeartbeatTTL, PollInterval: w.PollInterval}
	}
	return times
}

// Leader is the node that was last seen to lead, or "".
func (c *Core) Leader() string { return c.election.LeaderNode() }

// Epoch is the epoch in which this node leads, 0 if it does not.
func (c *Core) Epoch() ident.Epoch { return c.election.Epoch() }

// Standby is how this node stands to the leader.
func (c *Core) Standby() election.StandbyStatus { return c.election.Standby() }

// DelegateIdleSince is since when this node has kept no worker by a grant.
func (c *Core) DelegateIdleSince() clock.Instant { return c.delegate.IdleSince() }

// MachineTypes are the machine types, or nil while they are not known.
func (c *Core) MachineTypes() []*fleet.MachineType { return c.machineTypes }

// Step takes one input at now and returns what to send, write and answer.
// Inputs that come by the hundred a second only take in what they bring, and
// send what they make due; what looks over machines and jobs waits for the
// next tick. At 1,500 machines doing all of it for each report took 2 ms.
func (c *Core) Step(now clock.Instant, in Input) []Effect {
	c.effects = nil
	if gap := now.Sub(c.lastStep); gap > stallThreshold {
		c.stallEnded = now
		if c.lastStep != 0 {
			c.metrics.Stalls.Inc()
			c.log.Debug("stood still", "for", gap)
		}
	}
	c.lastStep = now
	c.handle(now, in)
	if isFrequent(in) {
		if c.term != nil && c.term.recovery.loaded && c.election.LeaseValid(now) {
			c.term.pushCommands(now)
		}
		return c.effects
	}
	c.stepElection(now, election.Tick{})
	if c.machineTypes == nil && !now.Before(c.nextMachineTypes) {
		c.nextMachineTypes = now.Add(2 * time.Second)
		c.emit(ReadMachineTypes{})
	}
	if c.term != nil {
		c.term.advance(now)
	}
	return c.effects
}

// stallThreshold: a core that took no step for so long, although ticks come far more
// often, has stood still while its clocks ran on, or was starved.
const stallThreshold = 500 * time.Millisecond

// recentlyStalled tells whether the node woke so short a time ago that what it has not
// heard since proves nothing: reports and answers were there to be heard while
// it stood still.
func (c *Core) recentlyStalled(now clock.Instant) bool {
	interval := c.settings.Params.Workers.HeartbeatInterval()
	return now.Sub(c.stallEnded) < interval+interval/2
}

// isFrequent tells whether the input is of a kind that comes from each machine
// or user.
func isFrequent(in Input) bool {
	switch in.(type) {
	case HeartbeatReceived, CommandsAcknowledged, JobRequest, JobChanged, JobRecordRead, DelegationRequest, PeerStatusReceived:
		return true
	}
	return false
}

// stepElection runs the leadership machine and follows what it decides.
func (c *Core) stepElection(now clock.Instant, in election.Input) {
	before := c.election.Epoch()
	for _, e := range c.election.Step(now, in) {
		if _, ok := e.(election.WriteHeartbeat); ok {
			c.budget.ForceTakeWrites(now, 1)
		}
		c.emit(ElectionEffect{e})
	}
	after := c.election.Epoch()
	if before == after {
		return
	}
	c.metrics.EpochChanges.Inc()
	switch {
	case c.term != nil && after != 0:
		c.log.Info("token raised", "epoch", after)
		c.term.setEpoch(after)
	case after != 0:
		c.log.Info("leading", "epoch", after)
		c.budget.SetLeader(now, true)
		c.beginTerm(now, after)
	default:
		c.log.Info("no longer leading", "epoch", before)
		c.grantOwnDelegation(now, before)
		c.budget.SetLeader(now, false)
		c.term.abandon()
		c.term = nil
	}
}

// beginTerm begins a term.
func (c *Core) beginTerm(now clock.Instant, epoch ident.Epoch) {
	quotas, err := newQuotaManager(c.environment, epoch)
	if err != nil {
		c.emit(StopNode{Err: err})
		return
	}
	c.term = newTerm(c, now, epoch, quotas)
	c.emit(ReadRecords{Epoch: epoch})
}

func (c *Core) handle(now clock.Instant, in Input) {
	switch in := in.(type) {
	case ElectionInput:
		c.stepElection(now, in.Input)
	case HeartbeatReceived:
		c.handleHeartbeat(now, in)
	case JobRequest:
		c.handleJobRequest(now, in)
	case PeerReachabilityChanged:
		c.peersUnreachable = in.Unreachable
	case IsolationChanged:
		c.isolation = in.Isolation
	case DelegationRequest:
		c.handleDelegationRequest(now, in)
	case PeerStatusReceived:
		c.delegate.AcceptStatus(in.SentAt, in.Status)
		if c.term != nil {
			c.term.delegations.ConfirmIdle(in.Node, in.SentAt, now, in.Status.IdleFor)
			c.term.schema.nodeReported(now, in.Node, in.SchemaVersion)
			if in.EnforcesQuotas {
				c.term.quotas.nodeEnforces(now, in.Node)
			}
		}
	case QuotaStatusRequest:
		c.handleQuotaStatusRequest(now, in)
	case MachineTypesRead:
		c.setMachineTypes(in)
	default:
		if c.term != nil {
			c.term.handle(now, in)
		}
	}
}

func (c *Core) setMachineTypes(in MachineTypesRead) {
	if in.Types == nil {
		return
	}
	c.machineTypes = in.Types
	if c.term != nil {
		c.term.fleet.SetMachineTypes(in.Types)
		c.term.rounds.requestPlan()
	}
}

// handleHeartbeat answers a worker. A node that is not entitled must not renew a
// lease, so that leases really expire: it names the leader, or refuses.
func (c *Core) handleHeartbeat(now clock.Instant, in HeartbeatReceived) {
	if !c.election.LeaseValid(now) || c.term == nil {
		if in.RelayedBy == "" && c.answerDelegated(now, in) {
			return
		}
		reply := HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatRedirected, Leader: c.Leader()}
		if c.election.IsLeader() {
			reply.Outcome = HeartbeatUnavailable
		}
		c.emit(reply)
		return
	}
	c.term.handleHeartbeat(now, in)
}

func (c *Core) handleJobRequest(now clock.Instant, in JobRequest) {
	if !c.election.LeaseValid(now) || c.term == nil || !c.term.recovery.loaded {
		c.emit(JobReply{Responder: in.Responder, Outcome: api.NoLeader})
		return
	}
	c.term.handleJobRequest(now, in)
}
