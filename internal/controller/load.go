package controller

import (
	"context"
	"errors"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/parts"
	"badgerbay/internal/rollout"
	"badgerbay/internal/round"
	"badgerbay/internal/standby"
	"badgerbay/internal/statestore"
	"badgerbay/internal/takeover"
	"badgerbay/internal/unit"
)

func (n *Node) loadAll(ctx context.Context, epoch unit.Epoch) {
	stored, since, err := n.takeRecords(ctx, epoch)
	if n.note(err) != nil {
		n.log.Warn("records can't be read", "epoch", epoch, "err", err)
		n.pause(ctx, retryUnsure)
	}
	n.post(ctx, RecordsRead{Epoch: epoch, OK: err == nil, Stored: stored, KnownMachines: n.knownMachines()})
	if err == nil {
		go n.relayDown(ctx, epoch, since)
		n.watchJobs(ctx, epoch, since)
	}
}

// takeRecords returns all records as of the epoch: those of the replica, brought up
// to date, or as they are read.
func (n *Node) takeRecords(ctx context.Context, epoch unit.Epoch) (takeover.StoredRecords, unit.Revision, error) {
	if n.standby == nil {
		return n.readStored(ctx)
	}
	begun := n.clock.Now()
	stored, since, err := standby.CatchUp(n.standby.replica(), epoch, func(prefix string, since unit.Revision) ([]statestore.WatchEvent, unit.Revision, error) {
		return n.store.Watch(ctx, prefix, since, 0)
	})
	if err == nil {
		stored.SchemaAgreement, err = n.store.Get(ctx, rollout.Key)
	}
	if err != nil {
		n.log.Info("replica can't be used, all records are read", "epoch", epoch, "err", err)
		n.met.ColdFailovers.Inc()
		return n.readStored(ctx)
	}
	n.log.Info("replica brought up to date", "epoch", epoch, "records", len(stored.Jobs)+len(stored.Rounds)+len(stored.Chunks), "took", n.clock.Now().Sub(begun))
	n.met.WarmFailovers.Inc()
	return stored, since, nil
}

// readStored reads all records, and the revision from which changes of jobs are to
// be watched.
func (n *Node) readStored(ctx context.Context) (s takeover.StoredRecords, since unit.Revision, err error) {
	if s.Jobs, since, err = n.store.List(ctx, checkpoint.KeyPrefix); err != nil {
		return s, 0, err
	}
	if s.Rounds, _, err = n.store.List(ctx, round.KeyPrefix); err != nil {
		return s, 0, err
	}
	if s.Chunks, _, err = n.store.List(ctx, parts.KeyPrefix); err != nil {
		return s, 0, err
	}
	s.SchemaAgreement, err = n.store.Get(ctx, rollout.Key)
	return s, since, err
}

// watchJobs finds the jobs whose notice was lost on its way, while this node
// leads. It looks at most once a second, so that the leader's own writes do
// not come back one by one.
func (n *Node) watchJobs(ctx context.Context, epoch unit.Epoch, since unit.Revision) {
	for n.leadsSince(epoch) {
		log, next, err := n.store.Watch(ctx, checkpoint.KeyPrefix, since, watchHold)
		switch {
		case errors.Is(err, statestore.ErrCompacted):
			since = n.rescan(ctx, since)
		case err == nil:
			since = max(since, next)
			for _, c := range log {
				if c.SetKey != "" {
					n.post(ctx, JobChanged{Job: unit.JobID(c.SetKey[len(checkpoint.KeyPrefix):]), ModRevision: c.ModRevision})
				}
			}
		}
		if !n.pause(ctx, watchBetween) {
			return
		}
	}
}

// rescan lists all jobs, when the changes since the last look are not kept any
// more, and returns the revision to go on from.
func (n *Node) rescan(ctx context.Context, since unit.Revision) unit.Revision {
	items, rev, err := n.store.List(ctx, checkpoint.KeyPrefix)
	if n.note(err) != nil {
		return since
	}
	for _, it := range items {
		n.post(ctx, JobChanged{Job: unit.JobID(it.Key[len(checkpoint.KeyPrefix):]), ModRevision: it.ModRevision})
	}
	return rev
}

// leadsSince tells whether this node still leads in the term that began with
// the epoch, or has done so a moment ago; raises of the token keep the term.
func (n *Node) leadsSince(epoch unit.Epoch) bool {
	e := n.view.Load().epoch
	return e >= epoch
}

func (n *Node) readJob(ctx context.Context, id unit.JobID) {
	item, err := n.store.Get(ctx, checkpoint.Key(id))
	values := map[int][]byte{}
	for _, k := range checkpoint.ChunkNumbers(item.Value) {
		if err != nil {
			break
		}
		var part statestore.KeyValue
		part, err = n.store.Get(ctx, checkpoint.ChunkKey(id, k))
		values[k] = part.Value
	}
	n.post(ctx, JobRecordRead{Job: id, OK: n.note(err) == nil, Item: item, Chunks: values})
}
