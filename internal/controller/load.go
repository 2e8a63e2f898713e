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

func (n *Node) loadRecords(ctx context.Context, epoch unit.Epoch) {
	stored, since, err := n.currentRecords(ctx, epoch)
	if n.noteStoreResult(err) != nil {
		n.log.Warn("records can't be read", "epoch", epoch, "err", err)
		n.sleep(ctx, uncertainRetryInterval)
	}
	n.enqueue(ctx, RecordsRead{Epoch: epoch, OK: err == nil, Stored: stored, KnownMachines: n.knownMachines()})
	if err == nil {
		go n.serveStoredBatches(ctx, epoch, since)
		n.watchJobs(ctx, epoch, since)
	}
}

// currentRecords returns all records as of the epoch: those of the replica, brought up
// to date, or as they are read.
func (n *Node) currentRecords(ctx context.Context, epoch unit.Epoch) (takeover.StoredRecords, unit.Revision, error) {
	if n.standby == nil {
		return n.readRecords(ctx)
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
		n.metrics.ColdFailovers.Inc()
		return n.readRecords(ctx)
	}
	n.log.Info("replica brought up to date", "epoch", epoch, "records", len(stored.Jobs)+len(stored.Rounds)+len(stored.Chunks), "took", n.clock.Now().Sub(begun))
	n.metrics.WarmFailovers.Inc()
	return stored, since, nil
}

// readRecords reads all records, and the revision from which changes of jobs are to
// be watched.
func (n *Node) readRecords(ctx context.Context) (s takeover.StoredRecords, since unit.Revision, err error) {
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
	for n.leadsInTerm(epoch) {
		log, next, err := n.store.Watch(ctx, checkpoint.KeyPrefix, since, watchHoldTime)
		switch {
		case errors.Is(err, statestore.ErrCompacted):
			since = n.relistJobs(ctx, since)
		case err == nil:
			since = max(since, next)
			for _, c := range log {
				if c.SetKey != "" {
					n.enqueue(ctx, JobChanged{Job: unit.JobID(c.SetKey[len(checkpoint.KeyPrefix):]), ModRevision: c.ModRevision})
				}
			}
		}
		if !n.sleep(ctx, watchPause) {
			return
		}
	}
}

// relistJobs lists all jobs, when the changes since the last look are not kept any
// more, and returns the revision to go on from.
func (n *Node) relistJobs(ctx context.Context, since unit.Revision) unit.Revision {
	items, rev, err := n.store.List(ctx, checkpoint.KeyPrefix)
	if n.noteStoreResult(err) != nil {
		return since
	}
	for _, it := range items {
		n.enqueue(ctx, JobChanged{Job: unit.JobID(it.Key[len(checkpoint.KeyPrefix):]), ModRevision: it.ModRevision})
	}
	return rev
}

// leadsInTerm tells whether this node still leads in the term that began with
// the epoch, or has done so a moment ago; raises of the token keep the term.
func (n *Node) leadsInTerm(epoch unit.Epoch) bool {
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
	n.enqueue(ctx, JobRecordRead{Job: id, OK: n.noteStoreResult(err) == nil, Item: item, Chunks: values})
}
