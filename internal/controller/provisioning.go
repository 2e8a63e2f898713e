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

// ProvisionMachines is the effect that requests machines from the cloud. Repeating a request under the same Name
// provisions no further machines.
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

// DeprovisionMachines is the effect that returns machines to the cloud.
type DeprovisionMachines struct{ Machines []ident.MachineID }

// DeprovisionCompleted is the outcome of a DeprovisionMachines.
type DeprovisionCompleted struct {
	Machines []ident.MachineID
	OK       bool
}

// ListMachines is the effect that reads the page of the machine list that begins after the machine After.
type ListMachines struct{ After ident.MachineID }

// MachinesListed is the outcome of a ListMachines.
type MachinesListed struct{ Page cloud.Page }

// ReadMachineTypes is the effect that reads the machine types from the cloud.
type ReadMachineTypes struct{}

// MachineTypesRead is the outcome of a ReadMachineTypes.
type MachineTypesRead struct {
	Types []*fleet.MachineType // nil if they could not be read
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
	// LeaderCloudShare is the share of the cloud's call rate that the leader may use.
	LeaderCloudShare = 0.8
	// maxPendingProvisions is the number of pending provision requests from which on a round makes no others.
	maxPendingProvisions = 4
	// machineTypesDelay is the time from the start of a term to its first read of the machine types, and
	// machineTypesInterval the time between two reads.
	machineTypesDelay    = 5 * time.Second
	machineTypesInterval = time.Minute
	// minListInterval is the minimum time between two reads of the machine list.
	minListInterval = 2 * time.Second
)

// provisioner calls the cloud within the leader's call rate. It repeats provision and deprovision requests until they
// are answered, and reads the machine list and the machine types.
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

// cloudCallBurst returns how many calls may be sent to the cloud at once: those of one second.
func cloudCallBurst(limits config.Cloud) float64 { return max(1, limits.RPS) }

// reservedCalls returns how many calls the reads of lists leave to provision and deprovision requests: one, if the
// burst allows more than one call at a time.
func (p *provisioner) reservedCalls() float64 {
	return min(1, cloudCallBurst(p.settings.Params.Cloud)-1)
}

// request adds the provision request of a round. repeated means that an earlier leader may already have sent it.
func (p *provisioner) request(now clock.Instant, r roundlog.Provision, repeated bool) {
	p.tracker.AddProvision(now, r.Name, r.Offer, r.Count, repeated)
}

// deprovision adds machines to deprovision.
func (p *provisioner) deprovision(machines ...ident.MachineID) { p.tracker.AddDeprovision(machines...) }

// isBlocked reports whether the cloud refused an offer so recently that it is not requested again yet.
func (p *provisioner) isBlocked(now clock.Instant, offer cloud.Offer) bool {
	return p.tracker.Blocked(now, offer)
}

// mayRequest reports whether a round may request machines: a call is available, and fewer than maxPendingProvisions
// requests are pending.
func (p *provisioner) mayRequest(now clock.Instant) bool {
	return p.calls.Available(now) >= 1 && len(p.tracker.PendingProvisions()) < maxPendingProvisions
}

// hasListed reports whether the machine list has been read in this term.
func (p *provisioner) hasListed() bool { return p.listed }

// unknownOutcomeCount returns the number of provision requests whose outcome is unknown.
func (p *provisioner) unknownOutcomeCount() int { return p.tracker.UnknownOutcomeCount() }

// sendDueCalls sends the calls that are due: deprovision requests first, because they stop costs, then provision
// requests, then reads of the machine list and the machine types.
func (p *provisioner) sendDueCalls(now clock.Instant) {
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

// pendingProvisions returns the provision requests that are not settled.
func (p *provisioner) pendingProvisions() []*cloud.ProvisionRequest {
	return p.tracker.PendingProvisions()
}

// finishProvision applies the result of a provision request, and reports whether the request needs no further attempts.
func (p *provisioner) finishProvision(now clock.Instant, in ProvisionCompleted) bool {
	return p.tracker.FinishProvision(now, in.Name, in.Result, len(in.Machines))
}

// finishDeprovision applies the result of a deprovision request.
func (p *provisioner) finishDeprovision(now clock.Instant, in DeprovisionCompleted) {
	p.tracker.FinishDeprovision(now, in.Machines, in.OK)
}

// addPage adds a page of the machine list. It returns the list and true once all pages have been read.
func (p *provisioner) addPage(now clock.Instant, page cloud.Page) (cloud.MachineList, bool) {
	list, complete := p.lister.AddPage(now, page, max(p.settings.Params.Cloud.ListLag(), minListInterval))
	p.listed = p.listed || complete
	return list, complete
}

// provisionCompleted applies the result of a provision request, and adds the provisioned machines to the fleet.
func (t *term) provisionCompleted(now clock.Instant, in ProvisionCompleted) {
	if t.provisioner.finishProvision(now, in) {
		t.rounds.provisionSettled(in.Name)
	}
	t.rounds.requestPlan()
	for _, id := range in.Machines {
		if t.fleet.WasRemoved(id) {
			continue // the response to a repeated request names the machines of the first one
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

// deprovisionCompleted removes the deprovisioned machines from the fleet.
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

// setMachineTypes replaces the machine types, if they could be read.
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
