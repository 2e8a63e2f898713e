package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/quota"
)

// QuotaRequest is a request of a quota holder for allocations.
type QuotaRequest struct {
	Responder Responder[quota.AllocationResponse]
	Request   quota.AllocationRequest
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	Responder Responder[quota.AllocationResponse]
	Response  quota.AllocationResponse
}

// QuotaStatusRequest is an operator's request for the state of all quotas.
type QuotaStatusRequest struct{ Responder Responder[QuotaStatusReply] }

// QuotaStatusReply answers a QuotaStatusRequest.
type QuotaStatusReply struct {
	Responder Responder[QuotaStatusReply]
	Teams     map[ident.Team]quota.TeamStatus // nil: this node does not lead
}

// ReadQuotaRecords is the effect that reads all quota records.
type ReadQuotaRecords struct{ Epoch ident.Epoch }

// QuotaRecordsRead is the outcome of a ReadQuotaRecords.
type QuotaRecordsRead struct {
	Epoch ident.Epoch
	OK    bool
	Items []kvstore.KeyValue
}

// Deliver hands the reply to the holder.
func (r QuotaReply) Deliver() { r.Responder.Respond(r.Response) }

// Deliver hands the reply to whoever asked.
func (r QuotaStatusReply) Deliver() { r.Responder.Respond(r) }

func (QuotaRequest) input()       {}
func (QuotaStatusRequest) input() {}
func (QuotaRecordsRead) input()   {}
func (QuotaReply) effect()        {}
func (QuotaStatusReply) effect()  {}
func (ReadQuotaRecords) effect()  {}

const (
	// quotaEnforcerTTL is how long a node's word counts that it enforces allocations.
	quotaEnforcerTTL = 5 * time.Second
	// maxUnplacedReservation is how long reserved tasks may wait for a place before their reservation ends: others of the
	// team may fit where they do not.
	maxUnplacedReservation = 20 * time.Second
	// revocationOps are the operations that revoke a holder, beside the records of the teams.
	revocationOps = 2
)

// quotaManager allocates parts of the teams' quotas to the nodes that hold them, and tells the planner what is reserved.
type quotaManager struct {
	*environment
	allocator *quota.Allocator
	teams     map[ident.Team]config.Team
	enforcers map[string]clock.Instant // when each node last said that it would enforce allocations
}

func newQuotaManager(env *environment, epoch ident.Epoch) (*quotaManager, error) {
	teams := env.settings.Params.TeamsByName()
	allocator, err := quota.NewAllocator(teams, env.policy.Features.TeamQuotas, epoch)
	if err != nil {
		return nil, err
	}
	return &quotaManager{environment: env, allocator: allocator, teams: teams, enforcers: map[string]clock.Instant{}}, nil
}

func (q *quotaManager) setEpoch(epoch ident.Epoch) { q.allocator.SetEpoch(epoch) }

// isReady tells whether the allocations are known, so that rounds may be planned.
func (q *quotaManager) isReady() bool { return q.allocator.Ready() }

// isWriting tells whether a change of allocations is being written.
func (q *quotaManager) isWriting() bool { return q.allocator.ChangeInFlight() }

// nodeEnforces notes that a node has said that it would enforce allocations if it led.
func (q *quotaManager) nodeEnforces(now clock.Instant, node string) { q.enforcers[node] = now }

// receive takes in a request of a holder.
func (q *quotaManager) receive(now clock.Instant, in QuotaRequest) {
	q.allocator.Receive(now, in.Request, in.Responder)
}

// load takes in the records of all quotas.
func (q *quotaManager) load(now clock.Instant, in QuotaRecordsRead) {
	if !in.OK {
		q.allocator.ReadFailed(in.Epoch)
		return
	}
	if err := q.allocator.Load(now, in.Epoch, in.Items); err != nil {
		q.emit(StopNode{Err: err})
	}
}

// readIfDue reads the records of all quotas.
func (q *quotaManager) readIfDue(now clock.Instant, epoch ident.Epoch) {
	if q.allocator.BeginReadIfDue(now) {
		q.emit(ReadQuotaRecords{Epoch: epoch})
	}
}

// step answers holders, and writes what their requests change.
func (q *quotaManager) step(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement, table *jobTable) {
	maxRecords := min(schema.storeLimits().MaxTxnOps, q.budget.AvailableWrites(now, kvstore.PurposeUrgentFold)) - revocationOps
	if maxRecords < 1 {
		return
	}
	txn, replies := q.allocator.Step(now, q.jobUsage(now, table), q.allNodesEnforce(now), maxRecords)
	q.reply(replies)
	if txn != nil {
		q.budget.ForceTakeWrites(now, len(txn.Operations))
		q.emit(CommitTransaction{Kind: QuotaTransaction, Epoch: epoch, Txn: *txn})
	}
}

func (q *quotaManager) reply(replies []quota.Reply) {
	for _, r := range replies {
		q.emit(QuotaReply{Responder: r.Responder, Response: r.Response})
	}
}

// completed answers the holders whose requests are stored.
func (q *quotaManager) completed(now clock.Instant, in TransactionCompleted, table *jobTable) {
	q.reply(q.allocator.CompleteChange(now, in.Outcome == election.OutcomeOK, in.Revision, q.jobUsage(now, table)))
}

// status tells how the teams stand.
func (q *quotaManager) status(now clock.Instant, table *jobTable) map[ident.Team]quota.TeamStatus {
	return q.allocator.Status(now, q.jobUsage(now, table))
}

// allNodesEnforce tells whether every node has said lately that it would enforce allocations if it led: one of an earlier
// version would not.
func (q *quotaManager) allNodesEnforce(now clock.Instant) bool {
	for _, p := range q.settings.Peers {
		if last, ok := q.enforcers[p.NodeName]; !ok || now.Sub(last) > quotaEnforcerTTL {
			return false
		}
	}
	return true
}

// jobUsage is what the allocator may ask of the jobs. What is placed without a reservation is counted when it is asked
// for first.
func (q *quotaManager) jobUsage(now clock.Instant, table *jobTable) quota.JobUsage {
	var uncovered map[ident.Team]quota.Quantity
	return quota.JobUsage{
		Uncovered: func(team ident.Team) quota.Quantity {
			if uncovered == nil {
				uncovered = q.uncovered(table)
			}
			return uncovered[team]
		},
		RemainingTasks: func(id ident.JobID) (int, bool) {
			if j := table.get(id); j != nil {
				return remainingTasks(now, j), true
			}
			return 0, false
		},
	}
}

// uncovered is what the teams have placed without a reservation.
func (q *quotaManager) uncovered(table *jobTable) map[ident.Team]quota.Quantity {
	uncovered := map[ident.Team]quota.Quantity{}
	for j := range table.all() {
		team := j.Spec.Team
		n := len(j.Placements) - q.allocator.CoveredTasks(j.ID, team)
		if n <= 0 {
			continue
		}
		// A spec was checked when it was submitted.
		if demand, err := quota.DemandOf(&j.Spec); err == nil {
			uncovered[team] = uncovered[team].Add(demand.Mul(n))
		}
	}
	return uncovered
}

// remainingTasks is how many tasks of a job a reservation may still cover: those that are not stored as done, or may be
// on a machine. Tasks that find no place keep their reservation for a while only.
func remainingTasks(now clock.Instant, j *jobs.Job) int {
	if j.Stored.Phase.Final() {
		return len(j.Placements)
	}
	waiting := now.Sub(max(j.LastPlacedAt, j.QueuedSince, j.KnownSince))
	if len(j.Queue) > 0 && waiting > maxUnplacedReservation {
		return len(j.Placements)
	}
	return max(j.Spec.Tasks-j.Stored.DoneTasks, len(j.Placements))
}

// reserved is what of the teams' limits is kept for reservations, beside what is placed of them, and how many tasks of a
// job they cover; nil where nothing is allocated.
func (q *quotaManager) reserved(table *jobTable) (map[ident.Team]jobs.Resources, func(*jobs.Job) int) {
	allocated := map[ident.Team]quota.Quantity{}
	for team := range q.teams {
		if quantity := q.allocator.Allocated(team); !quantity.IsZero() {
			allocated[team] = quantity
		}
	}
	if len(allocated) == 0 {
		return nil, nil
	}
	covered := func(j *jobs.Job) int { return q.allocator.CoveredTasks(j.ID, j.Spec.Team) }
	for j := range table.all() {
		remaining, ok := allocated[j.Spec.Team]
		n := min(len(j.Placements), covered(j))
		demand, err := quota.DemandOf(&j.Spec)
		if ok && n > 0 && err == nil {
			allocated[j.Spec.Team] = remaining.Sub(demand.Mul(n)).Max(quota.Quantity{})
		}
	}
	reserved := make(map[ident.Team]jobs.Resources, len(allocated))
	for team, quantity := range allocated {
		reserved[team] = quantity.Resources()
	}
	return reserved, covered
}

// noteBlocked has holders give back what work found no room for.
func (q *quotaManager) noteBlocked(now clock.Instant, blocked map[ident.Team]jobs.Resources) {
	for team, r := range blocked {
		if quantity, err := quota.DemandOf(&jobs.Spec{CPUs: r.CPUs, GPUs: r.GPUs}); err == nil {
			q.allocator.NoteBlocked(now, team, quantity)
		}
	}
}

// stepQuotas reads the records of quotas, and lets the manager act while the epoch stays.
func (t *term) stepQuotas(now clock.Instant) {
	t.quotas.readIfDue(now, t.epoch)
	if !t.core.election.AdvancingEpoch() {
		t.quotas.step(now, t.epoch, t.schema, t.jobs)
	}
}

// handleQuotaStatusRequest tells an operator how the teams stand, if this node leads.
func (c *Core) handleQuotaStatusRequest(now clock.Instant, in QuotaStatusRequest) {
	reply := QuotaStatusReply{Responder: in.Responder}
	if c.term != nil && c.term.recovery.isLoaded() {
		reply.Teams = c.term.quotas.status(now, c.term.jobs)
	}
	c.emit(reply)
}
