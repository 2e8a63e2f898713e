package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/roundlog"
)

// ProvisionMachines is the effect that requests machines. A repeated Name requests no further machines.
type ProvisionMachines struct {
	Name  string
	Offer cloud.Offer
	Count int
}

// ProvisionCompleted is the outcome of a ProvisionMachines.
type ProvisionCompleted struct {
	Name     string
	Offer    cloud.Offer
	SentAt   clock.Instant
	Result   cloud.ProvisionResult
	Machines []ident.MachineID
}

// DeprovisionMachines is the effect that returns machines.
type DeprovisionMachines struct{ Machines []ident.MachineID }

// DeprovisionCompleted is the outcome of a DeprovisionMachines.
type DeprovisionCompleted struct {
	Machines []ident.MachineID
	OK       bool
}

// ListMachines is the effect that reads the page of the machine list that begins after a machine.
type ListMachines struct{ After ident.MachineID }

// MachinesListed is the outcome of a ListMachines.
type MachinesListed struct{ Page cloud.Page }

// ReadMachineTypes is the effect that reads the machine types.
type ReadMachineTypes struct{}

// MachineTypesRead is the outcome of a ReadMachineTypes.
type MachineTypesRead struct {
	Types []*fleet.MachineType // nil: they could not be read
}

func (ProvisionCompleted) input()   {}
func (DeprovisionCompleted) input() {}
func (MachinesListed) input()       {}
func (MachineTypesRead) input()     {}
func (ProvisionMachines) effect()   {}
func (DeprovisionMachines) effect() {}
func (ListMachines) effect()        {}
func (ReadMachineTypes) effect()    {}

const (
	// LeaderCloudShare is the share of the cloud's call rate that the leader uses.
	LeaderCloudShare = 0.8
	// maxPendingProvisions bounds the provision requests that are in flight when a round makes others.
	maxPendingProvisions = 4
	// machineTypesDelay is the time from the start of a term to its first read of the machine types, and
	// machineTypesInterval the pause between two.
	machineTypesDelay    = 5 * time.Second
	machineTypesInterval = time.Minute
	// minListInterval is the least time between two machine lists.
	minListInterval = 2 * time.Second
)

// provisioner calls the cloud within its call rate: it repeats provision and deprovision requests until they are
// answered, and reads the lists of machines and machine types.
type provisioner struct {
	*environment
	tracker            *cloud.Tracker
	calls              *kvstore.TokenBucket
	lister             cloud.MachineLister
	listed             bool // the machine list has been read in this term
	nextMachineTypesAt clock.Instant
}

func newProvisioner(env *environment, now clock.Instant) *provisioner {
	limits := env.settings.Params.Cloud
	return &provisioner{environment: env, tracker: cloud.NewTracker(env.policy.ProvisionBackoff),
		calls: kvstore.NewTokenBucket(limits.RPS*LeaderCloudShare, cloudCallBurst(limits)), nextMachineTypesAt: now.Add(machineTypesDelay)}
}

// cloudCallBurst is how many calls to the cloud may leave at once: a second's worth.
func cloudCallBurst(limits config.Cloud) float64 { return max(1, limits.RPS) }

// reservedCalls is how many calls the reading of lists leaves to the requests: one, if the rate allows more than one at a
// time.
func (p *provisioner) reservedCalls() float64 {
	return min(1, cloudCallBurst(p.settings.Params.Cloud)-1)
}

// request requests the machines of a round; repeated tells that an earlier leader may have done so.
func (p *provisioner) request(now clock.Instant, r roundlog.Provision, repeated bool) {
	p.tracker.AddProvision(now, r.Name, r.Offer, r.Count, repeated)
}

// release returns machines.
func (p *provisioner) release(machines ...ident.MachineID) { p.tracker.AddDeprovision(machines...) }

// isBlocked tells whether an offer was refused so short a time ago that it is not tried again.
func (p *provisioner) isBlocked(now clock.Instant, offer cloud.Offer) bool {
	return p.tracker.Blocked(now, offer)
}

// mayRequest tells whether a round may request machines: a call is left, and few requests are in flight.
func (p *provisioner) mayRequest(now clock.Instant) bool {
	return p.calls.Available(now) >= 1 && len(p.tracker.PendingProvisions()) < maxPendingProvisions
}

// hasListed tells whether the machine list has been read in this term.
func (p *provisioner) hasListed() bool { return p.listed }

// uncertain is how many provision requests have an unknown outcome.
func (p *provisioner) uncertain() int { return p.tracker.UnknownOutcomeCount() }

// call makes the calls that are due: deprovision requests first, since they stop costs, then provision requests, then the
// lists.
func (p *provisioner) call(now clock.Instant) {
	if p.calls.Available(now) < 1 {
		return
	}
	if machines := p.tracker.NextDeprovision(now); len(machines) > 0 {
		p.calls.Take(now, 1, 0)
		p.emit(DeprovisionMachines{Machines: machines})
	}
	for p.calls.Available(now) >= 1 {
		next := p.tracker.NextProvision(now)
		if next == nil {
			break
		}
		p.calls.Take(now, 1, 0)
		p.emit(ProvisionMachines{Name: next.Name, Offer: next.Offer, Count: next.Count})
	}
	if p.lister.PageDue(now) && p.calls.Take(now, 1, p.reservedCalls()) {
		p.emit(ListMachines{After: p.lister.RequestPage(now)})
	}
	if !now.Before(p.nextMachineTypesAt) && p.calls.Take(now, 1, p.reservedCalls()) {
		p.nextMachineTypesAt = now.Add(machineTypesInterval)
		p.emit(ReadMachineTypes{})
	}
}

// pendingProvisions are the provision requests that are not answered.
func (p *provisioner) pendingProvisions() []*cloud.ProvisionRequest {
	return p.tracker.PendingProvisions()
}

// finishProvision takes in the answer to a provision request. It tells whether the request needs no repetition.
func (p *provisioner) finishProvision(now clock.Instant, in ProvisionCompleted) bool {
	return p.tracker.FinishProvision(now, in.Name, in.Result, len(in.Machines))
}

// finishDeprovision takes in the answer to a deprovision request.
func (p *provisioner) finishDeprovision(now clock.Instant, in DeprovisionCompleted) {
	p.tracker.FinishDeprovision(now, in.Machines, in.OK)
}

// addPage takes in a page of the machine list. It returns the list and true once all pages are read.
func (p *provisioner) addPage(now clock.Instant, page cloud.Page) (cloud.MachineList, bool) {
	list, complete := p.lister.AddPage(now, page, max(p.settings.Params.Cloud.ListLag(), minListInterval))
	p.listed = p.listed || complete
	return list, complete
}

// provisionCompleted takes in the machines that were provisioned.
func (t *term) provisionCompleted(now clock.Instant, in ProvisionCompleted) {
	if t.provisioner.finishProvision(now, in) {
		t.rounds.provisionSettled(in.Name)
	}
	t.rounds.requestPlan()
	for _, id := range in.Machines {
		if t.fleet.WasRemoved(id) {
			continue // a repeated request names the machines of the first
		}
		known := t.fleet.Machine(id) != nil
		m := t.fleet.Ensure(now, id)
		m.Confirmed = true
		if !known {
			m.Type, m.Zone, m.Spot, m.ProvisionedAt = in.Offer.Type, in.Offer.Zone, in.Offer.Spot, in.SentAt
		}
	}
	t.log.Info("provision request answered", "provision", in.Name, "result", in.Result.String(), "machines", len(in.Machines), "epoch", t.epoch)
}

// deprovisionCompleted removes the machines that were returned.
func (t *term) deprovisionCompleted(now clock.Instant, in DeprovisionCompleted) {
	t.provisioner.finishDeprovision(now, in)
	if !in.OK {
		return
	}
	for _, id := range in.Machines {
		t.rounds.deprovisionSettled(id)
		t.tasksEnded(now, t.fleet.Remove(now, id))
	}
	t.rounds.requestPlan()
}

// setMachineTypes takes in the machine types, if they could be read.
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
