package kvstore_test

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

//go:embed testdata/golden/exchanges.json
var goldenExchanges []byte

// goldenExchange records the requests of one client call, the service's responses and the result.
type goldenExchange struct {
	Requests []string `json:"requests"` // method, path with query, media type, body in hex
	Answers  []string `json:"answers"`  // status, body in hex
	Result   string   `json:"result"`   // result of the client call, as formatted by formatResult
}

// replayTransport is an HTTP transport that returns recorded responses and records the requests.
type replayTransport struct {
	t        *testing.T
	answers  []string
	requests []string
}

// RoundTrip implements http.RoundTripper.
func (s *replayTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			s.t.Error(err)
		}
	}
	s.requests = append(s.requests, fmt.Sprintf("%s http://%s%s %s %x", r.Method, r.URL.Host, r.URL.RequestURI(), r.Header.Get("Content-Type"), body))
	if len(s.answers) < len(s.requests) {
		s.t.Errorf("unexpected request: %s", s.requests[len(s.requests)-1])
		return nil, errors.New("no response recorded for the request")
	}
	var status int
	var data []byte
	if _, err := fmt.Sscanf(s.answers[len(s.requests)-1]+" ", "%d %x", &status, &data); err != nil && status == 0 {
		s.t.Errorf("recorded response %q: %v", s.answers[len(s.requests)-1], err)
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(data))}, nil
}

type goldenRecord struct {
	Node  string  `msgpack:"node" json:"node"`
	Count int64   `msgpack:"count" json:"count"`
	Share float64 `msgpack:"share,omitempty" json:"share,omitempty"`
}

// formatResult formats the result of a client call as in the golden file.
func formatResult(v any, err error) string {
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		return fmt.Sprintf("conflict %q", conflict.FailedKeys)
	}
	for name, sentinel := range map[string]error{
		"unavailable": kvstore.ErrUnavailable, "throttled": kvstore.ErrThrottled, "uncertain": kvstore.ErrOutcomeUnknown,
		"no lease": kvstore.ErrLeaseNotFound, "malformed": kvstore.ErrRejected, "compacted": kvstore.ErrCompacted,
	} {
		if errors.Is(err, sentinel) {
			return name
		}
	}
	if err != nil {
		return "unexpected: " + err.Error()
	}
	return fmt.Sprint(v)
}

func formatItem(it kvstore.KeyValue) string {
	return fmt.Sprintf("%s=%x@%d", it.Key, []byte(it.Value), it.ModRevision)
}

// goldenCalls returns the client calls by the name of their golden exchange. Each call returns its
// formatted result.
func goldenCalls() map[string]func(context.Context, *kvstore.Client) string {
	get := func(ctx context.Context, c *kvstore.Client) string {
		item, err := c.Get(ctx, "job/wk-000412")
		return formatResult(formatItem(item), err)
	}
	list := func(ctx context.Context, c *kvstore.Client) string {
		items, revision, err := c.List(ctx, "job/")
		text := fmt.Sprint("revision ", revision)
		for _, it := range items {
			text += " " + formatItem(it)
		}
		return formatResult(text, err)
	}
	commit := func(txn kvstore.Txn) func(context.Context, *kvstore.Client) string {
		return func(ctx context.Context, c *kvstore.Client) string {
			return formatResult(c.Commit(ctx, txn))
		}
	}
	fullTxn := kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: "leader", ModRevision: 982}, {Key: "job/wk-000412", ModRevision: 0}},
		Operations: []kvstore.Operation{
			{SetKey: "job/wk-000412", Value: goldenRecord{Node: "n1", Count: 70_000, Share: 0.5}},
			{SetKey: "leader", Value: goldenRecord{Node: "n2"}, LeaseID: 17},
			{DeleteKey: "part/wk-000412/1"},
		},
	}
	grant := func(ctx context.Context, c *kvstore.Client) string {
		return formatResult(c.GrantLease(ctx, 6*time.Second))
	}
	renew := func(ctx context.Context, c *kvstore.Client) string {
		return formatResult("extended", c.RenewLease(ctx, 17))
	}
	revoke := func(ctx context.Context, c *kvstore.Client) string {
		return formatResult("revoked", c.RevokeLease(ctx, 17))
	}
	watch := func(ctx context.Context, c *kvstore.Client) string {
		changes, revision, err := c.Watch(ctx, "job/", 1201, 1500*time.Millisecond)
		text := fmt.Sprint("revision ", revision)
		for _, ch := range changes {
			text += fmt.Sprintf(" set %q remove %q %x@%d", ch.SetKey, ch.DeleteKey, []byte(ch.Value), ch.ModRevision)
		}
		return formatResult(text, err)
	}
	return map[string]func(context.Context, *kvstore.Client) string{
		"get": get, "get absent": get, "get throttled": get,
		"list": list, "list in pages": list, "list unavailable": list,
		"commit": commit(fullTxn), "commit guards only": commit(kvstore.Txn{Conditions: fullTxn.Conditions}),
		"commit refused":   commit(kvstore.Txn{Conditions: fullTxn.Conditions[:1], Operations: fullTxn.Operations[2:]}),
		"commit malformed": commit(kvstore.Txn{Operations: fullTxn.Operations[:1]}),
		"commit lost":      commit(kvstore.Txn{}),
		"commit ended":     commit(kvstore.Txn{Operations: fullTxn.Operations[1:2]}),
		"grant":            grant, "extend": renew, "extend ended": renew, "revoke": revoke,
		"watch": watch, "watch compacted": watch,
	}
}

// TestGoldenExchanges checks that the client sends exactly the recorded requests, byte for byte, and
// interprets the recorded responses as before. It guards the protocol of the state service against
// accidental changes.
func TestGoldenExchanges(t *testing.T) {
	var golden map[string]goldenExchange
	if err := json.Unmarshal(goldenExchanges, &golden); err != nil {
		t.Fatal(err)
	}
	all := goldenCalls()
	if len(golden) != len(all) {
		t.Fatalf("%d golden exchanges, want %d", len(golden), len(all))
	}
	for name, call := range all {
		t.Run(name, func(t *testing.T) {
			want := golden[name]
			server := &replayTransport{t: t, answers: want.Answers}
			result := call(context.Background(), kvstore.NewClient("10.2.0.1:2379", server))
			if diff := cmp.Diff(want, goldenExchange{server.requests, want.Answers, result}); diff != "" {
				t.Errorf("exchange differs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestGoldenSizes checks JSONSize against sizes as the state service counts them. A smaller result
// would let records grow beyond the limit, and the service would reject them.
func TestGoldenSizes(t *testing.T) {
	type nested struct {
		Records []goldenRecord     `json:"records"`
		Shares  map[string]float64 `json:"shares"`
		Hidden  float64            `json:"-"`
		Next    *nested            `json:"next,omitempty"`
	}
	for _, test := range []struct {
		name  string
		value any
		want  int
	}{
		{"null", nil, 4},
		{"text", "host-000007", 13},
		{"text to escape", "a<b>\u00fc\n", 20},
		{"whole number", 70_000, 5},
		{"decimal", 0.1, 3},
		{"whole decimal", 4.0, 3},
		{"large decimal", 1e21, 7},
		{"record", goldenRecord{Node: "n1", Count: 7}, 25},
		{"record with a share", goldenRecord{Node: "n1", Count: 7, Share: 0.5}, 35},
		{"nested", nested{Records: []goldenRecord{{Share: 2}}, Shares: map[string]float64{"a": 1, "b": 1.5}, Next: &nested{}}, 116},
		{"unchecked revision", ident.Revision(1 << 40), 13},
		{"raw", msgpack.RawMessage{1, 2, 3}, 6},
		{"not to be encoded", func() {}, 1 << 30},
	} {
		if n := kvstore.JSONSize(test.value); n != test.want {
			t.Errorf("%s: %d bytes, want %d", test.name, n, test.want)
		}
	}
}
