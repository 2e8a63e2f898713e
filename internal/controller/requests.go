package controller

import (
	"sort"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/takeover"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

// waiter is a cancellation whose answer waits for the checkpoint.
type waiter struct {
	ticket Ticket
	until  unit.Instant
}

// waitStored bounds how long a cancellation waits for its checkpoint.
const waitStored = 1500 * time.Millisecond

func (t *term) noticed(in Noticed) {
	j := t.jobs[in.Job]
	if t.reading[in.Job] || (j != nil && (in.Stamp <= j.ModRevision || j.FoldInFlight)) || !t.loaded {
		return
	}
	if j != nil && in.Stamp == 0 {
		return
	}
	t.reading[in.Job] = true
	t.c.emit(ReadJob{Job: in.Job})
}

func (t *term) jobRead(now unit.Instant, in JobRead) {
	delete(t.reading, in.Job)
	if !t.loaded || !in.OK || in.Item.ModRevision == 0 {
		return
	}
	j := t.jobs[in.Job]
	if j == nil {
		t.takeIn(now, in)
		return
	}
	if j.FoldInFlight || in.Item.ModRevision <= j.ModRevision {
		return
	}
	// Only we change records, under the guard of our epoch: this is a write
	// of ours whose answer was lost. Write again, on top of it.
	t.c.met.CASConflicts.Inc()
	j.ModRevision, j.StoredChunkOffset = in.Item.ModRevision, 0
	if r, err := checkpoint.Decode(in.Item.Value); err == nil {
		t.storedMeanwhile(now, j, r)
	}
	j.MarkDirty(now)
}

// takeIn takes in a job that was stored since this leader read the records.
func (t *term) takeIn(now unit.Instant, in JobRead) {
	stored, err := takeover.DecodeJob(in.Job, in.Item, func(n int) []byte { return in.Parts[n] })
	if err != nil {
		t.unreadable(takeover.UnreadableRecord{Key: in.Item.Key, Err: err})
		return
	}
	t.addJob(now, stored)
	spec := &stored.Record.Spec
	t.c.log.Info("job taken in", "job", in.Job, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks, "epoch", t.epoch)
}

// storedMeanwhile takes in what a record says, read without its parts, that a write
// of this leader has stored.
func (t *term) storedMeanwhile(now unit.Instant, j *checkpoint.Job, r *checkpoint.Record) {
	if r.ChunkInfo != nil {
		j.StoredChunkOffset = r.ChunkInfo.Offset
	}
	if !r.Phase.Final() {
		return
	}
	if !j.Phase.Final() {
		j.Phase, j.Queue = r.Phase, nil
		t.haltAll(now, j)
	}
	j.StoredPhase = r.Phase
}

// asked answers a poll, or begins a cancellation.
func (t *term) asked(now unit.Instant, in Asked) {
	j := t.jobs[in.Job]
	if j == nil {
		t.noticed(Noticed{Job: in.Job})
		t.c.emit(ReplyAsk{Ticket: in.Ticket, Outcome: userapi.JobNotFound})
		return
	}
	if !in.Cancel && beingStored(j) {
		t.c.emit(ReplyAsk{Ticket: in.Ticket, Outcome: userapi.JobNotFound})
		return
	}
	if !in.Cancel || j.StoredPhase.Final() {
		t.c.emit(ReplyAsk{Ticket: in.Ticket, Outcome: userapi.JobFound, Status: userapi.StatusOfJob(j), Until: t.c.lead.LeaseValidUntil()})
		return
	}
	if !j.Phase.Final() {
		t.c.log.Info("job cancelled", "job", j.ID, "epoch", t.epoch)
	}
	j.Cancel(now)
	t.haltAll(now, j)
	t.waiting[j.ID] = append(t.waiting[j.ID], waiter{in.Ticket, now.Add(waitStored)})
	t.dirty = true
}

// beingStored tells whether the end of a job is being stored, and may be already:
// where the answer to the write is late or lost, another node may have read it and
// told its user. Only the record itself can tell then.
func beingStored(j *checkpoint.Job) bool {
	return j.FoldInFlight && j.Phase.Final() && !j.StoredPhase.Final()
}

func (t *term) haltAll(now unit.Instant, j *checkpoint.Job) {
	if j.Phase != checkpoint.PhaseCancelled {
		return
	}
	ids := make([]unit.TaskIndex, 0, len(j.Placements))
	for i := range j.Placements {
		ids = append(ids, i)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, i := range ids {
		if !t.proposed(j.Placements[i]) {
			t.fleet.StopPlacement(now, j.Placements[i], 0)
		}
	}
}

func (t *term) answerWaiters(id unit.JobID, o userapi.QueryOutcome, until unit.Instant) {
	for _, w := range t.waiting[id] {
		reply := ReplyAsk{Ticket: w.ticket, Outcome: o, Until: until}
		if j := t.jobs[id]; j != nil {
			reply.Status = userapi.StatusOfJob(j)
		}
		t.c.emit(reply)
	}
	delete(t.waiting, id)
}
