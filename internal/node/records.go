package node

import (
	"context"
	"errors"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"
	"badgerbay/internal/roundlog"

	"badgerbay/internal/chunk"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/recovery"
	"badgerbay/internal/schemaversion"
	"badgerbay/internal/standby"
)

func (n *Node) loadRecords(ctx context.Context, epoch ident.Epoch) {
	stored, since, err := n.currentRecords(ctx, epoch)
	if n.noteStoreResult(err) != nil {
		n.log.Warn("records can't be read", "epoch", epoch, "err", err)
		n.sleep(ctx, uncertainRetryInterval)
	}
	n.enqueue(ctx, controller.RecordsRead{Epoch: epoch, OK: err == nil, Stored: stored, KnownMachines: n.knownMachines()})
	if err == nil {
		go n.serveStoredBatches(ctx, epoch, since)
		n.watchJobs(ctx, epoch, since)
	}
}

// currentRecords returns all records as of the epoch: those of the replica, brought up
// to date, or as they are read.
func (n *Node) currentRecords(ctx context.Context, epoch ident.Epoch) (recovery.StoredRecords, ident.Revision, error) {
	if n.standby == nil {
		return n.readRecords(ctx)
	}
	begun := n.clock.Now()
	stored, since, err := standby.CatchUp(n.standby.replica(), epoch, func(prefix string, since ident.Revision) ([]kvstore.WatchEvent, ident.Revision, error) {
		return n.store.Watch(ctx, prefix, since, 0)
	})
	if err == nil {
		stored.SchemaAgreement, err = n.store.Get(ctx, schemaversion.Key)
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
func (n *Node) readRecords(ctx context.Context) (s recovery.StoredRecords, since ident.Revision, err error) {
	if s.Jobs, since, err = n.store.List(ctx, jobs.KeyPrefix); err != nil {
		return s, 0, err
	}
	if s.Rounds, _, err = n.store.List(ctx, roundlog.KeyPrefix); err != nil {
		return s, 0, err
	}
	if s.Chunks, _, err = n.store.List(ctx, chunk.KeyPrefix); err != nil {
		return s, 0, err
	}
	s.SchemaAgreement, err = n.store.Get(ctx, schemaversion.Key)
	return s, since, err
}

// watchJobs finds the jobs whose notice was lost on its way, while this node
// leads. It looks at most once a second, so that the leader's own writes do
// not come back one by one.
func (n *Node) watchJobs(ctx context.Context, epoch ident.Epoch, since ident.Revision) {
	for n.leadsInTerm(epoch) {
		log, next, err := n.store.Watch(ctx, jobs.KeyPrefix, since, watchHoldTime)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			since = n.relistJobs(ctx, since)
		case err == nil:
			since = max(since, next)
			for _, c := range log {
				if c.SetKey != "" {
					n.enqueue(ctx, controller.JobChanged{Job: ident.JobID(c.SetKey[len(jobs.KeyPrefix):]), ModRevision: c.ModRevision})
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
func (n *Node) relistJobs(ctx context.Context, since ident.Revision) ident.Revision {
	items, rev, err := n.store.List(ctx, jobs.KeyPrefix)
	if n.noteStoreResult(err) != nil {
		return since
	}
	for _, it := range items {
		n.enqueue(ctx, controller.JobChanged{Job: ident.JobID(it.Key[len(jobs.KeyPrefix):]), ModRevision: it.ModRevision})
	}
	return rev
}

// leadsInTerm tells whether this node still leads in the term that began with
// the epoch, or has done so a moment ago; raises of the token keep the term.
func (n *Node) leadsInTerm(epoch ident.Epoch) bool {
	e := n.view.Load().epoch
	return e >= epoch
}

func (n *Node) readJob(ctx context.Context, id ident.JobID) {
	item, err := n.store.Get(ctx, jobs.Key(id))
	values := map[int][]byte{}
	for _, k := range jobs.ChunkNumbers(item.Value) {
		if err != nil {
			break
		}
		var part kvstore.KeyValue
		part, err = n.store.Get(ctx, jobs.ChunkKey(id, k))
		values[k] = part.Value
	}
	n.enqueue(ctx, controller.JobRecordRead{Job: id, OK: n.noteStoreResult(err) == nil, Item: item, Chunks: values})
}
