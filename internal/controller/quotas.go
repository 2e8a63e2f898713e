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

// QuotaRequest is an allocation request from a quota holder.
type QuotaRequest struct {
	Responder Responder[quota.AllocationResponse]
	Request   quota.AllocationRequest
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	Responder Responder[quota.AllocationResponse]
	Response  quota.AllocationResponse
}

// QuotaStatusRequest is an operator's query for the state of all quotas.
type QuotaStatusRequest struct{ Responder Responder[QuotaStatusReply] }

// QuotaStatusReply answers a QuotaStatusRequest.
type QuotaStatusReply struct {
	Responder Responder[QuotaStatusReply]
	Teams     map[ident.Team]quota.TeamStatus // nil if this node is not the leader or has not loaded the records
}

// ReadQuotaRecords is the effect that reads all quota records.
type ReadQuotaRecords struct{ Epoch ident.Epoch }

// QuotaRecordsRead is the outcome of a ReadQuotaRecords.
type QuotaRecordsRead struct {
	Epoch ident.Epoch
	OK    bool
	Items []kvstore.KeyValue
}

// Deliver sends the response to the holder.
func (r QuotaReply) Deliver() { r.Responder.Respond(r.Response) }

// Deliver sends the reply to the responder of the request.
func (r QuotaStatusReply) Deliver() { r.Responder.Respond(r) }

func (QuotaRequest) input()       {}
func (QuotaStatusRequest) input() {}
func (QuotaRecordsRead) input()   {}
func (QuotaReply) effect()        {}
func (QuotaStatusReply) effect()  {}
func (ReadQuotaRecords) effect()  {}

const (
	// quotaEnforcerTTL is how long a node's announcement that it enforces allocations is valid.
	quotaEnforcerTTL = 5 * time.Second
	// maxUnplacedReservation is how long reserved tasks may wait for placement before their reservation ends, because
	// other tasks of the team may fit where these do not.
	maxUnplacedReservation = 20 * time.Second
	// revocationOps is the number of operations that revoke a holder, not counting the records of the teams.
	revocationOps = 2
)

// quotaManager allocates parts of the teams' quotas to the nodes that hold them, and provides the planner with what is
// reserved.
type quotaManager struct {
	*environment
	allocator *quota.Allocator
	teams     map[ident.Team]config.Team
	enforcers map[string]clock.Instant // by node, when it last announced that it enforces allocations
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

// isReady reports whether the allocations have been read. No round may be planned before.
func (q *quotaManager) isReady() bool { return q.allocator.Ready() }

// isWriting reports whether a change of allocations is being written.
func (q *quotaManager) isWriting() bool { return q.allocator.ChangeInFlight() }

// recordEnforcer records a node's announcement that it would enforce allocations as leader.
func (q *quotaManager) recordEnforcer(now clock.Instant, node string) { q.enforcers[node] = now }

// receive queues a holder's request, which step or completed answers.
func (q *quotaManager) receive(now clock.Instant, in QuotaRequest) {
	q.allocator.Receive(now, in.Request, in.Responder)
}

// load loads the records of all quotas. It stops the node if the allocator rejects a record of a newer schema.
func (q *quotaManager) load(now clock.Instant, in QuotaRecordsRead) {
	if !in.OK {
		q.allocator.ReadFailed(in.Epoch)
		return
	}
	if err := q.allocator.Load(now, in.Epoch, in.Items); err != nil {
		q.emit(StopNode{Err: err})
	}
}

// readIfDue reads the records of all quotas, if a read is due.
func (q *quotaManager) readIfDue(now clock.Instant, epoch ident.Epoch) {
	if q.allocator.BeginReadIfDue(now) {
		q.emit(ReadQuotaRecords{Epoch: epoch})
	}
}

// step answers the holders' requests, and writes the changes of allocations that these need.
func (q *quotaManager) step(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement, table *jobTable) {
	maxRecords := min(schema.storeLimits().MaxTxnOps, q.budget.AvailableWrites(now, kvstore.PurposeUrgentCheckpoint)) - revocationOps
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

// completeChange answers the holders whose changes are stored.
func (q *quotaManager) completeChange(now clock.Instant, in TransactionCompleted, table *jobTable) {
	q.reply(q.allocator.CompleteChange(now, in.Outcome == election.OutcomeOK, in.Revision, q.jobUsage(now, table)))
}

// status returns the quota state of all teams.
func (q *quotaManager) status(now clock.Instant, table *jobTable) map[ident.Team]quota.TeamStatus {
	return q.allocator.Status(now, q.jobUsage(now, table))
}

// allNodesEnforce reports whether every node has announced, within quotaEnforcerTTL, that it would enforce allocations
// as leader. Nodes of an earlier version would not enforce them.
func (q *quotaManager) allNodesEnforce(now clock.Instant) bool {
	for _, p := range q.settings.Peers {
		if last, ok := q.enforcers[p.NodeName]; !ok || now.Sub(last) > quotaEnforcerTTL {
			return false
		}
	}
	return true
}

// jobUsage returns the queries about jobs that the allocator may make. The quantity that is placed without a
// reservation is computed at the first query for it.
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

// uncovered returns, by team, the quantity that is placed without a reservation.
func (q *quotaManager) uncovered(table *jobTable) map[ident.Team]quota.Quantity {
	uncovered := map[ident.Team]quota.Quantity{}
	for j := range table.all() {
		team := j.Spec.Team
		n := len(j.Placements) - q.allocator.CoveredTasks(j.ID, team)
		if n <= 0 {
			continue
		}
		// The spec was validated when the job was submitted, so DemandOf is not expected to fail.
		if demand, err := quota.DemandOf(&j.Spec); err == nil {
			uncovered[team] = uncovered[team].Add(demand.Mul(n))
		}
	}
	return uncovered
}

// remainingTasks returns how many tasks of a job a reservation may still cover: those that are not stored as done, or
// that may be on a machine. Tasks that can't be placed are covered for maxUnplacedReservation only.
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

// reserved returns, by team, the part of the limit that is kept for reservations and not placed yet, and a function
// that returns how many tasks of a job reservations cover. Both are nil if nothing is allocated.
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

// recordBlockedDemand informs the allocator of the demand that did not fit into a team's limit because of reservations.
// The allocator then recalls the allocations that holders do not use.
func (q *quotaManager) recordBlockedDemand(now clock.Instant, blocked map[ident.Team]jobs.Resources) {
	for team, r := range blocked {
		if quantity, err := quota.DemandOf(&jobs.Spec{CPUs: r.CPUs, GPUs: r.GPUs}); err == nil {
			q.allocator.RecordBlockedDemand(now, team, quantity)
		}
	}
}

// stepQuotas reads the quota records if due, and runs a step of the quota manager unless the epoch is being advanced.
func (t *term) stepQuotas(now clock.Instant) {
	t.quotas.readIfDue(now, t.epoch)
	if !t.core.election.AdvancingEpoch() {
		t.quotas.step(now, t.epoch, t.schema, t.jobs)
	}
}

// handleQuotaStatusRequest replies to an operator with the quota state of the teams, if this node is the leader and has
// loaded the records.
func (c *Core) handleQuotaStatusRequest(now clock.Instant, in QuotaStatusRequest) {
	reply := QuotaStatusReply{Responder: in.Responder}
	if c.term != nil && c.term.recovery.isLoaded() {
		reply.Teams = c.term.quotas.status(now, c.term.jobs)
	}
	c.emit(reply)
}
