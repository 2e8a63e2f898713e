package controller

import (
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/delegation"
	"badgerbay/internal/fleet"
	"badgerbay/internal/handover"
	"badgerbay/internal/quota"
	"badgerbay/internal/rental"
	"badgerbay/internal/rollout"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/takeover"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

// term is what a node holds while it leads: the working copy of everything
// that the state service, the workers and the cloud are the authority of.
type term struct {
	c        *Core
	epoch    unit.Epoch
	acquired unit.Instant
	loaded   bool
	cluster  *rollout.Negotiator // the nodes' versions
	// formStamp is the version of the key that holds the form agreed on.
	formStamp unit.Revision
	ready     bool // reconciled: places from now on
	jobs      map[unit.JobID]*checkpoint.Job
	specSize  map[unit.JobID]int
	reading   map[unit.JobID]bool
	fleet     *fleet.Fleet
	ring      *round.Ring
	rentals   *rental.Tracker
	cloud     *statestore.TokenBucket
	teams     map[unit.Team]config.Team

	dirty      bool // something changed since the last plan
	lastRound  unit.Instant
	planCost   time.Duration // of processor time, about, for the last plan
	nextPlan   unit.Instant
	flight     *flight
	fold       *foldFlight
	retryFold  unit.Instant
	lastRaise  unit.Instant
	lastVacate unit.Instant
	listing    rental.MachineLister
	listRead   bool // the machine list has been read in this term
	nextTypes  unit.Instant
	nextSweep  unit.Instant
	nextStuck  unit.Instant
	waiting    map[unit.JobID][]waiter
	parked     []parked
	tooLarge   map[unit.JobID]unit.Instant // checkpoints not to be tried before
	stage      stage
	lostRounds bool // some round's record can't be read
	asking     takeover.HeartbeatPoll
	hinted     bool // machines are known from a list that was read before this term
	quota      *quota.Allocator
	// keepsQuotas is when each node last said that it would keep to allotments.
	keepsQuotas map[string]unit.Instant
	reach       handover.Reachability
	found       unit.Instant // when a machine that was silent for too long was last heard again
	ledger      *delegation.GrantTracker
	expect      map[unit.Class]round.Objectives
	lastWork    map[unit.Team]unit.Instant // when the team last had work
	lastSpec    map[unit.Class]*checkpoint.Spec
}

func newTerm(c *Core, now unit.Instant, epoch unit.Epoch) *term {
	t := &term{c: c, epoch: epoch, acquired: now, jobs: map[unit.JobID]*checkpoint.Job{},
		specSize: map[unit.JobID]int{}, reading: map[unit.JobID]bool{},
		rentals: rental.NewTracker(c.pol.ProvisionBackoff), ring: round.NewRing(c.pol.RingSlots),
		waiting: map[unit.JobID][]waiter{}, teams: c.set.Params.TeamsByName(),
		lastWork: map[unit.Team]unit.Instant{}, expect: map[unit.Class]round.Objectives{}, lastSpec: map[unit.Class]*checkpoint.Spec{}, tooLarge: map[unit.JobID]unit.Instant{},
		keepsQuotas: map[string]unit.Instant{}, lastRaise: now, nextTypes: now.Add(5 * time.Second)}
	p := c.set.Params
	t.cluster = rollout.New(c.set.PeerNames(), 0)
	t.fleet = fleet.New(fleetTimes(c), epoch, now, t.job)
	t.fleet.SetMachineTypes(c.types)
	t.ledger = delegation.NewGrantTracker(c.set, now)
	t.fleet.SetDelegatedRenewals(t.ledger.RenewalIn)
	t.cloud = statestore.NewTokenBucket(p.Cloud.RPS*cloudCallRate, cloudBurst(p.Cloud))
	t.objectives()
	return t
}

func fleetTimes(c *Core) fleet.Timing {
	w := c.set.Params.Workers
	times := fleet.Timing{HeartbeatInterval: w.HeartbeatInterval(), LeaseDuration: w.LeaseTTL()}
	if c.pol.Features.WarmStandby != nil {
		times.RejoinGrace = w.ReconnectTime()
	}
	return times
}

func (t *term) objectives() {
	for _, o := range t.c.set.Params.Objectives {
		t.expect[o.Class] = t.expect[o.Class].With(o.Kind, unit.Seconds(o.WithinSeconds))
	}
}

func (t *term) job(id unit.JobID) *checkpoint.Job { return t.jobs[id] }

func (t *term) setToken(e unit.Epoch) {
	t.epoch = e
	t.fleet.SetEpoch(e)
	t.quota.SetEpoch(e)
}

// abandon answers those who wait when leadership ends.
func (t *term) abandon() {
	for id := range t.waiting {
		t.answerWaiters(id, userapi.NoLeader, 0)
	}
	t.refuseParked(func(parked) bool { return true })
}

func (t *term) take(now unit.Instant, in Input) {
	switch in := in.(type) {
	case Loaded:
		t.load(now, in)
	case JobRead:
		t.jobRead(now, in)
	case Noticed:
		t.noticed(in)
	case Committed:
		t.committed(now, in)
	case DoDone:
		t.doDone(now, in)
	case HireDone:
		t.hireDone(now, in)
	case ReleaseDone:
		t.releaseDone(now, in)
	case ListDone:
		t.listDone(now, in)
	case QuotaRead:
		t.quotaRead(now, in)
	case QuotaAsked:
		t.quota.Receive(now, in.Ask, in.Ticket)
	}
}

// advance does whatever is due.
func (t *term) advance(now unit.Instant) {
	if !t.loaded {
		t.refuseParked(func(p parked) bool { return !now.Before(p.until) })
		return
	}
	t.sweep(now)
	if !t.c.lead.LeaseValid(now) {
		return
	}
	if t.handOverIfMissed(now) {
		return
	}
	t.askMachines(now)
	t.reconciled(now)
	t.maybeAgree(now)
	t.maybeQuota(now)
	t.maybeRaise(now)
	t.maybeStage(now)
	t.maybeFold(now)
	t.maybeRound(now)
	t.callCloud(now)
	t.push(now)
}

// sweep does what only time brings about.
func (t *term) sweep(now unit.Instant) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(200 * time.Millisecond)
	t.ended(now, t.fleet.ExpireLeases(now))
	t.endBroken(now)
	if t.c.lead.LeaseValid(now) {
		t.probe(now)
	}
	for id, ws := range t.waiting {
		if len(ws) > 0 && !now.Before(ws[0].until) {
			t.answerWaiters(id, userapi.LeaderBusy, 0)
		}
	}
	t.c.met.watch(t, now)
}
