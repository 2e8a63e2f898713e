package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/election"
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
	// quotaEnforcerTTL is how long it counts that a node said that it keeps to allotments.
	quotaEnforcerTTL = 5 * time.Second
	// maxUnplacedReservation is how long reserved tasks may wait for a place before their
	// reservation ends: others of the team may fit where they do not.
	maxUnplacedReservation = 20 * time.Second
)

// stepQuotas lets the ledger read, change and answer.
func (t *term) stepQuotas(now clock.Instant) {
	if t.quotas.BeginReadIfDue(now) {
		t.emit(ReadQuotaRecords{Epoch: t.epoch})
	}
	if t.core.election.AdvancingEpoch() {
		return
	}
	// Two changes beside the records remove a holder.
	most := min(t.schema.storeLimits().MaxTxnOps-2, t.budget.AvailableWrites(now, kvstore.PurposeUrgentFold)-2)
	if most < 1 {
		return
	}
	txn, replies := t.quotas.Step(now, t.quotaUsage(), t.allEnforceQuotas(now), most)
	t.replyToHolders(replies)
	if txn != nil {
		t.budget.ForceTakeWrites(now, len(txn.Operations))
		t.emit(CommitTransaction{Kind: QuotaTransaction, Epoch: t.epoch, Txn: *txn})
	}
}

func (t *term) replyToHolders(replies []quota.Reply) {
	for _, r := range replies {
		t.emit(QuotaReply{Responder: r.Responder, Response: r.Response})
	}
}

func (t *term) quotaCompleted(now clock.Instant, in TransactionCompleted) {
	t.replyToHolders(t.quotas.CompleteChange(now, in.Outcome == election.OutcomeOK, in.Revision, t.quotaUsage()))
	t.rounds.requestPlan()
}

func (t *term) quotaRecordsRead(now clock.Instant, in QuotaRecordsRead) {
	if err := t.quotas.Load(now, in.Epoch, in.Items, in.OK); err != nil {
		t.emit(StopNode{Err: err})
	}
}

// allEnforceQuotas tells whether every node has said lately that it would keep to
// allotments if it led: one of a version before would not.
func (t *term) allEnforceQuotas(now clock.Instant) bool {
	for _, p := range t.settings.Peers {
		if last, said := t.quotaEnforcers[p.NodeName]; !said || now.Sub(last) > quotaEnforcerTTL {
			return false
		}
	}
	return true
}

// quotaUsage is what the ledger may ask of the jobs; what is placed is counted when it is
// asked for first.
func (t *term) quotaUsage() quota.JobUsage {
	var uncovered map[ident.Team]quota.Quantity
	return quota.JobUsage{
		Uncovered: func(team ident.Team) quota.Quantity {
			if uncovered == nil {
				uncovered = t.uncovered()
			}
			return uncovered[team]
		},
		RemainingTasks: t.remaining,
	}
}

func (t *term) uncovered() map[ident.Team]quota.Quantity {
	out := map[ident.Team]quota.Quantity{}
	for j := range t.jobs.all() {
		if n := len(j.Placements) - t.quotas.CoveredTasks(j.ID, j.Spec.Team); n > 0 {
			// A spec was checked when it was submitted.
			if need, err := quota.DemandOf(&j.Spec); err == nil {
				out[j.Spec.Team] = out[j.Spec.Team].Add(need.Mul(n))
			}
		}
	}
	return out
}

// remaining is how many tasks of a job a reservation may still cover: those that are
// not stored as done, or may be on a machine. Tasks that find no place keep their
// reservation for a while only.
func (t *term) remaining(id ident.JobID) (int, bool) {
	j := t.jobs.get(id)
	if j == nil {
		return 0, false
	}
	if j.Stored.Phase.Final() {
		return len(j.Placements), true
	}
	waits := t.core.lastStep.Sub(max(j.LastPlacedAt, j.QueuedSince, j.KnownSince))
	if len(j.Queue) > 0 && waits > maxUnplacedReservation {
		return len(j.Placements), true
	}
	return max(j.Spec.Tasks-j.Stored.DoneTasks, len(j.Placements)), true
}

// reservedByTeam is what of the teams' limits is kept for reservations, beside what is placed
// of them, and how many tasks of a job they cover; nil where nothing is allotted.
func (t *term) reservedByTeam() (map[ident.Team]jobs.Resources, func(*jobs.Job) int) {
	allotted := map[ident.Team]quota.Quantity{}
	for team := range t.teams {
		if u := t.quotas.Allocated(team); !u.IsZero() {
			allotted[team] = u
		}
	}
	if len(allotted) == 0 {
		return nil, nil
	}
	covers := func(j *jobs.Job) int { return t.quotas.CoveredTasks(j.ID, j.Spec.Team) }
	for j := range t.jobs.all() {
		u, allocated := allotted[j.Spec.Team]
		n := min(len(j.Placements), covers(j))
		need, err := quota.DemandOf(&j.Spec)
		if allocated && n > 0 && err == nil {
			allotted[j.Spec.Team] = u.Sub(need.Mul(n)).Max(quota.Quantity{})
		}
	}
	held := make(map[ident.Team]jobs.Resources, len(allotted))
	for team, u := range allotted {
		held[team] = u.Resources()
	}
	return held, covers
}

// reportBlocked has holders give back what work found no room for.
func (t *term) reportBlocked(now clock.Instant, blocked map[ident.Team]jobs.Resources) {
	for team, r := range blocked {
		if units, err := quota.DemandOf(&jobs.Spec{CPUs: r.CPUs, GPUs: r.GPUs}); err == nil {
			t.quotas.NoteBlocked(now, team, units)
		}
	}
}

// handleQuotaStatusRequest tells an operator how the teams stand, if this node leads.
func (c *Core) handleQuotaStatusRequest(now clock.Instant, in QuotaStatusRequest) {
	reply := QuotaStatusReply{Responder: in.Responder}
	if c.term != nil && c.term.loaded {
		reply.Teams = c.term.quotas.Status(now, c.term.quotaUsage())
	}
	c.emit(reply)
}
