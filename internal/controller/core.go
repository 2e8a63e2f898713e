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
	// stallThreshold is the gap between two steps above which the core counts as stalled. Ticks are far more frequent,
	// so a longer gap means that the process was suspended or starved of CPU while its clocks advanced.
	stallThreshold = 500 * time.Millisecond
	// machineTypesRetryInterval is the time between two reads of the machine types while they are unknown.
	machineTypesRetryInterval = 2 * time.Second
)

// Core implements the state machine of one node. It is not safe for concurrent use.
type Core struct {
	*environment
	election     *election.Elector
	term         *term // nil unless this node holds the leader key
	machineTypes []*fleet.MachineType
	delegate     *leasedelegation.Delegate
	isolation    leasedelegation.Isolation // whether this node, or every node, cannot reach the state service
	// probeNode is the node in another zone to which this node, while it is isolated, redirects a worker before it
	// renews the worker's lease under its delegation grant; "" if there is none.
	probeNode          string
	transferHistory    leadtransfer.History
	peersUnreachable   bool // whether some other node is unreachable
	lastStep           clock.Instant
	stallEnded         clock.Instant
	nextMachineTypesAt clock.Instant
}

// ElectionInput wraps an input to the leader election.
type ElectionInput struct{ Input election.Input }

// ElectionEffect wraps an effect of the leader election.
type ElectionEffect struct{ Effect election.Effect }

func (ElectionInput) input()   {}
func (ElectionEffect) effect() {}

// NewCore returns the core of the node that the settings describe.
func NewCore(settings *config.Settings, pol *policy.Policy, clk clock.Clock, budget *kvstore.Budget,
	rng *rand.Rand, log *slog.Logger, m *metrics.Metrics) *Core {
	elector := election.New(settings.NodeName, electionTiming(settings, pol), rng)
	elector.SetNodes(append(settings.PeerNames(), settings.NodeName))
	return &Core{
		environment: &environment{settings: settings, policy: pol, log: log, metrics: m, budget: budget, clock: clk},
		election:    elector,
		delegate:    leasedelegation.NewDelegate(ident.Zone(settings.Zone), settings.Params.Workers, clk.Now()),
		probeNode:   nodeOutsideZone(settings),
	}
}

// electionTiming returns the timing of the leader lease and, if warm standby is enabled, of the leader's heartbeats.
func electionTiming(settings *config.Settings, pol *policy.Policy) election.Timing {
	timing := election.Timing{LeaseTTL: pol.LeaseTTL, RenewInterval: pol.LeaseRenewInterval, PollInterval: pol.LeaderPollInterval}
	timing = timing.ShortenedTo(settings.Params.Workers.MaxFailoverTime())
	if w := pol.Features.WarmStandby; w != nil {
		timing.Heartbeat = election.HeartbeatTiming{Interval: w.HeartbeatInterval, TTL: w.HeartbeatTTL, PollInterval: w.PollInterval}
	}
	return timing
}

// Leader returns the name of the last known leader, or "" if none is known.
func (c *Core) Leader() string { return c.election.LeaderNode() }

// Epoch returns the epoch in which this node is the leader, or 0 if it is not.
func (c *Core) Epoch() ident.Epoch { return c.election.Epoch() }

// Standby returns the status of this node as a standby of the leader.
func (c *Core) Standby() election.StandbyStatus { return c.election.Standby() }

// DelegateIdleSince returns the latest time at which this node may have renewed a worker's lease under a delegation
// grant: its last such renewal or, if that is later, the start of the process.
func (c *Core) DelegateIdleSince() clock.Instant { return c.delegate.IdleSince() }

// MachineTypes returns the machine types, or nil while they are unknown.
func (c *Core) MachineTypes() []*fleet.MachineType { return c.machineTypes }

// Step applies one input at time now and returns the resulting effects: messages, writes and replies. For inputs that
// arrive hundreds of times per second it only updates the state and sends the commands that became due. Work that scans
// all machines and jobs waits for the next tick, since it took 2 ms per heartbeat with 1,500 machines.
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

// detectStall records the end of a stall if the last step was longer ago than stallThreshold.
func (c *Core) detectStall(now clock.Instant) {
	if gap := now.Sub(c.lastStep); gap > stallThreshold {
		c.stallEnded = now
		if c.lastStep != 0 {
			c.metrics.Stalls.Inc()
			c.log.Debug("stall ended", "duration", gap)
		}
	}
	c.lastStep = now
}

// recentlyStalled reports whether a stall ended less than one and a half heartbeat intervals ago. Until then a missing
// heartbeat or reply does not show that its sender failed: it may have arrived during the stall.
func (c *Core) recentlyStalled(now clock.Instant) bool {
	interval := c.settings.Params.Workers.HeartbeatInterval()
	return now.Sub(c.stallEnded) < interval+interval/2
}

// isHighRateInput reports whether the input is of a kind whose rate grows with the number of machines or users.
func isHighRateInput(in Input) bool {
	switch in.(type) {
	case HeartbeatReceived, CommandsAcknowledged, JobRequest, JobChanged, JobRecordRead, DelegationRequest, PeerStatusReceived:
		return true
	}
	return false
}

// stepElection applies an input to the leader election, and begins, continues or ends the term according to the result.
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

// beginTerm starts a term of leadership, whose first action is to read all records.
func (c *Core) beginTerm(now clock.Instant, epoch ident.Epoch) {
	quotas, err := newQuotaManager(c.environment, epoch)
	if err != nil {
		c.emit(StopNode{Err: err})
		return
	}
	c.term = newTerm(c, now, epoch, quotas)
	c.emit(ReadRecords{Epoch: epoch})
}

// handle passes the input to its handler. Inputs that only a leader handles are ignored on other nodes.
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
