// Package kvstore is the client of the state service: a small consistent key-value store with
// compare-and-swap transactions, leases and watches. The state service is the only persistent
// storage of the controllers. The package sends the requests and classifies their errors, computes
// the sizes of values as the service counts them, and divides the service's rate limits among the
// nodes. The callers define what the keys mean and how to proceed when a response was lost.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

const (
	// RequestTimeout is the timeout of a request.
	RequestTimeout = 1500 * time.Millisecond
	// listTimeout is the timeout of the request for one page of a listing.
	listTimeout  = 2 * RequestTimeout
	listPageSize = 500 // keys
	// maxResponseBytes is the maximum size of a response body. The service itself does not
	// limit the responses to watches.
	maxResponseBytes = 8 << 20
)

// Client sends requests to the state service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the service at addr, a host and port.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + addr, http: &http.Client{Transport: transport}}
}

// response is the body of a response; which fields are set depends on the request.
type response struct {
	Revision    ident.Revision               `msgpack:"journalNo"` // current revision of the store
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

// call sends one request and classifies the response. If the error is nil, the status is 200, 404
// or 409.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body any) (int, *response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := wire.NewRequest(ctx, method, c.baseURL+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	status, data, err := wire.Do(c.http, req, maxResponseBytes)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return classifyResponse(status, data)
}

// classifyResponse converts a status and a body to a response or an error. If the body of a 200,
// 404 or 409 can't be decoded, the error is ErrOutcomeUnknown, because the request may have been
// executed.
func classifyResponse(status int, data []byte) (int, *response, error) {
	r := new(response)
	var decodeErr error
	if len(data) > 0 {
		decodeErr = msgpack.Unmarshal(data, r)
	}
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		if decodeErr != nil {
			return 0, nil, fmt.Errorf("%w: decoding: %w", ErrOutcomeUnknown, decodeErr)
		}
		return status, r, nil
	case http.StatusTooManyRequests:
		return 0, nil, ErrThrottled
	case http.StatusServiceUnavailable:
		return 0, nil, ErrUnavailable
	case http.StatusGone:
		return 0, nil, ErrCompacted
	case http.StatusBadRequest:
		if r.Error == leaseNotFoundMessage {
			return 0, nil, ErrLeaseNotFound
		}
		return 0, nil, fmt.Errorf("%w: %.200s", ErrRejected, r.Error)
	}
	return 0, nil, unexpectedStatus(status)
}

// unexpectedStatus returns the error for a response that does not show whether the request was
// executed.
func unexpectedStatus(status int) error {
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// Get returns a key with its value. If the key does not exist, the ModRevision is 0.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, error) {
	status, r, err := c.call(ctx, RequestTimeout, http.MethodGet, "/kv/"+key, nil)
	switch {
	case err != nil:
		return KeyValue{}, fmt.Errorf("get %s: %w", key, err)
	case status == http.StatusNotFound:
		return KeyValue{Key: key}, nil
	case status != http.StatusOK || r.ModRevision == 0:
		return KeyValue{}, fmt.Errorf("get %s: %w", key, unexpectedStatus(status))
	}
	return KeyValue{Key: key, Value: r.Value, ModRevision: r.ModRevision}, nil
}

// List returns all keys with the prefix, which it reads page by page, and a revision. The revision
// is that of the first page, so that a watch from it also returns the changes that were made
// while the other pages were read.
func (c *Client) List(ctx context.Context, prefix string) ([]KeyValue, ident.Revision, error) {
	var items []KeyValue
	var revision ident.Revision
	query := url.Values{"prefix": {prefix}, "page": {strconv.Itoa(listPageSize)}}
	for {
		_, r, err := c.call(ctx, listTimeout, http.MethodGet, "/kv?"+query.Encode(), nil)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if revision == 0 {
			revision = r.Revision
		}
		items = append(items, r.Pairs...)
		if !r.More || len(r.Pairs) == 0 {
			return items, revision, nil
		}
		query.Set("since", r.Pairs[len(r.Pairs)-1].Key)
	}
}

// Commit applies a transaction and returns its revision, which is the new ModRevision of every
// key that it set. If conditions did not hold, the error is a *ConflictError.
func (c *Client) Commit(ctx context.Context, txn Txn) (ident.Revision, error) {
	status, r, err := c.call(ctx, RequestTimeout, http.MethodPost, "/multi", txn)
	switch {
	case err != nil:
		return 0, fmt.Errorf("commit: %w", err)
	case status == http.StatusConflict:
		return 0, &ConflictError{FailedKeys: r.FailedKeys}
	case status != http.StatusOK || r.Revision == 0:
		return 0, fmt.Errorf("commit: %w", unexpectedStatus(status))
	}
	return r.Revision, nil
}

type grantRequest struct {
	TTLMs int64 `msgpack:"lifeMs"`
}

// GrantLease creates a lease with the given time to live and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (ident.LeaseID, error) {
	status, r, err := c.call(ctx, RequestTimeout, http.MethodPost, "/leases", grantRequest{TTLMs: ttl.Milliseconds()})
	switch {
	case err != nil:
		return 0, fmt.Errorf("grant lease: %w", err)
	case status != http.StatusOK || r.LeaseID == 0:
		return 0, fmt.Errorf("grant lease: %w", unexpectedStatus(status))
	}
	return r.LeaseID, nil
}

// RenewLease renews a lease. The error wraps ErrLeaseNotFound if the lease has expired or was
// revoked.
func (c *Client) RenewLease(ctx context.Context, id ident.LeaseID) error {
	status, _, err := c.call(ctx, RequestTimeout, http.MethodPost, leasePath(id)+"/extend", struct{}{})
	if err == nil && status == http.StatusNotFound {
		err = ErrLeaseNotFound
	}
	if err != nil {
		return fmt.Errorf("renew lease %d: %w", id, err)
	}
	return nil
}

// RevokeLease ends a lease at once, which deletes the keys that are bound to it.
func (c *Client) RevokeLease(ctx context.Context, id ident.LeaseID) error {
	if _, _, err := c.call(ctx, RequestTimeout, http.MethodDelete, leasePath(id), nil); err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}

func leasePath(id ident.LeaseID) string { return fmt.Sprintf("/leases/%d", id) }

// Watch waits until a key with the prefix changes after the revision since, but at most for maxWait.
// It returns the changes and the revision up to which they are complete. The error wraps
// ErrCompacted if the changes are no longer retained or exceed maxResponseBytes.
func (c *Client) Watch(ctx context.Context, prefix string, since ident.Revision, maxWait time.Duration) ([]WatchEvent, ident.Revision, error) {
	query := url.Values{"prefix": {prefix}, "since": {strconv.FormatUint(uint64(since), 10)},
		"holdMs": {strconv.FormatInt(maxWait.Milliseconds(), 10)}}
	_, r, err := c.call(ctx, maxWait+RequestTimeout, http.MethodGet, "/watch?"+query.Encode(), nil)
	if errors.Is(err, wire.ErrResponseTooLarge) {
		err = ErrCompacted
	}
	if err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return r.Events, r.Revision, nil
}
