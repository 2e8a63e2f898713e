package controller

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/delegation"
	"badgerbay/internal/rollout"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// load takes in all records, as the successor of whoever led before.
func (t *term) load(now unit.Instant, in Loaded) {
	if in.Epoch != t.epoch || t.loaded {
		return // of an earlier term
	}
	if !in.OK {
		t.c.emit(LoadAll{Epoch: t.epoch})
		return
	}
	t.formStamp = in.Agreed.Stamp
	var agreed rollout.Agreed
	if in.Agreed.Stamp != 0 {
		if err := msgpack.Unmarshal(in.Agreed.Value, &agreed); err != nil {
			t.unreadable(in.Agreed.Key, err)
		}
	}
	t.cluster = rollout.New(t.c.set.PeerLabels(), agreed.Form)
	parts := make(map[string][]byte, len(in.Parts))
	for _, item := range in.Parts {
		parts[item.Key] = item.Value
	}
	for _, item := range in.Jobs {
		id := unit.JobID(strings.TrimPrefix(item.Key, checkpoint.KeyPrefix))
		t.addJob(now, id, item, func(n int) []byte { return parts[checkpoint.PartKey(id, n)] })
	}
	var stored []round.Stored
	var lost []statestore.Item
	for _, item := range in.Parts {
		if item.Key == stageKey {
			t.stage.stamp = item.Stamp
		}
	}
	for _, item := range in.Rounds {
		r, err := round.Decode(item.Value, func(n int) []byte { return parts[round.PartKey(item.Key, n)] })
		if err != nil {
			t.unreadable(item.Key, err)
			lost = append(lost, item)
			continue
		}
		stored = append(stored, round.Stored{Key: item.Key, Record: r, Version: item.Stamp})
	}
	ring, open := round.Restore(t.c.pol.RingSlots, stored)
	t.ring = ring
	for _, item := range lost {
		t.ring.Skip(item.Key, item.Stamp)
	}
	t.lostRounds = len(lost) > 0
	for _, r := range open {
		t.replay(now, r)
	}
	t.loaded, t.dirty = true, true
	t.answerParked(now)
	t.c.log.Info("checkpoints read", "epoch", t.epoch, "jobs", len(t.jobs), "open_rounds", len(open))
}

// unreadable handles a record that can't be read. One of a later schema stops
// the node: it must not decide without knowing what a newer one has decided.
func (t *term) unreadable(key string, err error) {
	t.c.met.Unreadable.Inc()
	t.c.log.Error("record can't be read", "key", key, "err", err, "epoch", t.epoch)
	if errors.Is(err, checkpoint.ErrSchema) || errors.Is(err, round.ErrSchema) {
		t.c.emit(Stop{Err: fmt.Errorf("%s: %w; run the newer program", key, err)})
	}
}

// addJob takes in a job record with the placements it holds.
func (t *term) addJob(now unit.Instant, id unit.JobID, item statestore.Item, part func(int) []byte) {
	r, err := checkpoint.DecodeWhole(item.Value, part)
	if err != nil {
		t.unreadable(item.Key, err)
		return
	}
	j := checkpoint.NewJob(id, r, item.Stamp, now)
	t.jobs[id] = j
	if old := t.lastSpec[r.Spec.Class]; old == nil || r.Phase == checkpoint.Active {
		t.lastSpec[r.Spec.Class] = &j.Spec
	}
	t.specSize[id] = statestore.JSONSize(&r.Spec)
	for _, g := range r.Live {
		t.restore(now, j, g)
	}
	t.dirty = true
}

// replay applies a round that is not folded into all its jobs yet. Whether its
// effects came about is not known: placements wait for reports, rentals are
// repeated under their names, releases are sent again.
func (t *term) replay(now unit.Instant, r *round.Record) {
	for _, s := range r.Starts {
		j := t.jobs[s.Job]
		if j == nil || j.StoredRound >= r.No {
			t.ring.Folded(s.Job, r.No)
			continue
		}
		t.restore(now, j, checkpoint.Group{Machine: s.Machine, Session: s.Session, Attempt: s.AttemptIn(r.No), Tasks: s.Tasks})
		j.Round = max(j.Round, r.No)
		j.Touch(now)
	}
	for _, h := range r.Hires {
		t.rentals.Hire(now, h.Name, h.Offer, h.Count, true)
	}
	for _, id := range r.Releases {
		t.fleet.Ensure(now, id).Releasing = true
		t.rentals.Release(id)
	}
}

// restore puts placements back that an earlier leader recorded. They may or
// may not have been launched, under any token below ours.
func (t *term) restore(now unit.Instant, j *checkpoint.Job, g checkpoint.Group) {
	m := t.fleet.Ensure(now, g.Machine)
	m.Confirmed = true
	m.Session = max(m.Session, g.Session)
	g.Tasks.Each(func(i unit.TaskIndex) bool {
		if int(i) >= j.Spec.Tasks || j.Done.Has(i) {
			return true
		}
		if old := j.Live[i]; old != nil {
			if old.Attempt > g.Attempt {
				return true
			}
			// The later was decided when the earlier was over: another attempt, or
			// a replacement in a gang's. Rounds are replayed in their order.
			t.fleet.Retract(now, old)
		}
		p := &checkpoint.Placement{Job: j, Task: i, Machine: g.Machine, Session: g.Session,
			Attempt: g.Attempt, Token: t.epoch - 1, Since: now}
		t.fleet.Place(now, p)
		if j.Phase.Final() {
			t.fleet.Halt(now, p, 0)
		}
		return true
	})
}

// reconciled decides when placing may begin: nearly all machines with
// placements have reported to us, or a report interval has passed and the
// quarter by which reports may be late.
// Among hundreds some are always silent, and what they hold counts as there.
func (t *term) reconciled(now unit.Instant) {
	if t.ready {
		return
	}
	if t.lostRounds && now.Sub(t.acquired) < t.longestPlacement() {
		return
	}
	interval := t.c.set.Params.Workers.ReportInterval()
	// Where nothing was ever placed or rented, and the cloud lists nothing,
	// nobody is left to wait for.
	empty := t.listRead && t.ring.Fresh() && t.fleet.Len() == 0
	if now.Sub(t.acquired) < interval+interval/4 && !t.nearlyAllHeard() && !empty {
		return
	}
	t.ready, t.dirty = true, true
	t.c.met.Recoveries.Inc()
	t.c.log.Info("reconciled", "epoch", t.epoch, "machines", t.fleet.Len(), "after", now.Sub(t.acquired))
}

// longestPlacement is how long what an earlier leader started may run on a machine
// that no report names, counted from the takeover: a lease that a grant has kept to
// its end. Where a round can't be read nothing is placed before: a task of it may
// run anywhere.
func (t *term) longestPlacement() time.Duration {
	const margin = 2 * time.Second
	w := t.c.set.Params.Workers
	return w.Lease() + delegation.Life(w) + margin
}

// silentPart: one machine in so many may be silent when placing begins.
const silentPart = 20

func (t *term) nearlyAllHeard() bool {
	busy, silent, up := 0, 0, 0
	for _, m := range t.fleet.Machines() {
		if m.Up {
			up++
		}
		if m.Busy() {
			busy++
			if !m.Up || m.Token < t.epoch {
				silent++
			}
		}
	}
	return up > 0 && silent <= busy/silentPart
}
