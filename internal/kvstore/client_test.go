package kvstore_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/fake"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// newFakeService returns a client of a new fake state service, and the service.
func newFakeService() (*kvstore.Client, *fake.KVServer) {
	srv := &fake.KVServer{Store: fake.NewKVStore(), Now: clock.Instant(time.Hour)}
	return kvstore.NewClient("10.2.0.1:2379", srv), srv
}

// setTxn returns a transaction that sets the key if it has the revision.
func setTxn(key string, revision ident.Revision, value any) kvstore.Txn {
	return kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, ModRevision: revision}}, Operations: []kvstore.Operation{{SetKey: key, Value: value}}}
}

// TestCompareAndSwap checks that a transaction whose condition does not hold is not applied and
// returns a ConflictError with the key.
func TestCompareAndSwap(t *testing.T) {
	c, _ := newFakeService()
	ctx := context.Background()
	v, err := c.Commit(ctx, setTxn("job/wk-000001", 0, map[string]int{"n": 1}))
	if err != nil || v == 0 {
		t.Fatal(v, err)
	}
	_, err = c.Commit(ctx, setTxn("job/wk-000001", 0, map[string]int{"n": 2}))
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) || len(conflict.FailedKeys) != 1 || conflict.FailedKeys[0] != "job/wk-000001" {
		t.Fatalf("second create: %v", err)
	}
	item, err := c.Get(ctx, "job/wk-000001")
	var got map[string]int
	if err != nil || item.ModRevision != v || msgpack.Unmarshal(item.Value, &got) != nil || got["n"] != 1 {
		t.Errorf("Get after the conflict: %+v, %v, %v", item, got, err)
	}
	if item, err := c.Get(ctx, "job/wk-000002"); err != nil || item.ModRevision != 0 {
		t.Errorf("absent key: %+v, %v", item, err)
	}
}

// TestListReadsAllPages checks that List returns all keys when they exceed one page.
func TestListReadsAllPages(t *testing.T) {
	c, _ := newFakeService()
	ctx := context.Background()
	const n = 1203
	for i := range n {
		if _, err := c.Commit(ctx, setTxn(fmt.Sprintf("job/wk-%06d", i), 0, i)); err != nil {
			t.Fatal(err)
		}
	}
	items, rev, err := c.List(ctx, "job/")
	if err != nil || len(items) != n || rev != n || items[n-1].Key != fmt.Sprintf("job/wk-%06d", n-1) {
		t.Errorf("%d items at revision %d, %v", len(items), rev, err)
	}
}

// TestExpiredLeaseDeletesItsKeys checks that a renewal extends a lease, that its keys are deleted when
// it expires, and that requests with the expired lease return ErrLeaseNotFound.
func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	c, srv := newFakeService()
	ctx := context.Background()
	leaseID, err := c.GrantLease(ctx, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	txn := kvstore.Txn{Operations: []kvstore.Operation{{SetKey: "leader", Value: "me", LeaseID: leaseID}}}
	if _, err := c.Commit(ctx, txn); err != nil {
		t.Fatal(err)
	}
	srv.Now = srv.Now.Add(9 * time.Second)
	if err := c.RenewLease(ctx, leaseID); err != nil {
		t.Fatal(err)
	}
	srv.Now = srv.Now.Add(11 * time.Second)
	if item, err := c.Get(ctx, "leader"); err != nil || item.ModRevision != 0 {
		t.Errorf("key still exists after its lease expired: %+v, %v", item, err)
	}
	if err := c.RenewLease(ctx, leaseID); !errors.Is(err, kvstore.ErrLeaseNotFound) {
		t.Errorf("renewing an expired lease: %v", err)
	}
	if _, err := c.Commit(ctx, txn); !errors.Is(err, kvstore.ErrLeaseNotFound) {
		t.Errorf("setting with an expired lease: %v", err)
	}
}

// TestResponsesAreClassified checks that the client distinguishes requests that were certainly not
// executed from those that may have been. After a response that can't be decoded, or none, the
// outcome is unknown: a caller that took it for a failure could lose or repeat a write.
func TestResponsesAreClassified(t *testing.T) {
	c, srv := newFakeService()
	for _, s := range []struct {
		status int
		body   string
		want   error
	}{
		{503, "", kvstore.ErrUnavailable}, {429, "", kvstore.ErrThrottled},
		{400, "\x81\xa5error\xadno such lease", kvstore.ErrLeaseNotFound}, {400, "garbage", kvstore.ErrRejected},
		{500, "", kvstore.ErrOutcomeUnknown}, {200, "\xc1\xc1", kvstore.ErrOutcomeUnknown}, {200, "", kvstore.ErrOutcomeUnknown},
		{200, "\x81\xa9journalNo\xa3abc", kvstore.ErrOutcomeUnknown}, {409, "\x81\xa6failed\xdd\xff\xff\xff\xff", kvstore.ErrOutcomeUnknown},
	} {
		srv.Override = func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: s.status, Body: io.NopCloser(bytes.NewReader([]byte(s.body)))}, nil
		}
		t.Run(fmt.Sprintf("%d %x", s.status, s.body), func(t *testing.T) {
			if _, err := c.Commit(context.Background(), setTxn("k", 0, 1)); !errors.Is(err, s.want) {
				t.Errorf("%v, want %v", err, s.want)
			}
		})
	}
	srv.Override = func(*http.Request) (*http.Response, error) { return nil, errors.New("connection reset") }
	if _, err := c.Commit(context.Background(), setTxn("k", 0, 1)); !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		t.Errorf("connection reset: %v, want %v", err, kvstore.ErrOutcomeUnknown)
	}
}

// FuzzResponse checks that no response makes the client panic, or report a commit without a revision.
func FuzzResponse(f *testing.F) {
	f.Add(200, []byte("\x81\xa5pairs\xdd\xff\xff\xff\xff"))
	f.Add(409, []byte("\x81\xa6failed\x91\xa1k"))
	c, srv := newFakeService()
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		srv.Override = func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}, nil
		}
		if v, err := c.Commit(context.Background(), setTxn("k", 0, 1)); err == nil && v == 0 {
			t.Error("Commit succeeded without a revision")
		}
		c.Get(context.Background(), "k")
		c.Watch(context.Background(), "k", 0, 0)
	})
}
