package node

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

const (
	// unknownOutcomeRetryInterval is the pause before a request that failed or was not answered is repeated, or its
	// outcome read back.
	unknownOutcomeRetryInterval = 150 * time.Millisecond
	// longPollTimeout is how long the state service may keep a watch request open.
	longPollTimeout = 5 * time.Second
	// longPollInterval is the pause between two watch requests, so that the leader's own writes
	// are returned in groups instead of one per request.
	longPollInterval = 250 * time.Millisecond
)

// errOutcomeAbandoned is returned when commitAndConfirm gives up before the outcome of a transaction is known: it may
// have been applied or not.
var errOutcomeAbandoned = errors.New("confirmation abandoned: transaction outcome unknown")

// stateService is the node's client of the state service. It counts throttled requests and unknown outcomes, and
// records when the service last responded. It is safe for concurrent use.
type stateService struct {
	*environment
	client       *kvstore.Client
	budget       *kvstore.Budget
	lastResponse atomic.Int64 // clock.Instant; 0 if there was no response yet
}

// record updates the counters and the time of the last response from the error of a request, and returns that error.
func (s *stateService) record(err error) error {
	var conflict *kvstore.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, kvstore.ErrLeaseNotFound):
		s.lastResponse.Store(int64(s.clock.Now()))
	case errors.Is(err, kvstore.ErrThrottled):
		s.metrics.Throttled.Inc()
		s.log.Warn("state service request throttled")
	case errors.Is(err, kvstore.ErrOutcomeUnknown):
		s.metrics.UncertainOutcomes.Inc()
	}
	return err
}

// hasResponded reports whether the service has responded since this node started.
func (s *stateService) hasResponded() bool { return s.lastResponse.Load() != 0 }

// respondedWithin reports whether the service has responded within the last d.
func (s *stateService) respondedWithin(d time.Duration) bool {
	return s.clock.Now().Sub(clock.Instant(s.lastResponse.Load())) < d
}

// takeWrite takes one write from the node's write budget, and reports whether the budget allowed it.
func (s *stateService) takeWrite(purpose kvstore.Purpose) bool {
	return s.budget.TakeWrites(s.clock.Now(), purpose, 1)
}

// takeRequest takes one request from the node's request budget, and reports whether the budget allowed it.
func (s *stateService) takeRequest() bool { return s.budget.TakeRequest(s.clock.Now()) }

func (s *stateService) get(ctx context.Context, key string) (kvstore.KeyValue, error) {
	item, err := s.client.Get(ctx, key)
	return item, s.record(err)
}

func (s *stateService) list(ctx context.Context, prefix string) ([]kvstore.KeyValue, ident.Revision, error) {
	items, revision, err := s.client.List(ctx, prefix)
	return items, revision, s.record(err)
}

// watch waits up to timeout for changes after a revision. The leader's long polls call the client directly instead:
// they count neither as responses nor as failures of the service.
func (s *stateService) watch(ctx context.Context, prefix string, since ident.Revision,
	timeout time.Duration) ([]kvstore.WatchEvent, ident.Revision, error) {
	events, revision, err := s.client.Watch(ctx, prefix, since, timeout)
	return events, revision, s.record(err)
}

func (s *stateService) commit(ctx context.Context, txn kvstore.Txn) (ident.Revision, error) {
	revision, err := s.client.Commit(ctx, txn)
	return revision, s.record(err)
}

// grantLease requests a lease with the given time to live.
func (s *stateService) grantLease(ctx context.Context, ttl time.Duration) (ident.LeaseID, error) {
	lease, err := s.client.GrantLease(ctx, ttl)
	return lease, s.record(err)
}

func (s *stateService) renewLease(ctx context.Context, id ident.LeaseID) error {
	return s.record(s.client.RenewLease(ctx, id))
}

func (s *stateService) revokeLease(ctx context.Context, id ident.LeaseID) error {
	return s.record(s.client.RevokeLease(ctx, id))
}

// confirmOptions controls how commitAndConfirm determines the outcome of a transaction.
type confirmOptions struct {
	// fenceKey is the key whose failed condition makes commitAndConfirm return the conflict
	// at once, without reading the outcome back; "" if there is none.
	fenceKey string
	// stillNeeded reports whether the outcome still matters. If it is nil, the outcome always matters.
	stillNeeded func() bool
}

// commitAndConfirm applies a transaction and determines its outcome even if responses are lost:
//
//  1. An attempt without a response is repeated until one succeeds or conflicts. The conditions name the revisions
//     that the transaction changes, so it is applied at most once.
//  2. A conflict on the first attempt, or on opts.fenceKey, is returned.
//  3. Any other conflict may stem from an earlier attempt that was applied. It is resolved by reading back the first
//     key that the transaction changes, so only the caller may write that key.
//
// The error is a *kvstore.ConflictError or another error of kvstore if the transaction was certainly not applied, and
// errOutcomeAbandoned if ctx ended, or the outcome was no longer needed, before it was known. There are two exceptions:
// a conflict on opts.fenceKey, and a read-back that is abandoned, return a *kvstore.ConflictError although an earlier,
// unanswered attempt may have been applied.
func (s *stateService) commitAndConfirm(ctx context.Context, txn kvstore.Txn, opts confirmOptions) (ident.Revision, error) {
	outcomeUnknown := false
	for {
		revision, err := s.commit(ctx, txn)
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			return revision, nil
		case errors.As(err, &conflict):
			if !outcomeUnknown || slices.Contains(conflict.FailedKeys, opts.fenceKey) {
				return 0, conflict
			}
			return s.resolveConflict(ctx, txn, conflict, opts)
		case errors.Is(err, kvstore.ErrOutcomeUnknown) || outcomeUnknown:
			outcomeUnknown = true
		default:
			return 0, err
		}
		if !opts.retry(ctx) {
			return 0, errOutcomeAbandoned
		}
	}
}

// resolveConflict determines whether a conflict that follows an unanswered attempt was caused by that attempt: since
// only the caller writes the key, a changed revision shows that the attempt was applied. It returns the conflict if
// the transaction was not applied, or if the key can't be read before the confirmation is abandoned.
func (s *stateService) resolveConflict(ctx context.Context, txn kvstore.Txn, conflict *kvstore.ConflictError,
	opts confirmOptions) (ident.Revision, error) {
	for {
		item, err := s.get(ctx, txn.OutcomeKey())
		switch {
		case err == nil && txn.WasApplied(item):
			return item.ModRevision, nil
		case err == nil, !opts.retry(ctx):
			return 0, conflict
		}
	}
}

// retry waits until the next attempt is due, and reports whether to make it.
func (c confirmOptions) retry(ctx context.Context) bool {
	return (c.stillNeeded == nil || c.stillNeeded()) && sleep(ctx, unknownOutcomeRetryInterval)
}

// sleep waits for d, and reports whether d has passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
