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
	// readInterval is the pause between two reads of the records, and minChangeInterval
	// the least time between two changes of them.
	readInterval      = time.Second
	minChangeInterval = 500 * time.Millisecond
	// blockedDemandTTL is how long it counts that work found no room in what is not
	// allocated: until then nothing more of that team is allocated, and what holders do
	// not use is recalled.
	blockedDemandTTL = 3 * time.Second
	// holderTimeout: a holder that has sent no request for so long is revoked. Its key
	// is deleted with its allocations, so nothing that it has not stored can follow.
	holderTimeout = 5 * time.Second
)

// JobUsage is what the allocator must know of the leader's jobs.
type JobUsage struct {
	// Uncovered is what is placed of a team and no reservation covers.
	Uncovered func(ident.Team) Quantity
	// RemainingTasks is how many tasks of a job may still be under way; false: the job
	// is not known.
	RemainingTasks func(ident.JobID) (int, bool)
}

// Allocator is the leader's side: the pure state machine of one term. What is not
// allocated is the leader's own.
type Allocator struct {
	enabled    bool // it may allocate; else it only honors what earlier leaders have
	firstEpoch ident.Epoch
	epoch      ident.Epoch

	teams           map[ident.Team]*teamAccount
	holderRevisions map[string]ident.Revision // of the holder keys, by node
	reservations    map[string]nodeReservations
	coverage        coverage
	lastRequestAt   map[string]clock.Instant // of each holder, or when it was first seen
	pendingRequests map[string]pendingRequest

	loaded            bool
	readInFlight      bool
	readStarted       clock.Instant // when the read in flight began
	loadedReadStarted clock.Instant // when the read began that was loaded last
	nextRead          clock.Instant
	nextChange        clock.Instant
	changeInFlight    *pendingChange
}

// pendingRequest is a holder's request that waits for its response.
type pendingRequest struct {
	request    AllocationRequest
	responder  Responder
	receivedAt clock.Instant
}

// pendingChange is a transaction of the allocator that is under way.
type pendingChange struct {
	records        map[ident.Team]TeamRecord
	removedHolders []string // nodes whose holder keys are deleted
	requesters     []string // nodes whose requests it answers
}

func newPendingChange() *pendingChange {
	return &pendingChange{records: map[ident.Team]TeamRecord{}}
}

// Reply is the response to a holder's request, and who takes it.
type Reply struct {
	Responder Responder
	Response  AllocationResponse
}

// NewAllocator returns the allocator of a term that began in the epoch. Only if it is
// enabled it gives holders what they request. The error is an ErrOutOfRange.
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

// SetEpoch takes in that the leader has advanced its epoch.
func (a *Allocator) SetEpoch(epoch ident.Epoch) { a.epoch = epoch }

// Ready tells whether the records have been read: before, nobody knows what is
// allocated, and nothing may be placed.
func (a *Allocator) Ready() bool { return a.loaded }

// ChangeInFlight tells whether a change is under way.
func (a *Allocator) ChangeInFlight() bool { return a.changeInFlight != nil }

// CoveredTasks is how many tasks of a team's job reservations cover.
func (a *Allocator) CoveredTasks(job ident.JobID, team ident.Team) int {
	return a.coverage.tasks(job, team)
}

// Allocated is what is allocated of a team's limit.
func (a *Allocator) Allocated(team ident.Team) Quantity {
	if account := a.teams[team]; account != nil {
		return account.record.Allocated()
	}
	return Quantity{}
}

// NoteBlocked notes that work of a team found no room for so much in what is not
// allocated.
func (a *Allocator) NoteBlocked(now clock.Instant, team ident.Team, demand Quantity) {
	if account := a.teams[team]; account != nil {
		account.blockedDemand, account.blockedAt = demand, now
	}
}

// Receive takes in a holder's request. Step or CompleteChange returns the reply. What no
// holder can have sent is dropped.
func (a *Allocator) Receive(now clock.Instant, request AllocationRequest, responder Responder) {
	if !request.valid() {
		return
	}
	node := request.Holder.Node
	a.pendingRequests[node] = pendingRequest{request, responder, now}
	if a.holderRevisions[node] == request.Holder.ModRevision {
		a.lastRequestAt[node] = now
	} else {
		a.nextRead = min(a.nextRead, now) // it has registered since, or is revoked
	}
}

// Step decides what to change and whom to answer. It grants nothing unless every node
// enforces allocations; a change holds maxRecords records of teams at most.
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

// serve answers a node's pending request, unless it must wait: for the change that it
// needs, or for its registration to be read.
func (a *Allocator) serve(step allocationStep, node string) (Reply, bool) {
	pending := a.pendingRequests[node]
	holder := pending.request.Holder
	switch revision := a.holderRevisions[node]; {
	case revision < holder.ModRevision && a.loadedReadStarted <= pending.receivedAt:
		return Reply{}, false // its registration may not have been read yet
	case revision != holder.ModRevision:
		revoked := AllocationResponse{Holder: holder, Epoch: a.epoch, Revoked: true}
		return Reply{pending.responder, revoked}, true
	case a.changeAllocations(step, pending.request):
		step.change.requesters = append(step.change.requesters, node)
		return Reply{}, false
	}
	return a.replyTo(step.now, pending, step.usage), true
}

// replyTo answers a request with what is stored.
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

// transaction stores a change, under the epoch and the revisions of the records. Its
// first operation and its second condition are of the same record, by which the outcome
// is found out if the service does not answer.
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

// CompleteChange takes in what became of the change under way, and answers the requests
// that it was for. A change that was not stored is made anew once the records were read
// again.
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

// apply takes in that a change is stored.
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
