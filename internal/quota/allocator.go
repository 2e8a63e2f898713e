package quota

import (
	"maps"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

const (
	// readInterval is the interval between two reads of the records, and minChangeInterval the minimum interval
	// between two changes to them.
	readInterval      = time.Second
	minChangeInterval = 500 * time.Millisecond
	// blockedDemandTTL is how long blocked demand is taken into account: demand that did not fit into the unallocated
	// part of a team's limit. During that time nothing more of the team's limit is allocated, and as much as was
	// demanded is recalled from what holders do not use.
	blockedDemandTTL = 3 * time.Second
	// holderTimeout is how long a holder may go without sending a request before it is revoked. Its key is deleted
	// together with its allocations. Its writes are conditional on the key, so none can succeed afterwards.
	holderTimeout = 5 * time.Second
)

// JobUsage is the information about the leader's jobs that the allocator needs.
type JobUsage struct {
	// Uncovered returns the quantity of a team's placed tasks that no reservation covers.
	Uncovered func(ident.Team) Quantity
	// RemainingTasks returns how many tasks of a job may still be in progress, and false if the job is not known.
	RemainingTasks func(ident.JobID) (int, bool)
}

// Allocator is the leader's side of quota allocation: a pure state machine that exists for one term. The leader
// itself uses the part of a team's limit that is not allocated to holders.
type Allocator struct {
	enabled    bool        // whether it grants quota; otherwise it only honors the allocations of earlier leaders
	firstEpoch ident.Epoch // in which the term began
	epoch      ident.Epoch

	teams           map[ident.Team]*teamAccount
	holderRevisions map[string]ident.Revision // revisions of the holder keys, by node
	reservations    map[string]nodeReservations
	coverage        coverage
	lastRequestAt   map[string]clock.Instant // last request of each holder, or when the holder was first read
	pendingRequests map[string]pendingRequest

	loaded            bool
	readInFlight      bool
	readStarted       clock.Instant // start of the read in flight
	loadedReadStarted clock.Instant // start of the read that was loaded last
	nextRead          clock.Instant
	nextChange        clock.Instant
	changeInFlight    *pendingChange
}

// pendingRequest is a holder's request that has not been answered yet.
type pendingRequest struct {
	request    AllocationRequest
	responder  Responder
	receivedAt clock.Instant
}

// pendingChange is a transaction of the allocator that is being built or in flight.
type pendingChange struct {
	records        map[ident.Team]TeamRecord
	removedHolders []string // nodes whose holder keys are deleted
	requesters     []string // nodes whose requests are answered once the change is stored
}

func newPendingChange() *pendingChange {
	return &pendingChange{records: map[ident.Team]TeamRecord{}}
}

// Reply is the response to a holder's request, with the Responder that delivers it.
type Reply struct {
	Responder Responder
	Response  AllocationResponse
}

// NewAllocator returns the allocator of a term that began in the epoch. It grants quota to holders only if enabled is
// true. The error wraps ErrOutOfRange.
func NewAllocator(teams map[ident.Team]config.Team, enabled bool, epoch ident.Epoch) (*Allocator, error) {
	a := &Allocator{
		enabled:         enabled,
		firstEpoch:      epoch,
		epoch:           epoch,
		teams:           make(map[ident.Team]*teamAccount, len(teams)),
		holderRevisions: map[string]ident.Revision{},
		reservations:    map[string]nodeReservations{},
		coverage:        newCoverage(),
		lastRequestAt:   map[string]clock.Instant{},
		pendingRequests: map[string]pendingRequest{},
	}
	for name, team := range teams {
		account, err := newTeamAccount(team)
		if err != nil {
			return nil, err
		}
		a.teams[name] = account
	}
	return a, nil
}

// SetEpoch sets the epoch after the leader has advanced it.
func (a *Allocator) SetEpoch(epoch ident.Epoch) { a.epoch = epoch }

// Ready reports whether the records have been read. Until then the allocations are unknown, and nothing may be
// placed.
func (a *Allocator) Ready() bool { return a.loaded }

// ChangeInFlight reports whether a change is in flight.
func (a *Allocator) ChangeInFlight() bool { return a.changeInFlight != nil }

// CoveredTasks returns how many tasks of a team's job are covered by reservations.
func (a *Allocator) CoveredTasks(job ident.JobID, team ident.Team) int {
	return a.coverage.tasks(job, team)
}

// Allocated returns how much of a team's limit is allocated to holders.
func (a *Allocator) Allocated(team ident.Team) Quantity {
	if account := a.teams[team]; account != nil {
		return account.record.Allocated()
	}
	return Quantity{}
}

// RecordBlockedDemand records that work of a team with this demand did not fit into the unallocated part of the team's
// limit.
func (a *Allocator) RecordBlockedDemand(now clock.Instant, team ident.Team, demand Quantity) {
	if account := a.teams[team]; account != nil {
		account.blockedDemand, account.blockedAt = demand, now
	}
}

// Receive queues a holder's request. A later Step or CompleteChange returns the reply. An invalid request is dropped
// without a reply.
func (a *Allocator) Receive(now clock.Instant, request AllocationRequest, responder Responder) {
	if !request.valid() {
		return
	}
	node := request.Holder.Node
	a.pendingRequests[node] = pendingRequest{request, responder, now}
	if a.holderRevisions[node] == request.Holder.ModRevision {
		a.lastRequestAt[node] = now
	} else {
		a.nextRead = min(a.nextRead, now) // the holder registered after the last read, or was revoked
	}
}

// Step returns the next transaction to commit, if any, and the replies that need no change. It grants nothing unless
// every node enforces allocations. A change contains at most maxRecords team records.
func (a *Allocator) Step(now clock.Instant, usage JobUsage, allEnforce bool, maxRecords int) (*kvstore.Txn, []Reply) {
	if !a.loaded || a.changeInFlight != nil || now.Before(a.nextChange) {
		return nil, nil
	}
	if txn := a.revokeNext(now, maxRecords); txn != nil {
		a.nextChange = now.Add(minChangeInterval)
		return txn, nil
	}
	step := allocationStep{now: now, usage: usage, mayGrant: allEnforce && a.enabled, maxRecords: maxRecords, change: newPendingChange()}
	var replies []Reply
	for _, node := range slices.Sorted(maps.Keys(a.pendingRequests)) {
		if reply, ok := a.serve(step, node); ok {
			delete(a.pendingRequests, node)
			replies = append(replies, reply)
		}
	}
	if len(step.change.records) == 0 {
		return nil, replies
	}
	a.changeInFlight, a.nextChange = step.change, now.Add(minChangeInterval)
	return a.transaction(step.change), replies
}

// serve answers a node's pending request. It returns false if the request has to wait for a change that it needs, or
// for a read that can show the holder's registration.
func (a *Allocator) serve(step allocationStep, node string) (Reply, bool) {
	pending := a.pendingRequests[node]
	holder := pending.request.Holder
	switch revision := a.holderRevisions[node]; {
	case revision < holder.ModRevision && a.loadedReadStarted <= pending.receivedAt:
		return Reply{}, false // the last read may have begun before the registration
	case revision != holder.ModRevision:
		revoked := AllocationResponse{Holder: holder, Epoch: a.epoch, Revoked: true}
		return Reply{pending.responder, revoked}, true
	case a.changeAllocations(step, pending.request):
		step.change.requesters = append(step.change.requesters, node)
		return Reply{}, false
	}
	return a.replyTo(step.now, pending, step.usage), true
}

// replyTo returns the reply to a request, with the allocations as they are stored.
func (a *Allocator) replyTo(now clock.Instant, pending pendingRequest, usage JobUsage) Reply {
	request := pending.request
	response := AllocationResponse{Holder: request.Holder, Epoch: a.epoch}
	for _, team := range request.Teams {
		if account := a.teams[team.Team]; account != nil {
			response.Teams = append(response.Teams, account.allocationFor(now, request.Holder, team))
		}
	}
	for _, job := range request.Jobs {
		if tasks, known := usage.RemainingTasks(job); known {
			response.JobCaps = append(response.JobCaps, JobCap{job, tasks})
			a.coverage.capJob(job, tasks)
		}
	}
	return Reply{pending.responder, response}
}

// transaction returns the transaction that stores a change, conditional on the epoch and on the revisions of the
// records. Its first operation and its second condition refer to the same key: if the service does not answer, the
// outcome is determined from the revision of that key.
func (a *Allocator) transaction(change *pendingChange) *kvstore.Txn {
	txn := &kvstore.Txn{Conditions: []kvstore.Condition{election.EpochCondition(a.epoch)}}
	for _, team := range slices.Sorted(maps.Keys(change.records)) {
		account, record := a.teams[team], change.records[team]
		record.SchemaVersion, record.Limit, record.Guarantee = recordSchemaVersion, account.limit, account.guarantee
		change.records[team] = record
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: TeamKey(team), ModRevision: account.revision})
		txn.Operations = append(txn.Operations, kvstore.Operation{SetKey: TeamKey(team), Value: &record})
	}
	return txn
}

// CompleteChange handles the outcome of the change in flight, and returns the replies to the requests that it was
// made for. After a change that was not stored, the records are read again, and the change is determined anew.
func (a *Allocator) CompleteChange(now clock.Instant, stored bool, revision ident.Revision, usage JobUsage) []Reply {
	change := a.changeInFlight
	a.changeInFlight = nil
	if change == nil {
		return nil
	}
	if !stored {
		a.nextRead, a.nextChange = now, now.Add(minChangeInterval)
		return nil
	}
	a.apply(change, revision)
	a.nextRead = now
	var replies []Reply
	for _, node := range change.requesters {
		if pending, waiting := a.pendingRequests[node]; waiting {
			delete(a.pendingRequests, node)
			replies = append(replies, a.replyTo(now, pending, usage))
		}
	}
	return replies
}

// apply updates the allocator's state after a change has been stored.
func (a *Allocator) apply(change *pendingChange, revision ident.Revision) {
	for team, record := range change.records {
		account := a.teams[team]
		account.record, account.revision, account.damaged = record, revision, false
	}
	for _, node := range change.removedHolders {
		delete(a.holderRevisions, node)
		delete(a.lastRequestAt, node)
	}
	a.updateCoverage()
}
