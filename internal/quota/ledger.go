package quota

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/leadership"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

const (
	// readEvery is the pause between two looks at the records, and changeEvery the
	// least time between two changes of them.
	readEvery   = time.Second
	changeEvery = 500 * time.Millisecond
	// blockedFor is how long it counts that work found no room in what is not
	// allotted: until then nothing more is allotted of that team, and what holders
	// do not use is recalled.
	blockedFor = 3 * time.Second
	// silentAfter: a holder that has asked nothing for so long is revoked. Its key
	// is removed with its allotments, so nothing that it has not stored can follow.
	silentAfter = 5 * time.Second
)

func leaderGuard(epoch unit.Epoch) statestore.Condition {
	return statestore.Condition{Key: leadership.LeaderKey, ModRevision: unit.Revision(epoch)}
}

// account is what the leader knows of a team.
type account struct {
	limit, guarantee Units
	record           TeamRecord
	version          unit.Revision // of the stored record; 0: there is none
	blocked          Units         // what found no room in what is not allotted
	blockedAt        unit.Instant
	damaged          bool // the stored record can't be read
}

// reservations are those of one node, as they were last read.
type reservations struct {
	holder  unit.Revision
	version unit.Revision
	jobs    []Reservation
}

// pendingAsk is a holder's ask that waits for its answer.
type pendingAsk struct {
	ask    Ask
	ticket any
	at     unit.Instant
}

// change is a transaction of the ledger that is under way.
type change struct {
	teams   map[unit.Team]TeamRecord
	removed []string // nodes whose keys and reservations are removed
	asks    []string // nodes whose asks it answers
}

// Use is what the ledger must know of the leader's jobs.
type Use struct {
	// Uncovered is what is placed of a team and no reservation covers.
	Uncovered func(unit.Team) Units
	// Remaining is how many tasks of a job may still be under way; false: the job
	// is not known.
	Remaining func(unit.JobID) (int, bool)
}

// Ledger is the leader's side: the state machine of one term. What is not allotted is
// the leader's own.
type Ledger struct {
	allots   bool       // it may allot; else it only honours what earlier leaders have
	first    unit.Epoch // of the term
	epoch    unit.Epoch
	teams    map[unit.Team]*account
	holders  map[string]unit.Revision // holder keys
	reserved map[string]reservations
	cover    map[unit.JobID]Reservation // what reservations cover
	capped   map[unit.JobID]int         // what was told to holders in this term
	heard    map[string]unit.Instant    // when a holder last asked, or was first seen
	pending  map[string]pendingAsk

	read               bool
	reading            bool
	sentRead, readFrom unit.Instant // when the present look, and the last whole one, began
	nextRead,
	nextChange unit.Instant
	flight  *change
	revoked int
}

// NewLedger returns the ledger of a term that began in the epoch. With allots it gives
// holders what they ask for.
func NewLedger(teams map[unit.Team]config.Team, allots bool, epoch unit.Epoch) (*Ledger, error) {
	l := &Ledger{allots: allots, first: epoch, epoch: epoch, teams: map[unit.Team]*account{}, holders: map[string]unit.Revision{}, reserved: map[string]reservations{},
		cover: map[unit.JobID]Reservation{}, capped: map[unit.JobID]int{}, heard: map[string]unit.Instant{}, pending: map[string]pendingAsk{}}
	for name, t := range teams {
		limit, err := LimitOf(t)
		if err != nil {
			return nil, err
		}
		guarantee, err := LimitOf(config.Team{CPUsMax: t.CPUs, GPUsMax: t.GPUs})
		if err != nil {
			return nil, err
		}
		if !guarantee.Limited() {
			guarantee = Units{}
		}
		l.teams[name] = &account{limit: limit, guarantee: guarantee.Min(limit)}
	}
	return l, nil
}

// SetEpoch takes in a raised token.
func (l *Ledger) SetEpoch(e unit.Epoch) { l.epoch = e }

// Ready tells whether the records have been read: before, nobody knows what is
// allotted, and nothing may be placed.
func (l *Ledger) Ready() bool { return l.read }

// Changing tells whether a change is under way.
func (l *Ledger) Changing() bool { return l.flight != nil }

// ReadDue tells whether the records should be read now, and notes that they are.
func (l *Ledger) ReadDue(now unit.Instant) bool {
	active := !l.read || len(l.holders)+len(l.reserved)+len(l.pending) > 0 || l.anyAllotted()
	if l.reading || now.Before(l.nextRead) || !active {
		return false
	}
	l.reading, l.sentRead, l.nextRead = true, now, now.Add(readEvery)
	return true
}

func (l *Ledger) anyAllotted() bool {
	for _, a := range l.teams {
		if len(a.record.Allotments) > 0 || a.damaged {
			return true
		}
	}
	return false
}

// Take takes in all records, as they were read in the epoch. An error is of a record
// that a later version has written: this one must not decide.
func (l *Ledger) Take(now unit.Instant, epoch unit.Epoch, items []statestore.KeyValue, ok bool) error {
	if epoch < l.first {
		return nil // of an earlier term: holders may have changed them since
	}
	l.reading = false
	if !ok || l.flight != nil {
		return nil // what is being changed is read again
	}
	holders, reserved := map[string]unit.Revision{}, map[string]reservations{}
	for _, item := range items {
		if err := l.takeItem(now, item, holders, reserved); err != nil {
			return err
		}
	}
	l.read, l.readFrom, l.holders, l.reserved = true, l.sentRead, holders, reserved
	for node := range l.heard {
		if holders[node] == 0 {
			delete(l.heard, node)
		}
	}
	l.coverJobs()
	return nil
}

func (l *Ledger) takeItem(now unit.Instant, item statestore.KeyValue, holders map[string]unit.Revision, reserved map[string]reservations) error {
	if node, ok := nameOf(item.Key, holderPrefix); ok {
		holders[node] = item.ModRevision
		if _, known := l.heard[node]; !known {
			l.heard[node] = now
		}
	}
	if node, ok := nameOf(item.Key, reservedPrefix); ok {
		record, jobs, err := DecodeReserved(item.Value)
		if errors.Is(err, ErrSchema) {
			return fmt.Errorf("%s: %w", item.Key, err)
		}
		if err == nil {
			reserved[node] = reservations{record.Holder, item.ModRevision, jobs}
		} else {
			reserved[node] = reservations{version: item.ModRevision} // covers nothing
		}
	}
	if team, ok := nameOf(item.Key, teamPrefix); ok {
		return l.takeTeam(unit.Team(team), item)
	}
	return nil
}

func (l *Ledger) takeTeam(team unit.Team, item statestore.KeyValue) error {
	a := l.teams[team]
	if a == nil {
		// Of a team that the settings do not name any more. It can submit nothing.
		a = &account{}
		l.teams[team] = a
	}
	if item.ModRevision < a.version {
		return nil // it was read before the last change of it
	}
	record, err := DecodeTeam(item.Value)
	if errors.Is(err, ErrSchema) {
		return fmt.Errorf("%s: %w", item.Key, err)
	}
	a.version, a.damaged = item.ModRevision, err != nil
	if err == nil {
		a.record = *record
	} else {
		a.record = TeamRecord{}
	}
	return nil
}

// coverJobs works out which tasks of which jobs reservations cover. Those of a holder
// that is not, or that has more than it was allotted, cover nothing: then its tasks
// count as the leader's own.
func (l *Ledger) coverJobs() {
	clear(l.cover)
	for node, r := range l.reserved {
		sums := map[unit.Team]Units{}
		for i := range r.jobs {
			one := &r.jobs[i]
			if most, told := l.capped[one.Job]; told {
				one.Tasks = min(one.Tasks, most)
			}
			sums[one.Team] = sums[one.Team].Plus(one.Need.Times(one.Tasks))
		}
		for _, one := range r.jobs {
			a := l.teams[one.Team]
			if a == nil {
				continue
			}
			allotted := a.record.of(node)
			if allotted == nil || allotted.Holder.Stamp != r.holder || l.holders[node] != r.holder || !sums[one.Team].Within(allotted.Units) {
				continue
			}
			l.cover[one.Job] = one
		}
	}
}

// Covers is how many tasks of a team's job reservations cover.
func (l *Ledger) Covers(job unit.JobID, team unit.Team) int {
	if r, ok := l.cover[job]; ok && r.Team == team {
		return r.Tasks
	}
	return 0
}

// Allotted is what is allotted of a team's limit.
func (l *Ledger) Allotted(team unit.Team) Units {
	if a := l.teams[team]; a != nil {
		return a.record.Allotted()
	}
	return Units{}
}

// Blocked notes that work of a team found no room for so much in what is not allotted.
func (l *Ledger) Blocked(now unit.Instant, team unit.Team, units Units) {
	if a := l.teams[team]; a != nil {
		a.blocked, a.blockedAt = units, now
	}
}

// isBlocked tells what is wanted back of a team.
func (a *account) isBlocked(now unit.Instant) Units {
	over := a.record.Allotted().Minus(a.limit).Max(Units{})
	if a.blockedAt != 0 && now.Sub(a.blockedAt) <= blockedFor {
		return over.Max(a.blocked)
	}
	return over
}

// Ask takes in a holder's ask; its answer comes with Answers.
func (l *Ledger) Ask(now unit.Instant, ask Ask, ticket any) {
	if !ask.valid() {
		return
	}
	l.pending[ask.Holder.Node] = pendingAsk{ask, ticket, now}
	if l.holders[ask.Holder.Node] == ask.Holder.Stamp {
		l.heard[ask.Holder.Node] = now
	} else {
		l.nextRead = min(l.nextRead, now) // it has registered since, or is revoked
	}
}

// Reply is an answer to an ask.
type Reply struct {
	Ticket any
	Answer Answer
}

// Step decides what to change and whom to answer. may tells whether every node keeps
// to allotments; teams bounds the records of one change.
func (l *Ledger) Step(now unit.Instant, use Use, may bool, teams int) (*statestore.Txn, []Reply) {
	if !l.read || l.flight != nil || now.Before(l.nextChange) {
		return nil, nil
	}
	if txn := l.revoke(now, teams); txn != nil {
		l.nextChange = now.Add(changeEvery)
		return txn, nil
	}
	c := &change{teams: map[unit.Team]TeamRecord{}}
	var replies []Reply
	for _, node := range slices.Sorted(maps.Keys(l.pending)) {
		p := l.pending[node]
		switch stamp := l.holders[node]; {
		case stamp < p.ask.Holder.Stamp && l.readFrom <= p.at:
			continue // its registration may not have been read yet
		case stamp != p.ask.Holder.Stamp:
			delete(l.pending, node)
			replies = append(replies, Reply{p.ticket, Answer{Holder: p.ask.Holder, Epoch: l.epoch, Revoked: true}})
			continue
		}
		if l.serve(now, c, p.ask, use, may, teams) {
			c.asks = append(c.asks, node)
			continue
		}
		delete(l.pending, node)
		replies = append(replies, l.reply(now, p, use))
	}
	if len(c.teams) == 0 {
		return nil, replies
	}
	l.flight, l.nextChange = c, now.Add(changeEvery)
	return l.txn(c), replies
}

// serve works out the allotments that a holder's ask changes, and tells whether it
// changes any.
func (l *Ledger) serve(now unit.Instant, c *change, ask Ask, use Use, may bool, most int) bool {
	changed := false
	for _, t := range ask.Teams {
		a := l.teams[t.Team]
		if a == nil || !a.limit.Limited() || a.damaged {
			continue
		}
		record, begun := c.teams[t.Team]
		if !begun {
			if len(c.teams) == most {
				continue
			}
			record = a.record.clone()
		}
		record.Schema, record.Limit, record.Guarantee = schema, a.limit, a.guarantee
		if !l.allot(now, a, &record, ask.Holder, t, use, may) {
			continue
		}
		c.teams[t.Team] = record
		changed = true
	}
	return changed
}

// allot changes a holder's allotment in a record as it asks: down to what it has
// promised, and up to what it wants, as far as there is any. At most half of what is
// left goes to one holder at a time, so that others find some too.
func (l *Ledger) allot(now unit.Instant, a *account, record *TeamRecord, holder HolderID, t TeamAsk, use Use, may bool) bool {
	own := record.of(holder.Node)
	if own != nil && own.Holder != holder {
		return false // of an earlier incarnation, which is revoked first
	}
	if own != nil && t.Promise < own.Promise {
		return false // overtaken by a later one
	}
	base := Units{}
	if own != nil {
		base = own.Units
		if t.Promise > own.Promise {
			base = base.Min(t.Ceiling)
		}
	}
	free := a.limit.Minus(record.Allotted()).Minus(use.Uncovered(t.Team))
	grant := Units{}
	if may && l.allots && a.isBlocked(now).Zero() {
		grant = t.Want.Minus(base).Min(Units{(free.CPU + 1) / 2, (free.GPU + 1) / 2}).Max(Units{})
	}
	total := base.Plus(grant)
	if own == nil && (total.Zero() || len(record.Allotments) == MostHolders) || own != nil && own.Units == total && own.Promise == t.Promise {
		return false
	}
	if own == nil {
		record.Allotments = append(record.Allotments, Allotment{Holder: holder})
		own = &record.Allotments[len(record.Allotments)-1]
	}
	own.Units, own.Promise = total, t.Promise
	return true
}

// reply answers an ask with what is stored.
func (l *Ledger) reply(now unit.Instant, p pendingAsk, use Use) Reply {
	answer := Answer{Holder: p.ask.Holder, Epoch: l.epoch}
	for _, t := range p.ask.Teams {
		a := l.teams[t.Team]
		if a == nil {
			continue
		}
		share := TeamShare{Team: t.Team, Promise: t.Promise}
		if own := a.record.of(p.ask.Holder.Node); own != nil && own.Holder == p.ask.Holder {
			share.Promise, share.Units = own.Promise, own.Units
		}
		share.Recall = a.isBlocked(now).Min(share.Units)
		answer.Teams = append(answer.Teams, share)
	}
	for _, id := range p.ask.Jobs {
		if n, known := use.Remaining(id); known {
			answer.Jobs = append(answer.Jobs, JobState{id, n})
			l.cap(id, n)
		}
	}
	return Reply{p.ticket, answer}
}

// cap notes what a holder was told of a job: it may free the rest from now on.
func (l *Ledger) cap(id unit.JobID, n int) {
	if old, told := l.capped[id]; told && old <= n {
		return
	}
	r, covered := l.cover[id]
	if !covered {
		return // nothing that could be freed is known of
	}
	l.capped[id] = n
	r.Tasks = min(r.Tasks, n)
	l.cover[id] = r
}

// revoke takes everything from a holder that is gone or silent: in one transaction with
// its key, where there is one, so that nothing which it has not stored can follow.
func (l *Ledger) revoke(now unit.Instant, most int) *statestore.Txn {
	if txn := l.replaceDamaged(most); txn != nil {
		return txn
	}
	for _, node := range l.nodes() {
		stamp := l.holders[node]
		silent := stamp != 0 && now.Sub(l.heard[node]) > silentAfter
		r, stored := l.reserved[node]
		stale := stored && (silent || r.holder != stamp)
		c := &change{teams: map[unit.Team]TeamRecord{}}
		for team, a := range l.teams {
			if own := a.record.of(node); own != nil && (silent || own.Holder.Stamp != stamp) && len(c.teams) < most {
				c.teams[team] = a.record.without(node)
			}
		}
		if !silent && !stale && len(c.teams) == 0 {
			continue
		}
		l.flight = c
		l.revoked++
		txn := l.txn(c)
		if silent {
			c.removed = append(c.removed, node)
			remove(txn, HolderKey(node), stamp)
		}
		if stale {
			remove(txn, ReservedKey(node), r.version)
		}
		return txn
	}
	return nil
}

// remove adds the removal of a key to a transaction.
func remove(txn *statestore.Txn, key string, stamp unit.Revision) {
	txn.Conditions = append(txn.Conditions, statestore.Condition{Key: key, ModRevision: stamp})
	txn.Operations = append(txn.Operations, statestore.Operation{DeleteKey: key})
}

// replaceDamaged replaces a team's record that can't be read by one without
// allotments, with the last of the transactions that remove all holder keys: whoever
// had an allotment by it can store nothing more.
func (l *Ledger) replaceDamaged(most int) *statestore.Txn {
	for team, a := range l.teams {
		if !a.damaged {
			continue
		}
		holders := slices.Sorted(maps.Keys(l.holders))
		c := &change{teams: map[unit.Team]TeamRecord{}}
		if len(holders) <= most {
			c.teams[team] = TeamRecord{}
		}
		c.removed = holders[:min(len(holders), most)]
		l.flight = c
		l.revoked++
		txn := l.txn(c)
		for _, node := range c.removed {
			remove(txn, HolderKey(node), l.holders[node])
		}
		return txn
	}
	return nil
}

// nodes lists those that are holders, or have an allotment.
func (l *Ledger) nodes() []string {
	all := map[string]bool{}
	for node := range l.holders {
		all[node] = true
	}
	for _, a := range l.teams {
		for _, one := range a.record.Allotments {
			all[one.Holder.Node] = true
		}
	}
	for node := range l.reserved {
		all[node] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// txn stores a change, under the epoch and the versions of the records. Its first
// write and its second guard are of the same record.
func (l *Ledger) txn(c *change) *statestore.Txn {
	txn := &statestore.Txn{Conditions: []statestore.Condition{leaderGuard(l.epoch)}}
	for _, team := range slices.Sorted(maps.Keys(c.teams)) {
		a, record := l.teams[team], c.teams[team]
		record.Schema, record.Limit, record.Guarantee = schema, a.limit, a.guarantee
		c.teams[team] = record
		txn.Conditions = append(txn.Conditions, statestore.Condition{Key: TeamKey(team), ModRevision: a.version})
		txn.Operations = append(txn.Operations, statestore.Operation{SetKey: TeamKey(team), Value: &record})
	}
	return txn
}

// Committed takes in what became of the change under way, and answers whose asks it
// was for. A change that was not stored is made anew once the records were read again.
func (l *Ledger) Committed(now unit.Instant, stored bool, version unit.Revision, use Use) []Reply {
	c := l.flight
	l.flight = nil
	if c == nil {
		return nil
	}
	if !stored {
		l.nextRead, l.nextChange = now, now.Add(changeEvery)
		return nil
	}
	for team, record := range c.teams {
		a := l.teams[team]
		a.record, a.version, a.damaged = record, version, false
	}
	for _, node := range c.removed {
		delete(l.holders, node)
		delete(l.heard, node)
	}
	l.nextRead = now
	l.coverJobs()
	var replies []Reply
	for _, node := range c.asks {
		if p, waits := l.pending[node]; waits {
			delete(l.pending, node)
			replies = append(replies, l.reply(now, p, use))
		}
	}
	return replies
}

// TeamStatus is what an operator may know of a team.
type TeamStatus struct {
	Limit, Guarantee, Allotted, Uncovered, Wanted Units
	Holders                                       []Allotment
	Damaged                                       bool
}

// Status tells how the teams with limits are.
func (l *Ledger) Status(now unit.Instant, use Use) map[unit.Team]TeamStatus {
	out := map[unit.Team]TeamStatus{}
	for team, a := range l.teams {
		if !a.limit.Limited() {
			continue
		}
		out[team] = TeamStatus{Limit: a.limit, Guarantee: a.guarantee, Allotted: a.record.Allotted(), Uncovered: use.Uncovered(team),
			Wanted: a.isBlocked(now), Holders: slices.Clone(a.record.Allotments), Damaged: a.damaged}
	}
	return out
}
