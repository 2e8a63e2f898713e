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

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/fake"
	"badgerbay/internal/kvstore"
)

func setUp() (*kvstore.Client, *fake.KVServer) {
	srv := &fake.KVServer{Store: fake.NewKVStore(), Now: clock.Instant(time.Hour)}
	return kvstore.NewClient("10.2.0.1:2379", srv), srv
}

func set(key string, stamp ident.Revision, value any) kvstore.Txn {
	return kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, ModRevision: stamp}}, Operations: []kvstore.Operation{{SetKey: key, Value: value}}}
}

func TestCompareAndSet(t *testing.T) {
	c, _ := setUp()
	ctx := context.Background()
	v, err := c.Commit(ctx, set("job/wk-000001", 0, map[string]int{"n": 1}))
	if err != nil || v == 0 {
		t.Fatal(v, err)
	}
	_, err = c.Commit(ctx, set("job/wk-000001", 0, map[string]int{"n": 2}))
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) || len(conflict.FailedKeys) != 1 || conflict.FailedKeys[0] != "job/wk-000001" {
		t.Fatalf("second create: %v", err)
	}
	item, err := c.Get(ctx, "job/wk-000001")
	var got map[string]int
	if err != nil || item.ModRevision != v || msgpack.Unmarshal(item.Value, &got) != nil || got["n"] != 1 {
		t.Errorf("read back %+v, %v, %v", item, got, err)
	}
	if item, err := c.Get(ctx, "job/wk-000002"); err != nil || item.ModRevision != 0 {
		t.Errorf("absent key: %+v, %v", item, err)
	}
}

func TestListReadsAllPages(t *testing.T) {
	c, _ := setUp()
	ctx := context.Background()
	const n = 1203
	for i := range n {
		if _, err := c.Commit(ctx, set(fmt.Sprintf("job/wk-%06d", i), 0, i)); err != nil {
			t.Fatal(err)
		}
	}
	items, rev, err := c.List(ctx, "job/")
	if err != nil || len(items) != n || rev != n || items[n-1].Key != fmt.Sprintf("job/wk-%06d", n-1) {
		t.Errorf("%d items at revision %d, %v", len(items), rev, err)
	}
}

func TestLeaseEndsWithItsKeys(t *testing.T) {
	c, srv := setUp()
	ctx := context.Background()
	tenure, err := c.GrantLease(ctx, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	txn := kvstore.Txn{Operations: []kvstore.Operation{{SetKey: "leader", Value: "me", LeaseID: tenure}}}
	if _, err := c.Commit(ctx, txn); err != nil {
		t.Fatal(err)
	}
	srv.Now = srv.Now.Add(9 * time.Second)
	if err := c.RenewLease(ctx, tenure); err != nil {
		t.Fatal(err)
	}
	srv.Now = srv.Now.Add(11 * time.Second)
	if item, err := c.Get(ctx, "leader"); err != nil || item.ModRevision != 0 {
		t.Errorf("key outlives its lease: %+v, %v", item, err)
	}
	if err := c.RenewLease(ctx, tenure); !errors.Is(err, kvstore.ErrLeaseNotFound) {
		t.Errorf("extending an ended lease: %v", err)
	}
	if _, err := c.Commit(ctx, txn); !errors.Is(err, kvstore.ErrLeaseNotFound) {
		t.Errorf("setting with an ended lease: %v", err)
	}
}

// TestStatuses: what surely was not executed must be told from what may have
// been; an answer that can't be read leaves a request uncertain.
func TestStatuses(t *testing.T) {
	c, srv := setUp()
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
		if _, err := c.Commit(context.Background(), set("k", 0, 1)); !errors.Is(err, s.want) {
			t.Errorf("%d %q: %v, want %v", s.status, s.body, err, s.want)
		}
	}
	srv.Override = func(*http.Request) (*http.Response, error) { return nil, errors.New("connection reset") }
	if _, err := c.Commit(context.Background(), set("k", 0, 1)); !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		t.Errorf("reset: %v", err)
	}
}

// TestBudgetKeepsTheLimits: however hard all nodes push, together they stay
// below the service's limit, and folds leave room for submissions.
func TestBudgetKeepsTheLimits(t *testing.T) {
	const limit = 20.0
	now := clock.Instant(time.Hour)
	nodes := []*kvstore.Budget{kvstore.NewBudget(3, 150, limit), kvstore.NewBudget(3, 150, limit), kvstore.NewBudget(3, 150, limit)}
	nodes[0].SetLeader(now, true)
	taken := 0
	const secs = 20
	for range secs * 100 {
		now = now.Add(10 * time.Millisecond)
		for _, b := range nodes {
			for b.TakeWrites(now, kvstore.PurposeSubmission, 1) {
				taken++
			}
		}
	}
	if most := limit*secs + limit; float64(taken) > most || float64(taken) < 0.8*limit*secs {
		t.Errorf("%d changes in %d s, limit %v a second", taken, secs, limit)
	}
	// However many submissions come, rounds get their changes.
	rounds := 0
	for range secs * 100 {
		now = now.Add(10 * time.Millisecond)
		for nodes[0].TakeWrites(now, kvstore.PurposeSubmission, 1) {
		}
		if nodes[0].TakeWrites(now, kvstore.PurposeRound, 1) {
			rounds++
		}
	}
	if rounds < secs {
		t.Errorf("%d rounds in %d s of submissions", rounds, secs)
	}
	now = now.Add(time.Minute)
	for nodes[0].TakeWrites(now, kvstore.PurposeFold, 1) {
	}
	if !nodes[0].TakeWrites(now, kvstore.PurposeSubmission, 1) || !nodes[0].TakeWrites(now, kvstore.PurposeRound, 1) {
		t.Error("folds left nothing for submissions and rounds")
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add(200, []byte("\x81\xa5pairs\xdd\xff\xff\xff\xff"))
	f.Add(409, []byte("\x81\xa6failed\x91\xa1k"))
	c, srv := setUp()
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		srv.Override = func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}, nil
		}
		if v, err := c.Commit(context.Background(), set("k", 0, 1)); err == nil && v == 0 {
			t.Error("committed without a revision")
		}
		c.Get(context.Background(), "k")
		c.Watch(context.Background(), "k", 0, 0)
	})
}

// TestSizeAsTheServiceCounts: decimal numbers that are whole take two bytes more
// than in Go's JSON, wherever they are.
func TestSizeAsTheServiceCounts(t *testing.T) {
	type spec struct {
		CPUs float64  `json:"c"`
		Left *float64 `json:"l"`
		N    int      `json:"n"`
	}
	half, two := 0.5, 2.0
	for text, v := range map[string]any{
		`{"c":4.0,"l":null,"n":4}`:              spec{CPUs: 4, N: 4},
		`[{"c":1.5,"l":2.0,"n":0}]`:             []any{spec{CPUs: 1.5, Left: &two}},
		`{"a":{"c":0.0,"l":0.5,"n":1},"b":3.0}`: map[string]any{"a": &spec{Left: &half, N: 1}, "b": 3.0},
	} {
		if n := kvstore.JSONSize(v); n != len(text) {
			t.Errorf("%s: %d bytes, want %d", text, n, len(text))
		}
	}
}
