package quota

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/kvstore"
)

const (
	// readInterval is the pause between two looks at the records, and changeEvery the
	// least time between two changes of them.
	readInterval      = time.Second
	minChangeInterval = 500 * time.Millisecond
	// blockedDemandTTL is how long it counts that work found no room in what is not
	// allotted: until then nothing more is allotted of that team, and what holders
	// do not use is recalled.
	blockedDemandTTL = 3 * time.Second
	// holderTimeout: a holder that has asked nothing for so long is revoked. Its key
	// is removed with its allotments, so nothing that it has not stored can follow.
	holderTimeout = 5 * time.Second
)

func leaderCondition(epoch ident.Epoch) kvstore.Condition {
	return kvstore.Condition{Key: election.LeaderKey, ModRevision: ident.Revision(epoch)}
}

// teamAccount is what the leader knows of a team.
type teamAccount struct {
	limit, guarantee Quantity
	record           TeamRecord
	revision         ident.Revision // of the stored record; 0: there is none
	blockedDemand    Quantity       // what found no room in what is not allotted
	blockedAt        clock.Instant
	damaged          bool // the stored record can't be read
}

// nodeReservations are those of one node, as they were last read.
type nodeReservations struct {
	holderRevision ident.Revision
	revision       ident.Revision
	jobs           []Reservation
}

// pendingRequest is a holder's ask that waits for its answer.
type pendingRequest struct {
	request    AllocationRequest
	ticket     any
	receivedAt clock.Instant
}

// pendingChange is a transaction of the ledger that is under way.
type pendingChange struct {
	records        map[ident.Team]TeamRecord
	removedHolders []string // nodes whose keys and reservations are removed
	requesters     []string // nodes whose asks it answers
}

// JobUsage is what the ledger must know of the leader's jobs.
type JobUsage struct {
	// Uncovered is what is placed of a team and no reservation covers.
	Uncovered func(ident.Team) Quantity
	// RemainingTasks is how many tasks of a job may still be under way; false: the job
	// is not known.
	RemainingTasks func(ident.JobID) (int, bool)
}

// Allocator is the leader's side: the state machine of one term. What is not allotted is
// the leader's own.
type Allocator struct {
	enabled         bool        // it may allot; else it only honours what earlier leaders have
	firstEpoch      ident.Epoch // of the term
	epoch           ident.Epoch
	teams           map[ident.Team]*teamAccount
	holderRevisions map[string]ident.Revision // holder keys
	reservations    map[string]nodeReservations
	covered         map[ident.JobID]Reservation // what reservations cover
	jobCaps         map[ident.JobID]int         // what was told to holders in this term
	lastRequest     map[string]clock.Instant    // when a holder last asked, or was first seen
	pendingRequests map[string]pendingRequest

	loaded                  bool
	readInFlight            bool
	readStarted, loadedFrom clock.Instant // when the present look, and the last whole one, began
	nextRead,
	nextChange clock.Instant
	inFlight *pendingChange
	revoked  int
}

// NewAllocator returns the ledger of a term that began in the epoch. With allots it gives
// holders what they ask for.
func NewAllocator(teams map[ident.Team]config.Team, allots bool, epoch ident.Epoch) (*Allocator, error) {
	l := &Allocator{enabled: allots, firstEpoch: epoch, epoch: epoch, teams: map[ident.Team]*teamAccount{}, holderRevisions: map[string]ident.Revision{}, reservations: map[string]nodeReservations{},
		covered: map[ident.JobID]Reservation{}, jobCaps: map[ident.JobID]int{}, lastRequest: map[string]clock.Instant{}, pendingRequests: map[string]pendingRequest{}}
	for name, t := range teams {
		limit, err := LimitOf(t)
		if err != nil {
			return nil, err
		}
		guarantee, err := LimitOf(config.Team{CPULimit: t.CPUGuarantee, GPULimit: t.GPUGuarantee})
		if err != nil {
			return nil, err
		}
		if !guarantee.IsLimited() {
			guarantee = Quantity{}
		}
		l.teams[name] = &teamAccount{limit: limit, guarantee: guarantee.Min(limit)}
	}
	return l, nil
}

// SetEpoch takes in a raised token.
func (l *Allocator) SetEpoch(e ident.Epoch) { l.epoch = e }

// Ready tells whether the records have been read: before, nobody knows what is
// allotted, and nothing may be placed.
func (l *Allocator) Ready() bool { return l.loaded }

// ChangeInFlight tells whether a change is under way.
func (l *Allocator) ChangeInFlight() bool { return l.inFlight != nil }

// BeginReadIfDue tells whether the records should be read now, and notes that they are.
func (l *Allocator) BeginReadIfDue(now clock.Instant) bool {
	active := !l.loaded || len(l.holderRevisions)+len(l.reservations)+len(l.pendingRequests) > 0 || l.hasAllocations()
	if l.readInFlight || now.Before(l.nextRead) || !active {
		return false
	}
	l.readInFlight, l.readStarted, l.nextRead = true, now, now.Add(readInterval)
	return true
}

func (l *Allocator) hasAllocations() bool {
	for _, a := range l.teams {
		if len(a.record.Allocations) > 0 || a.damaged {
			return true
		}
	}
	return false
}

// Load takes in all records, as they were read in the epoch. An error is of a record
// that a later version has written: this one must not decide.
func (l *Allocator) Load(now clock.Instant, epoch ident.Epoch, items []kvstore.KeyValue, ok bool) error {
	if epoch < l.firstEpoch {
		return nil // of an earlier term: holders may have changed them since
	}
	l.readInFlight = false
	if !ok || l.inFlight != nil {
		return nil // what is being changed is read again
	}
	holders, reserved := map[string]ident.Revision{}, map[string]nodeReservations{}
	for _, item := range items {
		if err := l.loadItem(now, item, holders, reserved); err != nil {
			return err
		}
	}
	l.loaded, l.loadedFrom, l.holderRevisions, l.reservations = true, l.readStarted, holders, reserved
	for node := range l.lastRequest {
		if holders[node] == 0 {
			delete(l.lastRequest, node)
		}
	}
	l.updateCovered()
	return nil
}

func (l *Allocator) loadItem(now clock.Instant, item kvstore.KeyValue, holders map[string]ident.Revision, reserved map[string]nodeReservations) error {
	if node, ok := nameFromKey(item.Key, holderPrefix); ok {
		holders[node] = item.ModRevision
		if _, known := l.lastRequest[node]; !known {
			l.lastRequest[node] = now
		}
	}
	if node, ok := nameFromKey(item.Key, reservationPrefix); ok {
		record, jobs, err := DecodeReservationRecord(item.Value)
		if errors.Is(err, ErrNewerSchema) {
			return fmt.Errorf("%s: %w", item.Key, err)
		}
		if err == nil {
			reserved[node] = nodeReservations{record.HolderRevision, item.ModRevision, jobs}
		} else {
			reserved[node] = nodeReservations{revision: item.ModRevision} // covers nothing
		}
	}
	if team, ok := nameFromKey(item.Key, teamPrefix); ok {
		return l.loadTeam(ident.Team(team), item)
	}
	return nil
}

func (l *Allocator) loadTeam(team ident.Team, item kvstore.KeyValue) error {
	a := l.teams[team]
	if a == nil {
		// Of a team that the settings do not name any more. It can submit nothing.
		a = &teamAccount{}
		l.teams[team] = a
	}
	if item.ModRevision < a.revision {
		return nil // it was read before the last change of it
	}
	record, err := DecodeTeamRecord(item.Value)
	if errors.Is(err, ErrNewerSchema) {
		return fmt.Errorf("%s: %w", item.Key, err)
	}
	a.revision, a.damaged = item.ModRevision, err != nil
	if err == nil {
		a.record = *record
	} else {
		a.record = TeamRecord{}
	}
	return nil
}

// updateCovered works out which tasks of which jobs reservations cover. Those of a holder
// that is not, or that has more than it was allotted, cover nothing: then its tasks
// count as the leader's own.
func (l *Allocator) updateCovered() {
	clear(l.covered)
	for _, node := range slices.Sorted(maps.Keys(l.reservations)) {
		r, sums := l.reservations[node], map[ident.Team]Quantity{}
		for i := range r.jobs {
			one := &r.jobs[i]
			if most, told := l.jobCaps[one.Job]; told {
				one.Tasks = min(one.Tasks, most)
			}
			sums[one.Team] = sums[one.Team].Add(one.TaskDemand.Mul(one.Tasks))
		}
		for _, one := range r.jobs {
			a := l.teams[one.Team]
			if a == nil {
				continue
			}
			allotted := a.record.allocationOf(node)
			if allotted == nil || allotted.Holder.ModRevision != r.holderRevision || l.holderRevisions[node] != r.holderRevision || !sums[one.Team].Within(allotted.Quantity) {
				continue
			}
			l.covered[one.Job] = one
		}
	}
}

// CoveredTasks is how many tasks of a team's job reservations cover.
func (l *Allocator) CoveredTasks(job ident.JobID, team ident.Team) int {
	if r, ok := l.covered[job]; ok && r.Team == team {
		return r.Tasks
	}
	return 0
}

// Allocated is what is allotted of a team's limit.
func (l *Allocator) Allocated(team ident.Team) Quantity {
	if a := l.teams[team]; a != nil {
		return a.record.Allocated()
	}
	return Quantity{}
}

// NoteBlocked notes that work of a team found no room for so much in what is not allotted.
func (l *Allocator) NoteBlocked(now clock.Instant, team ident.Team, units Quantity) {
	if a := l.teams[team]; a != nil {
		a.blockedDemand, a.blockedAt = units, now
	}
}

// recallTarget tells what is wanted back of a team.
func (a *teamAccount) recallTarget(now clock.Instant) Quantity {
	over := a.record.Allocated().Sub(a.limit).Max(Quantity{})
	if a.blockedAt != 0 && now.Sub(a.blockedAt) <= blockedDemandTTL {
		return over.Max(a.blockedDemand)
	}
	return over
}

// Receive takes in a holder's ask; its answer comes with Answers.
func (l *Allocator) Receive(now clock.Instant, ask AllocationRequest, ticket any) {
	if !ask.valid() {
		return
	}
	l.pendingRequests[ask.Holder.Node] = pendingRequest{ask, ticket, now}
	if l.holderRevisions[ask.Holder.Node] == ask.Holder.ModRevision {
		l.lastRequest[ask.Holder.Node] = now
	} else {
		l.nextRead = min(l.nextRead, now) // it has registered since, or is revoked
	}
}

// Reply is an answer to an ask.
type Reply struct {
	Ticket   any
	Response AllocationResponse
}

// Step decides what to change and whom to answer. may tells whether every node keeps
// to allotments; teams bounds the records of one change.
func (l *Allocator) Step(now clock.Instant, use JobUsage, may bool, teams int) (*kvstore.Txn, []Reply) {
	if !l.loaded || l.inFlight != nil || now.Before(l.nextChange) {
		return nil, nil
	}
	if txn := l.revokeNext(now, teams); txn != nil {
		l.nextChange = now.Add(minChangeInterval)
		return txn, nil
	}
	c := &pendingChange{records: map[ident.Team]TeamRecord{}}
	var replies []Reply
	for _, node := range slices.Sorted(maps.Keys(l.pendingRequests)) {
		p := l.pendingRequests[node]
		switch stamp := l.holderRevisions[node]; {
		case stamp < p.request.Holder.ModRevision && l.loadedFrom <= p.receivedAt:
			continue // its registration may not have been read yet
		case stamp != p.request.Holder.ModRevision:
			delete(l.pendingRequests, node)
			replies = append(replies, Reply{p.ticket, AllocationResponse{Holder: p.request.Holder, Epoch: l.epoch, Revoked: true}})
			continue
		}
		if l.changeAllocations(now, c, p.request, use, may, teams) {
			c.requesters = append(c.requesters, node)
			continue
		}
		delete(l.pendingRequests, node)
		replies = append(replies, l.responseTo(now, p, use))
	}
	if len(c.records) == 0 {
		return nil, replies
	}
	l.inFlight, l.nextChange = c, now.Add(minChangeInterval)
	return l.transaction(c), replies
}

// changeAllocations works out the allotments that a holder's ask changes, and tells whether it
// changes any.
func (l *Allocator) changeAllocations(now clock.Instant, c *pendingChange, ask AllocationRequest, use JobUsage, may bool, most int) bool {
	changed := false
	for _, t := range ask.Teams {
		a := l.teams[t.Team]
		if a == nil || !a.limit.IsLimited() || a.damaged {
			continue
		}
		record, begun := c.records[t.Team]
		if !begun {
			if len(c.records) == most {
				continue
			}
			record = a.record.clone()
		}
		record.SchemaVersion, record.Limit, record.Guarantee = recordSchemaVersion, a.limit, a.guarantee
		if !l.adjustAllocation(now, a, &record, ask.Holder, t, use, may) {
			continue
		}
		c.records[t.Team] = record
		changed = true
	}
	return changed
}

// adjustAllocation changes a holder's allotment in a record as it asks: down to what it has
// promised, and up to what it wants, as far as there is any. At most half of what is
// left goes to one holder at a time, so that others find some too.
func (l *Allocator) adjustAllocation(now clock.Instant, a *teamAccount, record *TeamRecord, holder HolderID, t TeamRequest, use JobUsage, may bool) bool {
	own := record.allocationOf(holder.Node)
	if own != nil && own.Holder != holder {
		return false // of an earlier incarnation, which is revoked first
	}
	if own != nil && t.ReleaseSeq < own.ReleaseSeq {
		return false // overtaken by a later one
	}
	base := Quantity{}
	if own != nil {
		base = own.Quantity
		if t.ReleaseSeq > own.ReleaseSeq {
			base = base.Min(t.Ceiling)
		}
	}
	free := a.limit.Sub(record.Allocated()).Sub(use.Uncovered(t.Team))
	grant := Quantity{}
	if may && l.enabled && a.recallTarget(now).IsZero() {
		grant = t.Desired.Sub(base).Min(Quantity{(free.MilliCPU + 1) / 2, (free.MilliGPU + 1) / 2}).Max(Quantity{})
	}
	total := base.Add(grant)
	if own == nil && (total.IsZero() || len(record.Allocations) == MaxHolders) || own != nil && own.Quantity == total && own.ReleaseSeq == t.ReleaseSeq {
		return false
	}
	if own == nil {
		record.Allocations = append(record.Allocations, Allocation{Holder: holder})
		own = &record.Allocations[len(record.Allocations)-1]
	}
	own.Quantity, own.ReleaseSeq = total, t.ReleaseSeq
	return true
}

// responseTo answers an ask with what is stored.
func (l *Allocator) responseTo(now clock.Instant, p pendingRequest, use JobUsage) Reply {
	answer := AllocationResponse{Holder: p.request.Holder, Epoch: l.epoch}
	for _, t := range p.request.Teams {
		a := l.teams[t.Team]
		if a == nil {
			continue
		}
		share := TeamAllocation{Team: t.Team, ReleaseSeq: t.ReleaseSeq}
		if own := a.record.allocationOf(p.request.Holder.Node); own != nil && own.Holder == p.request.Holder {
			share.ReleaseSeq, share.Allocated = own.ReleaseSeq, own.Quantity
		}
		share.Recall = a.recallTarget(now).Min(share.Allocated)
		answer.Teams = append(answer.Teams, share)
	}
	for _, id := range p.request.Jobs {
		if n, known := use.RemainingTasks(id); known {
			answer.JobCaps = append(answer.JobCaps, JobCap{id, n})
			l.capJob(id, n)
		}
	}
	return Reply{p.ticket, answer}
}

// capJob notes what a holder was told of a job: it may free the rest from now on.
func (l *Allocator) capJob(id ident.JobID, n int) {
	if old, told := l.jobCaps[id]; told && old <= n {
		return
	}
	r, covered := l.covered[id]
	if !covered {
		return // nothing that could be freed is known of
	}
	l.jobCaps[id] = n
	r.Tasks = min(r.Tasks, n)
	l.covered[id] = r
}

// revokeNext takes everything from a holder that is gone or silent: in one transaction with
// its key, where there is one, so that nothing which it has not stored can follow.
func (l *Allocator) revokeNext(now clock.Instant, most int) *kvstore.Txn {
	if txn := l.replaceDamaged(most); txn != nil {
		return txn
	}
	for _, node := range l.knownNodes() {
		stamp := l.holderRevisions[node]
		silent := stamp != 0 && now.Sub(l.lastRequest[node]) > holderTimeout
		r, stored := l.reservations[node]
		stale := stored && (silent || r.holderRevision != stamp)
		c := &pendingChange{records: map[ident.Team]TeamRecord{}}
		for _, team := range slices.Sorted(maps.Keys(l.teams)) {
			a := l.teams[team]
			if own := a.record.allocationOf(node); own != nil && (silent || own.Holder.ModRevision != stamp) && len(c.records) < most {
				c.records[team] = a.record.without(node)
			}
		}
		if !silent && !stale && len(c.records) == 0 {
			continue
		}
		l.inFlight = c
		l.revoked++
		txn := l.transaction(c)
		if silent {
			c.removedHolders = append(c.removedHolders, node)
			appendRemoval(txn, HolderKey(node), stamp)
		}
		if stale {
			appendRemoval(txn, ReservationKey(node), r.revision)
		}
		return txn
	}
	return nil
}

// appendRemoval adds the removal of a key to a transaction.
func appendRemoval(txn *kvstore.Txn, key string, stamp ident.Revision) {
	txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, ModRevision: stamp})
	txn.Operations = append(txn.Operations, kvstore.Operation{DeleteKey: key})
}

// replaceDamaged replaces a team's record that can't be read by one without
// allotments, with the last of the transactions that remove all holder keys: whoever
// had an allotment by it can store nothing more.
func (l *Allocator) replaceDamaged(most int) *kvstore.Txn {
	for _, team := range slices.Sorted(maps.Keys(l.teams)) {
		if !l.teams[team].damaged {
			continue
		}
		holders := slices.Sorted(maps.Keys(l.holderRevisions))
		c := &pendingChange{records: map[ident.Team]TeamRecord{}}
		if len(holders) <= most {
			c.records[team] = TeamRecord{}
		}
		c.removedHolders = holders[:min(len(holders), most)]
		l.inFlight = c
		l.revoked++
		txn := l.transaction(c)
		for _, node := range c.removedHolders {
			appendRemoval(txn, HolderKey(node), l.holderRevisions[node])
		}
		return txn
	}
	return nil
}

// knownNodes lists those that are holders, or have an allotment.
func (l *Allocator) knownNodes() []string {
	all := map[string]bool{}
	for node := range l.holderRevisions {
		all[node] = true
	}
	for _, a := range l.teams {
		for _, one := range a.record.Allocations {
			all[one.Holder.Node] = true
		}
	}
	for node := range l.reservations {
		all[node] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// transaction stores a change, under the epoch and the versions of the records. Its first
// write and its second guard are of the same record.
func (l *Allocator) transaction(c *pendingChange) *kvstore.Txn {
	txn := &kvstore.Txn{Conditions: []kvstore.Condition{leaderCondition(l.epoch)}}
	for _, team := range slices.Sorted(maps.Keys(c.records)) {
		a, record := l.teams[team], c.records[team]
		record.SchemaVersion, record.Limit, record.Guarantee = recordSchemaVersion, a.limit, a.guarantee
		c.records[team] = record
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: TeamKey(team), ModRevision: a.revision})
		txn.Operations = append(txn.Operations, kvstore.Operation{SetKey: TeamKey(team), Value: &record})
	}
	return txn
}

// CompleteChange takes in what became of the change under way, and answers whose asks it
// was for. A change that was not stored is made anew once the records were read again.
func (l *Allocator) CompleteChange(now clock.Instant, stored bool, version ident.Revision, use JobUsage) []Reply {
	c := l.inFlight
	l.inFlight = nil
	if c == nil {
		return nil
	}
	if !stored {
		l.nextRead, l.nextChange = now, now.Add(minChangeInterval)
		return nil
	}
	for team, record := range c.records {
		a := l.teams[team]
		a.record, a.revision, a.damaged = record, version, false
	}
	for _, node := range c.removedHolders {
		delete(l.holderRevisions, node)
		delete(l.lastRequest, node)
	}
	l.nextRead = now
	l.updateCovered()
	var replies []Reply
	for _, node := range c.requesters {
		if p, waits := l.pendingRequests[node]; waits {
			delete(l.pendingRequests, node)
			replies = append(replies, l.responseTo(now, p, use))
		}
	}
	return replies
}

// TeamStatus is what an operator may know of a team.
type TeamStatus struct {
	Limit, Guarantee, Allocated, Uncovered, RecallTarget Quantity
	Allocations                                          []Allocation
	Damaged                                              bool
}

// Status tells how the teams with limits are.
func (l *Allocator) Status(now clock.Instant, use JobUsage) map[ident.Team]TeamStatus {
	out := map[ident.Team]TeamStatus{}
	for team, a := range l.teams {
		if !a.limit.IsLimited() {
			continue
		}
		out[team] = TeamStatus{Limit: a.limit, Guarantee: a.guarantee, Allocated: a.record.Allocated(), Uncovered: use.Uncovered(team),
			RecallTarget: a.recallTarget(now), Allocations: slices.Clone(a.record.Allocations), Damaged: a.damaged}
	}
	return out
}
