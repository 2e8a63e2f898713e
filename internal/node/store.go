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
	// unknownOutcomeRetryInterval is the pause before a request whose outcome is unknown is
	// repeated or read back.
	unknownOutcomeRetryInterval = 150 * time.Millisecond
	// longPollTimeout is how long the state service may hold a long poll.
	longPollTimeout = 5 * time.Second
	// longPollInterval is the pause between two long polls, so that the leader's own writes do
	// not come back one by one.
	longPollInterval = 250 * time.Millisecond
)

// errOutcomeAbandoned says that a transaction may have been applied or not, and that
// nobody tries to find out any longer.
var errOutcomeAbandoned = errors.New("outcome of the transaction not found out")

// stateService is the node's access to the state service. It counts failures and
// remembers when the service last answered. It is safe for concurrent use.
type stateService struct {
	*environment
	client     *kvstore.Client
	budget     *kvstore.Budget
	lastAnswer atomic.Int64 // clock.Instant; 0: none yet
}

// record takes in the result of a request, and returns it.
func (s *stateService) record(err error) error {
	var conflict *kvstore.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, kvstore.ErrLeaseNotFound):
		s.lastAnswer.Store(int64(s.clock.Now()))
	case errors.Is(err, kvstore.ErrThrottled):
		s.metrics.Throttled.Inc()
		s.log.Warn("state service request throttled")
	case errors.Is(err, kvstore.ErrOutcomeUnknown):
		s.metrics.UncertainOutcomes.Inc()
	}
	return err
}

// everAnswered tells whether the service has answered since the start.
func (s *stateService) everAnswered() bool { return s.lastAnswer.Load() != 0 }

// answeredWithin tells whether the service has answered within the last d.
func (s *stateService) answeredWithin(d time.Duration) bool {
	return s.clock.Now().Sub(clock.Instant(s.lastAnswer.Load())) < d
}

// takeWrite takes one write from the node's share of the write rate.
func (s *stateService) takeWrite(purpose kvstore.Purpose) bool {
	return s.budget.TakeWrites(s.clock.Now(), purpose, 1)
}

// takeRequest takes one request from the node's share of the request rate.
func (s *stateService) takeRequest() bool { return s.budget.TakeRequest(s.clock.Now()) }

func (s *stateService) get(ctx context.Context, key string) (kvstore.KeyValue, error) {
	item, err := s.client.Get(ctx, key)
	return item, s.record(err)
}

func (s *stateService) list(ctx context.Context, prefix string) ([]kvstore.KeyValue, ident.Revision, error) {
	items, revision, err := s.client.List(ctx, prefix)
	return items, revision, s.record(err)
}

// watch waits for changes after a revision, for at most hold. The leader's long polls use
// the client itself: they count neither as answers nor as failures of the service.
func (s *stateService) watch(ctx context.Context, prefix string, since ident.Revision,
	timeout time.Duration) ([]kvstore.WatchEvent, ident.Revision, error) {
	events, revision, err := s.client.Watch(ctx, prefix, since, timeout)
	return events, revision, s.record(err)
}

func (s *stateService) commit(ctx context.Context, txn kvstore.Txn) (ident.Revision, error) {
	revision, err := s.client.Commit(ctx, txn)
	return revision, s.record(err)
}

// grantLease asks for a lease of the given time to live.
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

// confirmation says how commitAndConfirm finds out what became of a transaction.
type confirmation struct {
	// fenceKey is the key whose failed condition decides at once that the transaction
	// was not applied; "": there is none.
	fenceKey string
	// stillNeeded tells whether the outcome still matters; nil: always.
	stillNeeded func() bool
}

// commitAndConfirm applies a transaction and finds out what became of it. A try without
// an answer is repeated: the conditions name the revisions that the transaction changes,
// so it is applied at most once, and a conflict after an unanswered try is settled by
// reading the first changed key back. Nobody but the caller may write that key.
//
// The error is a *kvstore.ConflictError or another error of kvstore if the transaction
// was surely not applied, and errOutcomeAbandoned if ctx ended, or the outcome was no
// longer wanted, before it was known.
func (s *stateService) commitAndConfirm(ctx context.Context, txn kvstore.Txn, opts confirmation) (ident.Revision, error) {
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

// resolveConflict judges a conflict that follows an unanswered try: a key that has moved
// on was moved by that try.
func (s *stateService) resolveConflict(ctx context.Context, txn kvstore.Txn, conflict *kvstore.ConflictError,
	opts confirmation) (ident.Revision, error) {
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

// retry waits for the next try, and tells whether there is to be one.
func (c confirmation) retry(ctx context.Context) bool {
	return (c.stillNeeded == nil || c.stillNeeded()) && sleep(ctx, unknownOutcomeRetryInterval)
}

// sleep waits for d, and tells whether it has passed before ctx ended.
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
