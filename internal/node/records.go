package node

import (
	"context"
	"errors"
	"strings"

	"badgerbay/internal/chunk"
	"badgerbay/internal/controller"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/quota"
	"badgerbay/internal/recovery"
	"badgerbay/internal/roundlog"
	"badgerbay/internal/schemaversion"
	"badgerbay/internal/standby"
)

// recordLoader reads the stored records for the core when this node becomes the leader, and watches for jobs that
// other nodes store.
type recordLoader struct {
	*environment
	core    *coreActor
	store   *stateService
	batches *batchServer
	standby *standbyActor // nil if this node keeps no replica
}

// load reads all records for the term that began with the epoch and posts the result to the core. If the read succeeds,
// it watches for changed jobs and serves relayed batches until the term ends.
func (l *recordLoader) load(ctx context.Context, epoch ident.Epoch) {
	stored, since, err := l.currentRecords(ctx, epoch)
	if l.store.record(err) != nil {
		l.log.Warn("reading records failed", "epoch", epoch, "err", err)
		sleep(ctx, unknownOutcomeRetryInterval)
	}
	l.core.post(ctx, controller.RecordsRead{Epoch: epoch, OK: err == nil, Stored: stored, KnownMachines: l.standby.knownMachines()})
	if err != nil {
		return
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		l.batches.serveStoredBatches(ctx, epoch, since)
	}()
	l.watchJobs(ctx, epoch, since)
	<-served
}

// currentRecords returns all records, including every write of earlier leaders, and the revision from which to watch
// for changes. A warm standby brings its replica up to date. If there is no replica, or it is unusable, all records are
// read from the state service.
func (l *recordLoader) currentRecords(ctx context.Context, epoch ident.Epoch) (recovery.StoredRecords, ident.Revision, error) {
	if l.standby == nil {
		return l.readRecords(ctx)
	}
	startedAt := l.clock.Now()
	stored, since, err := l.catchUpReplica(ctx, epoch)
	if err != nil {
		l.log.Info("replica unusable, reading all records", "epoch", epoch, "err", err)
		l.metrics.ColdFailovers.Inc()
		return l.readRecords(ctx)
	}
	l.log.Info("replica caught up", "epoch", epoch, "records", len(stored.Jobs)+len(stored.Rounds)+len(stored.Chunks), "took", l.clock.Now().Sub(startedAt))
	l.metrics.WarmFailovers.Inc()
	return stored, since, nil
}

// catchUpReplica applies the changes up to the epoch to the standby's replica, and returns its records and the
// revision from which to watch for further changes.
func (l *recordLoader) catchUpReplica(ctx context.Context, epoch ident.Epoch) (recovery.StoredRecords, ident.Revision, error) {
	changes := func(prefix string, since ident.Revision) ([]kvstore.WatchEvent, ident.Revision, error) {
		return l.store.client.Watch(ctx, prefix, since, 0)
	}
	stored, since, err := standby.CatchUp(l.standby.replica(), epoch, changes)
	if err != nil {
		return stored, since, err
	}
	stored.SchemaAgreement, err = l.store.client.Get(ctx, schemaversion.Key)
	return stored, since, err
}

// readRecords reads all records from the state service, and returns the revision from which to watch for changed jobs.
// It calls the client directly, so that its requests count as a single one in the counters of stateService: load
// records the overall result.
func (l *recordLoader) readRecords(ctx context.Context) (s recovery.StoredRecords, since ident.Revision, err error) {
	client := l.store.client
	if s.Jobs, since, err = client.List(ctx, jobs.KeyPrefix); err != nil {
		return s, 0, err
	}
	if s.Rounds, _, err = client.List(ctx, roundlog.KeyPrefix); err != nil {
		return s, 0, err
	}
	if s.Chunks, _, err = client.List(ctx, chunk.KeyPrefix); err != nil {
		return s, 0, err
	}
	s.SchemaAgreement, err = client.Get(ctx, schemaversion.Key)
	return s, since, err
}

// watchJobs watches the job records while this node leads in the term that began with the epoch, and posts each changed
// job to the core. The core thus learns of a job even if the notification from the node that stored it was lost.
func (l *recordLoader) watchJobs(ctx context.Context, epoch ident.Epoch, since ident.Revision) {
	for l.core.leadsInTerm(epoch) {
		events, revision, err := l.store.client.Watch(ctx, jobs.KeyPrefix, since, longPollTimeout)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			since = l.relistJobs(ctx, since)
		case err == nil:
			since = max(since, revision)
			for _, e := range events {
				if e.SetKey != "" {
					l.postJobChanged(ctx, e.SetKey, e.ModRevision)
				}
			}
		}
		if !sleep(ctx, longPollInterval) {
			return
		}
	}
}

// relistJobs lists all jobs and posts them to the core, and returns the revision from which to continue watching. It
// is used when the state service has compacted the changes after revision since, which is returned if listing fails.
func (l *recordLoader) relistJobs(ctx context.Context, since ident.Revision) ident.Revision {
	items, revision, err := l.store.list(ctx, jobs.KeyPrefix)
	if err != nil {
		return since
	}
	for _, item := range items {
		l.postJobChanged(ctx, item.Key, item.ModRevision)
	}
	return revision
}

func (l *recordLoader) postJobChanged(ctx context.Context, key string, revision ident.Revision) {
	id := ident.JobID(strings.TrimPrefix(key, jobs.KeyPrefix))
	l.core.post(ctx, controller.JobChanged{Job: id, ModRevision: revision})
}

// readJob reads the record of a job with its chunks and posts it to the core.
func (l *recordLoader) readJob(ctx context.Context, id ident.JobID) {
	item, chunks, err := l.readJobRecord(ctx, id)
	l.core.post(ctx, controller.JobRecordRead{Job: id, OK: err == nil, Item: item, Chunks: chunks})
}

func (l *recordLoader) readJobRecord(ctx context.Context, id ident.JobID) (kvstore.KeyValue, map[int][]byte, error) {
	item, err := l.store.get(ctx, jobs.Key(id))
	if err != nil {
		return item, nil, err
	}
	chunks := map[int][]byte{}
	for _, number := range jobs.ChunkNumbers(item.Value) {
		part, err := l.store.get(ctx, jobs.ChunkKey(id, number))
		if err != nil {
			return item, nil, err
		}
		chunks[number] = part.Value
	}
	return item, chunks, nil
}

// readQuotas reads all quota records and posts them to the core.
func (l *recordLoader) readQuotas(ctx context.Context, epoch ident.Epoch) {
	items, _, err := l.store.list(ctx, quota.KeyPrefix)
	if err != nil {
		l.log.Debug("reading quota records failed", "epoch", epoch, "err", err)
	}
	l.core.post(ctx, controller.QuotaRecordsRead{Epoch: epoch, OK: err == nil, Items: items})
}
