package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/leadtransfer"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/metrics"
	"badgerbay/internal/policy"
)

const (
	// stallThreshold is how long a core may take no step, although ticks come far more often, before it counts as stalled:
	// it stood still while its clocks ran on, or was starved.
	stallThreshold = 500 * time.Millisecond
	// machineTypesRetryInterval is the pause between two reads of the machine types while they are not known.
	machineTypesRetryInterval = 2 * time.Second
)

// Core is the state machine of one node. It is not safe for concurrent use.
type Core struct {
	*environment
	election     *election.Elector
	term         *term // nil unless this node holds the leader key
	machineTypes []*fleet.MachineType
	delegate     *leasedelegation.Delegate
	isolation    leasedelegation.Isolation // what this node is cut off from
	// probeNode is the node in another zone that workers try before this node renews their leases by its grant.
	probeNode          string
	transferHistory    leadtransfer.History
	peersUnreachable   bool // whether some other node is unreachable
	lastStep           clock.Instant
	stallEnded         clock.Instant
	nextMachineTypesAt clock.Instant
}

// ElectionInput carries an input of the election.
type ElectionInput struct{ Input election.Input }

// ElectionEffect carries an effect of the election.
type ElectionEffect struct{ Effect election.Effect }

func (ElectionInput) input()   {}
func (ElectionEffect) effect() {}

// NewCore returns the core of a node.
func NewCore(settings *config.Settings, pol *policy.Policy, clk clock.Clock, budget *kvstore.Budget,
	rng *rand.Rand, log *slog.Logger, signals *metrics.Metrics) *Core {
	elector := election.New(settings.NodeName, electionTiming(settings, pol), rng)
	elector.SetNodes(append(settings.PeerNames(), settings.NodeName))
	return &Core{
		environment: &environment{settings: settings, policy: pol, log: log, metrics: signals, budget: budget, clock: clk},
		election:    elector,
		delegate:    leasedelegation.NewDelegate(ident.Zone(settings.Zone), settings.Params.Workers, clk.Now()),
		probeNode:   nodeOutsideZone(settings),
	}
}

// electionTiming is the timing of the lease and, with a warm standby, of the leader's heartbeats.
func electionTiming(settings *config.Settings, pol *policy.Policy) election.Timing {
	timing := election.Timing{LeaseTTL: pol.LeaseTTL, RenewInterval: pol.LeaseRenewInterval, PollInterval: pol.LeaderPollInterval}
	timing = timing.ShortenedTo(settings.Params.Workers.FailoverTime())
	if w := pol.Features.WarmStandby; w != nil {
		timing.Heartbeat = election.HeartbeatTiming{Interval: w.HeartbeatInterval, TTL: w.HeartbeatTTL, PollInterval: w.PollInterval}
	}
	return timing
}

// Leader is the node that was last seen to lead, or "".
func (c *Core) Leader() string { return c.election.LeaderNode() }

// Epoch is the epoch in which this node leads, 0 if it does not.
func (c *Core) Epoch() ident.Epoch { return c.election.Epoch() }

// Standby tells how this node stands to the leader.
func (c *Core) Standby() election.StandbyStatus { return c.election.Standby() }

// DelegateIdleSince is since when, at the latest, this node has renewed no worker's lease by a grant.
func (c *Core) DelegateIdleSince() clock.Instant { return c.delegate.IdleSince() }

// MachineTypes are the machine types, or nil while they are not known.
func (c *Core) MachineTypes() []*fleet.MachineType { return c.machineTypes }

// Step takes one input at now and returns what to send, write and answer. Inputs that come by the hundred a second only
// take in what they bring, and send what they make due; what looks over machines and jobs waits for the next tick. At
// 1,500 machines doing all of it for each heartbeat took 2 ms.
func (c *Core) Step(now clock.Instant, in Input) []Effect {
	c.effects = nil
	c.detectStall(now)
	c.handle(now, in)
	if isHighRateInput(in) {
		if c.term != nil && c.term.recovery.isLoaded() && c.election.LeaseValid(now) {
			c.term.pushCommands(now)
		}
		return c.effects
	}
	c.stepElection(now, election.Tick{})
	if c.machineTypes == nil && !now.Before(c.nextMachineTypesAt) {
		c.nextMachineTypesAt = now.Add(machineTypesRetryInterval)
		c.emit(ReadMachineTypes{})
	}
	if c.term != nil {
		c.term.advance(now)
	}
	return c.effects
}

// detectStall notes a stall that ends with this step.
func (c *Core) detectStall(now clock.Instant) {
	if pause := now.Sub(c.lastStep); pause > stallThreshold {
		c.stallEnded = now
		if c.lastStep != 0 {
			c.metrics.Stalls.Inc()
			c.log.Debug("stall ended", "duration", pause)
		}
	}
	c.lastStep = now
}

// recentlyStalled tells whether a stall ended so short a time ago that what the node has not heard since proves nothing:
// heartbeats and answers were there to be heard during it.
func (c *Core) recentlyStalled(now clock.Instant) bool {
	interval := c.settings.Params.Workers.HeartbeatInterval()
	return now.Sub(c.stallEnded) < interval+interval/2
}

// isHighRateInput tells whether the input is of a kind that comes from each machine
// or user.
func isHighRateInput(in Input) bool {
	switch in.(type) {
	case HeartbeatReceived, CommandsAcknowledged, JobRequest, JobChanged, JobRecordRead, DelegationRequest, PeerStatusReceived:
		return true
	}
	return false
}

// stepElection runs the election and follows what it decides.
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
		c.log.Info("fencing token advanced", "epoch", after)
		c.term.setEpoch(after)
	case after != 0:
		c.log.Info("leadership acquired", "epoch", after)
		c.budget.SetLeader(now, true)
		c.beginTerm(now, after)
	default:
		c.log.Info("leadership lost", "epoch", before)
		c.grantOwnDelegation(now, before)
		c.budget.SetLeader(now, false)
		c.term.answerPendingRequests()
		c.term = nil
	}
}

// beginTerm begins to lead: first of all, the records are read.
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
		c.handlePeerStatus(now, in)
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
