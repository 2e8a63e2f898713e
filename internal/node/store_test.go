package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// transactionFault is a fault that faultyTransport injects into a transaction.
type transactionFault int

const (
	requestLost  transactionFault = iota // the transaction is neither applied nor answered
	responseLost                         // the transaction is applied but not answered
	throttled                            // the request is refused because it exceeds the rate limit
	rejected                             // the request is refused as malformed
)

// faultyTransport injects one of the faults into each of the first transactions, and passes all other requests on.
type faultyTransport struct {
	next   http.RoundTripper
	faults []transactionFault
}

func (t *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != "/multi" || len(t.faults) == 0 {
		return t.next.RoundTrip(r)
	}
	fault := t.faults[0]
	t.faults = t.faults[1:]
	switch fault {
	case throttled:
		return emptyResponse(http.StatusTooManyRequests), nil
	case rejected:
		return emptyResponse(http.StatusBadRequest), nil
	case responseLost:
		if _, err := t.next.RoundTrip(r); err != nil {
			return nil, err
		}
	}
	return nil, io.ErrUnexpectedEOF
}

func emptyResponse(code int) *http.Response {
	return &http.Response{StatusCode: code, Body: io.NopCloser(strings.NewReader(""))}
}

// injectFaults has one of the faults injected into each of the node's next transactions.
func (f *nodeFixture) injectFaults(faults ...transactionFault) {
	f.node.store.client = kvstore.NewClient("10.2.0.1:1", &faultyTransport{next: f.kv, faults: faults})
}

// putOldValue stores the value "old" under a key unconditionally, and returns the revision.
func (f *nodeFixture) putOldValue(t *testing.T, key string) ident.Revision {
	t.Helper()
	revision, err := f.kv.Store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: key, Value: "old"}}})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// TestCommitAndConfirm checks that the outcome of a transaction is determined whichever requests or responses are
// lost, and that the transaction is never applied twice.
func TestCommitAndConfirm(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []transactionFault
		// fenceKey is the key whose conflict is returned without reading the outcome back.
		fenceKey string
		// changedBefore is the key that another writer changes before the first attempt.
		changedBefore string
		// changedAfter is the key that another writer changes once the transaction is applied.
		changedAfter string
		// wantErr reports whether the error is the expected one; nil: the transaction must be applied.
		wantErr func(error) bool
	}{
		{name: "answered"},
		{name: "request lost once", faults: []transactionFault{requestLost}},
		{name: "response lost", faults: []transactionFault{responseLost}},
		{name: "response lost, then requests lost", faults: []transactionFault{responseLost, requestLost, requestLost}},
		{name: "request lost, then throttled", faults: []transactionFault{requestLost, throttled}},
		{name: "request lost, then rejected", faults: []transactionFault{requestLost, rejected}},
		{name: "throttled", faults: []transactionFault{throttled}, wantErr: matchesError(kvstore.ErrThrottled)},
		{name: "rejected", faults: []transactionFault{rejected}, wantErr: matchesError(kvstore.ErrRejected)},
		{name: "conflict", changedBefore: "job/1", wantErr: matchesConflict("job/1")},
		{name: "request lost, then conflict on the fence key", faults: []transactionFault{requestLost}, changedBefore: election.LeaderKey, fenceKey: election.LeaderKey, wantErr: matchesConflict(election.LeaderKey)},
		{name: "request lost, then conflict without a fence key", faults: []transactionFault{requestLost}, changedBefore: election.LeaderKey, wantErr: matchesConflict(election.LeaderKey)},
		{name: "response lost, then conflict on the fence key", faults: []transactionFault{responseLost}, changedAfter: election.LeaderKey, fenceKey: election.LeaderKey,
			wantErr: matchesConflict(election.LeaderKey, "job/1")},
		{name: "response lost, then conflict without a fence key", faults: []transactionFault{responseLost}, changedAfter: election.LeaderKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newNodeFixture(t)
			leader, job := f.putOldValue(t, election.LeaderKey), f.putOldValue(t, "job/1")
			if c.changedBefore != "" {
				f.putOldValue(t, c.changedBefore)
			}
			if c.changedAfter != "" {
				f.kv.OnCommit = func(kvstore.Txn) { f.putOldValue(t, c.changedAfter) }
			}
			f.injectFaults(c.faults...)
			revision, err := f.node.store.commitAndConfirm(context.Background(), kvstore.Txn{
				Conditions: []kvstore.Condition{{Key: election.LeaderKey, ModRevision: leader}, {Key: "job/1", ModRevision: job}},
				Operations: []kvstore.Operation{{SetKey: "job/1", Value: "new"}},
			}, confirmOptions{fenceKey: c.fenceKey})
			if c.wantErr != nil {
				if !c.wantErr(err) {
					t.Errorf("unexpected error %v", err)
				}
				return
			}
			if item, _ := f.kv.Store.Get("job/1"); err != nil || revision != item.ModRevision || revision == job {
				t.Errorf("revision %d, error %v; stored revision is %d, was %d before", revision, err, item.ModRevision, job)
			}
		})
	}
}

func matchesError(target error) func(error) bool {
	return func(err error) bool { return errors.Is(err, target) }
}

func matchesConflict(keys ...string) func(error) bool {
	return func(err error) bool {
		var conflict *kvstore.ConflictError
		return errors.As(err, &conflict) && slices.Equal(conflict.FailedKeys, keys)
	}
}

// TestCommitAndConfirmAbandonsUnneededOutcome checks that commitAndConfirm stops retrying once the outcome is no
// longer needed or the context has ended.
func TestCommitAndConfirmAbandonsUnneededOutcome(t *testing.T) {
	f := newNodeFixture(t)
	txn := kvstore.Txn{Operations: []kvstore.Operation{{SetKey: "job/1", Value: "new"}}}
	f.injectFaults(requestLost, requestLost, requestLost)
	_, err := f.node.store.commitAndConfirm(context.Background(), txn, confirmOptions{stillNeeded: func() bool { return false }})
	if !errors.Is(err, errOutcomeAbandoned) {
		t.Errorf("error %v although the outcome is no longer needed, want %v", err, errOutcomeAbandoned)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := f.node.store.commitAndConfirm(ctx, txn, confirmOptions{}); !errors.Is(err, errOutcomeAbandoned) {
		t.Errorf("error %v after the context ended, want %v", err, errOutcomeAbandoned)
	}
}
