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

// fate is what happens to a transaction on its way.
type fate int

const (
	lost      fate = iota // neither applied nor answered
	applied               // applied, and not answered
	throttled             // refused for want of rate
	rejected              // refused as malformed
)

// lossyTransport lets the first transactions meet their fates, and passes on what comes
// after.
type lossyTransport struct {
	next  http.RoundTripper
	fates []fate
}

func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != "/multi" || len(l.fates) == 0 {
		return l.next.RoundTrip(r)
	}
	now := l.fates[0]
	l.fates = l.fates[1:]
	switch now {
	case throttled:
		return emptyResponse(http.StatusTooManyRequests), nil
	case rejected:
		return emptyResponse(http.StatusBadRequest), nil
	case applied:
		if _, err := l.next.RoundTrip(r); err != nil {
			return nil, err
		}
	}
	return nil, io.ErrUnexpectedEOF
}

func emptyResponse(code int) *http.Response {
	return &http.Response{StatusCode: code, Body: io.NopCloser(strings.NewReader(""))}
}

// meetFates lets the node's next transactions meet fates.
func (f *nodeFixture) meetFates(fates ...fate) {
	f.node.store.client = kvstore.NewClient("10.2.0.1:1", &lossyTransport{next: f.kv, fates: fates})
}

// put stores a value whatever is there.
func (f *nodeFixture) put(t *testing.T, key string) ident.Revision {
	t.Helper()
	revision, err := f.kv.Store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: key, Value: "old"}}})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// TestCommitAndConfirm: what became of a transaction is found out, whichever answers are
// lost, and it is never applied twice.
func TestCommitAndConfirm(t *testing.T) {
	for _, c := range []struct {
		name    string
		fates   []fate
		fence   string           // the key that decides at once
		before  string           // the key that somebody else changes before the first try
		after   string           // the key that somebody else changes once it is applied
		refused func(error) bool // nil: it is applied
	}{
		{name: "answered"},
		{name: "lost once", fates: []fate{lost}},
		{name: "applied and not answered", fates: []fate{applied}},
		{name: "applied, then lost", fates: []fate{applied, lost, lost}},
		{name: "lost, then throttled", fates: []fate{lost, throttled}},
		{name: "lost, then rejected", fates: []fate{lost, rejected}},
		{name: "throttled", fates: []fate{throttled}, refused: isError(kvstore.ErrThrottled)},
		{name: "rejected", fates: []fate{rejected}, refused: isError(kvstore.ErrRejected)},
		{name: "conflict", before: "job/1", refused: isConflict("job/1")},
		{name: "lost, then a conflict of the fence", fates: []fate{lost}, before: election.LeaderKey, fence: election.LeaderKey, refused: isConflict(election.LeaderKey)},
		{name: "lost, then another conflict", fates: []fate{lost}, before: election.LeaderKey, refused: isConflict(election.LeaderKey)},
		{name: "applied, then a conflict of the fence", fates: []fate{applied}, after: election.LeaderKey, fence: election.LeaderKey,
			refused: isConflict(election.LeaderKey, "job/1")},
		{name: "applied, then another conflict", fates: []fate{applied}, after: election.LeaderKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newNodeFixture(t)
			leader, job := f.put(t, election.LeaderKey), f.put(t, "job/1")
			if c.before != "" {
				f.put(t, c.before)
			}
			if c.after != "" {
				f.kv.OnCommit = func(kvstore.Txn) { f.put(t, c.after) }
			}
			f.meetFates(c.fates...)
			revision, err := f.node.store.commitAndConfirm(context.Background(), kvstore.Txn{
				Conditions: []kvstore.Condition{{Key: election.LeaderKey, ModRevision: leader}, {Key: "job/1", ModRevision: job}},
				Operations: []kvstore.Operation{{SetKey: "job/1", Value: "new"}},
			}, confirmation{fenceKey: c.fence})
			if c.refused != nil {
				if !c.refused(err) {
					t.Errorf("error %v", err)
				}
				return
			}
			if item, _ := f.kv.Store.Get("job/1"); err != nil || revision != item.ModRevision || revision == job {
				t.Errorf("revision %d, %v; stored is %d, before it was %d", revision, err, item.ModRevision, job)
			}
		})
	}
}

func isError(target error) func(error) bool {
	return func(err error) bool { return errors.Is(err, target) }
}

func isConflict(keys ...string) func(error) bool {
	return func(err error) bool {
		var conflict *kvstore.ConflictError
		return errors.As(err, &conflict) && slices.Equal(conflict.FailedKeys, keys)
	}
}

// TestAbandonedOutcome: nobody goes on for an outcome that is not wanted any more.
func TestAbandonedOutcome(t *testing.T) {
	f := newNodeFixture(t)
	txn := kvstore.Txn{Operations: []kvstore.Operation{{SetKey: "job/1", Value: "new"}}}
	f.meetFates(lost, lost, lost)
	_, err := f.node.store.commitAndConfirm(context.Background(), txn, confirmation{wanted: func() bool { return false }})
	if !errors.Is(err, errOutcomeAbandoned) {
		t.Errorf("error %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := f.node.store.commitAndConfirm(ctx, txn, confirmation{}); !errors.Is(err, errOutcomeAbandoned) {
		t.Errorf("error %v after the context ended", err)
	}
}
