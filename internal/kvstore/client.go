// Package kvstore speaks to the state service: a small consistent
// key-value store with transactions and leases, and the only place where the
// controllers keep anything.
package kvstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"reflect"
	"strconv"
	"time"

	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/wire"
)

// Errors of the state service. ErrUncertain means that the request may have
// been executed, or may still be; the others mean that it was not.
var (
	ErrUnavailable    = errors.New("state service unavailable")
	ErrThrottled      = errors.New("state service throttled us")
	ErrOutcomeUnknown = errors.New("state service did not answer")
	ErrLeaseNotFound  = errors.New("no such lease")
	ErrRejected       = errors.New("state service refused the request")
	ErrCompacted      = errors.New("changes since that revision are no longer kept")
)

// ConflictError tells which guards of a transaction failed.
type ConflictError struct{ FailedKeys []string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("guards failed: %v", e.FailedKeys) }

// KeyValue is one key with its value. The value is still encoded.
type KeyValue struct {
	Key         string             `msgpack:"key"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision ident.Revision     `msgpack:"stamp"`
}

// Condition is a condition: the key has this version (0: it does not exist).
type Condition struct {
	Key         string         `msgpack:"key" json:"key"`
	ModRevision ident.Revision `msgpack:"stamp" json:"stamp"`
}

// Operation sets or removes a key.
type Operation struct {
	SetKey    string        `msgpack:"set,omitempty" json:"set,omitempty"`
	Value     any           `msgpack:"value,omitempty" json:"value,omitempty"`
	LeaseID   ident.LeaseID `msgpack:"tenure,omitempty" json:"tenure,omitempty"`
	DeleteKey string        `msgpack:"remove,omitempty" json:"remove,omitempty"`
}

// Txn is an atomic change.
type Txn struct {
	Conditions []Condition `msgpack:"guards" json:"guards"`
	Operations []Operation `msgpack:"writes,omitempty" json:"writes,omitempty"`
}

// WatchEvent is one entry of a watch.
type WatchEvent struct {
	SetKey      string             `msgpack:"set"`
	DeleteKey   string             `msgpack:"remove"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision ident.Revision     `msgpack:"stamp"`
}

// JSONSize is the size of a value in the form in which limits are counted.
func JSONSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 1 << 30
	}
	return len(data) + len(".0")*countWholeFloats(reflect.ValueOf(v))
}

// countWholeFloats counts the decimal numbers in v that are whole, those that are left
// out of the JSON too: the size is never too small. The service writes
// them as 4.0, where Go's JSON has 4: a record that fitted by a few bytes was
// refused again and again.
func countWholeFloats(v reflect.Value) int {
	n := 0
	switch v.Kind() {
	case reflect.Float32, reflect.Float64:
		if v.Float() == math.Trunc(v.Float()) {
			n = 1
		}
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			n = countWholeFloats(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			n += countWholeFloats(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			n += countWholeFloats(v.Index(i))
		}
	case reflect.Map:
		for entries := v.MapRange(); entries.Next(); {
			n += countWholeFloats(entries.Value())
		}
	}
	return n
}

const (
	// maxResponseBytes bounds what is read of one answer. Watches have no limit of
	// their own at the service.
	maxResponseBytes = 8 << 20
	listPageSize     = 500
	// RequestTimeout is how long a request waits for its answer.
	RequestTimeout = 1500 * time.Millisecond
)

// Client speaks to the state service.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at addr.
func NewClient(addr string, rt http.RoundTripper) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: rt}}
}

type response struct {
	Revision    ident.Revision               `msgpack:"journalNo"`
	Key         string                       `msgpack:"key"`
	Value       msgpack.RawMessage           `msgpack:"value"`
	ModRevision ident.Revision               `msgpack:"stamp"`
	Pairs       wire.BoundedList[KeyValue]   `msgpack:"pairs"`
	More        bool                         `msgpack:"more"`
	FailedKeys  wire.BoundedList[string]     `msgpack:"failed"`
	LeaseID     ident.LeaseID                `msgpack:"tenure"`
	Events      wire.BoundedList[WatchEvent] `msgpack:"log"`
	Error       string                       `msgpack:"error"`
}

// call sends one request and sorts the answer. A status it returns without an
// error is 200, 404 or 409.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body any) (int, *response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := wire.NewRequest(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrRejected, err)
	}
	status, data, err := wire.Do(c.http, req, maxResponseBytes)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return classifyResponse(status, data)
}

// classifyResponse turns a status and a body into a reply or an error. A body that
// can't be read leaves a successful request uncertain, never failed.
func classifyResponse(status int, data []byte) (int, *response, error) {
	r := new(response)
	var bad error
	if len(data) > 0 {
		bad = msgpack.Unmarshal(data, r)
	}
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		if bad != nil {
			return 0, nil, fmt.Errorf("%w: %v", ErrOutcomeUnknown, bad)
		}
		return status, r, nil
	case http.StatusTooManyRequests:
		return 0, nil, ErrThrottled
	case http.StatusServiceUnavailable:
		return 0, nil, ErrUnavailable
	case http.StatusGone:
		return 0, nil, ErrCompacted
	case http.StatusBadRequest:
		if r.Error == ErrLeaseNotFound.Error() {
			return 0, nil, ErrLeaseNotFound
		}
		return 0, nil, fmt.Errorf("%w: %.200s", ErrRejected, r.Error)
	}
	return 0, nil, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// Get reads a key. A key that does not exist has stamp 0.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, error) {
	status, r, err := c.call(ctx, RequestTimeout, http.MethodGet, "/kv/"+key, nil)
	if err != nil {
		return KeyValue{}, fmt.Errorf("get %s: %w", key, err)
	}
	if status == http.StatusNotFound {
		return KeyValue{Key: key}, nil
	}
	if status != http.StatusOK || r.ModRevision == 0 {
		return KeyValue{}, fmt.Errorf("get %s: %w: status %d", key, ErrOutcomeUnknown, status)
	}
	return KeyValue{Key: key, Value: r.Value, ModRevision: r.ModRevision}, nil
}

// List reads every key with the prefix, page by page. The revision is that of
// the first page, so that a watch from it misses nothing.
func (c *Client) List(ctx context.Context, prefix string) ([]KeyValue, ident.Revision, error) {
	var items []KeyValue
	var first ident.Revision
	since := ""
	for {
		q := url.Values{"prefix": {prefix}, "page": {strconv.Itoa(listPageSize)}}
		if since != "" {
			q.Set("since", since)
		}
		_, r, err := c.call(ctx, 2*RequestTimeout, http.MethodGet, "/kv?"+q.Encode(), nil)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if first == 0 {
			first = r.Revision
		}
		items = append(items, r.Pairs...)
		if !r.More || len(r.Pairs) == 0 {
			return items, first, nil
		}
		since = r.Pairs[len(r.Pairs)-1].Key
	}
}

// Commit applies a transaction and returns its revision, which is the new
// version of every key it set.
func (c *Client) Commit(ctx context.Context, t Txn) (ident.Revision, error) {
	status, r, err := c.call(ctx, RequestTimeout, http.MethodPost, "/multi", t)
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	switch {
	case status == http.StatusConflict:
		return 0, &ConflictError{FailedKeys: r.FailedKeys}
	case status != http.StatusOK || r.Revision == 0:
		return 0, fmt.Errorf("commit: %w: status %d", ErrOutcomeUnknown, status)
	}
	return r.Revision, nil
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (ident.LeaseID, error) {
	body := map[string]any{"lifeMs": life.Milliseconds()}
	status, r, err := c.call(ctx, RequestTimeout, http.MethodPost, "/leases", body)
	if err != nil {
		return 0, fmt.Errorf("grant: %w", err)
	}
	if status != http.StatusOK || r.LeaseID == 0 {
		return 0, fmt.Errorf("grant: %w: status %d", ErrOutcomeUnknown, status)
	}
	return r.LeaseID, nil
}

// RenewLease renews a lease; ErrNoLease means that it has ended.
func (c *Client) RenewLease(ctx context.Context, t ident.LeaseID) error {
	path := fmt.Sprintf("/leases/%d/extend", t)
	status, _, err := c.call(ctx, RequestTimeout, http.MethodPost, path, map[string]any{})
	if err != nil {
		return fmt.Errorf("extend: %w", err)
	}
	if status == http.StatusNotFound {
		return ErrLeaseNotFound
	}
	return nil
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, t ident.LeaseID) error {
	_, _, err := c.call(ctx, RequestTimeout, http.MethodDelete, fmt.Sprintf("/leases/%d", t), nil)
	return err
}

// Watch waits until a key with the prefix has changed after since. Changes that are
// too many to be read count as no longer kept: the keys must be read again.
func (c *Client) Watch(ctx context.Context, prefix string, since ident.Revision, hold time.Duration) ([]WatchEvent, ident.Revision, error) {
	q := url.Values{"prefix": {prefix}, "since": {strconv.FormatUint(uint64(since), 10)},
		"holdMs": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	_, r, err := c.call(ctx, hold+RequestTimeout, http.MethodGet, "/watch?"+q.Encode(), nil)
	if errors.Is(err, wire.ErrResponseTooLarge) {
		err = ErrCompacted
	}
	if err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return r.Events, r.Revision, nil
}
