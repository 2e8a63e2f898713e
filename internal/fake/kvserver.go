package fake

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// KVServer serves a KVStore with the state service's protocol. It is an http.RoundTripper, so that a
// client reaches it without a network.
type KVServer struct {
	mu    sync.Mutex
	Store *KVStore
	Now   clock.Instant
	// OnCommit, if set, is called after each transaction that was committed.
	OnCommit func(kvstore.Txn)
	// Override, if set, answers every request in place of the store.
	Override func(*http.Request) (*http.Response, error)
}

// RoundTrip implements http.RoundTripper.
func (s *KVServer) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Override != nil {
		return s.Override(r)
	}
	w := httptest.NewRecorder()
	s.serve(w, r)
	return w.Result(), nil
}

// serve answers a request at the time Now. The caller must hold mu.
func (s *KVServer) serve(w http.ResponseWriter, r *http.Request) {
	s.Store.Expire(s.Now)
	if s.Store.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		s.serveGet(w, strings.TrimPrefix(r.URL.Path, "/kv/"))
	case r.URL.Path == "/kv":
		s.serveList(w, r)
	case r.URL.Path == "/multi":
		s.serveTransaction(w, r)
	case r.URL.Path == "/watch":
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		changes, rev, err := s.Store.Watch(r.URL.Query().Get("prefix"), ident.Revision(since))
		if err != nil {
			w.WriteHeader(http.StatusGone)
			return
		}
		writeMessage(w, http.StatusOK, map[string]any{"journalNo": rev, "log": changes})
	case strings.HasPrefix(r.URL.Path, "/leases"):
		s.serveLease(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func writeMessage(w http.ResponseWriter, code int, v any) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		code = http.StatusInternalServerError
	}
	w.WriteHeader(code)
	w.Write(data)
}

func (s *KVServer) serveGet(w http.ResponseWriter, key string) {
	item, _ := s.Store.Get(key)
	if item.ModRevision == 0 {
		writeMessage(w, http.StatusNotFound, map[string]any{"journalNo": s.Store.revision})
		return
	}
	writeMessage(w, http.StatusOK, item)
}

func (s *KVServer) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	items, rev, _ := s.Store.List(query.Get("prefix"))
	limit, err := strconv.Atoi(query.Get("page"))
	if err != nil || limit < 1 {
		limit = 1000
	}
	var out []kvstore.KeyValue
	for _, item := range items {
		if item.Key > query.Get("since") {
			out = append(out, item)
		}
	}
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	writeMessage(w, http.StatusOK, map[string]any{"pairs": out, "more": more, "journalNo": rev})
}

// wireOperation is the state service protocol's encoding of a kvstore.Operation.
type wireOperation struct {
	SetKey    string             `msgpack:"set"`
	Value     msgpack.RawMessage `msgpack:"value"`
	LeaseID   ident.LeaseID      `msgpack:"tenure"`
	DeleteKey string             `msgpack:"remove"`
}

func (s *KVServer) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Conditions []kvstore.Condition `msgpack:"guards"`
		Operations []wireOperation     `msgpack:"writes"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || msgpack.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	txn := kvstore.Txn{Conditions: body.Conditions}
	for _, op := range body.Operations {
		txn.Operations = append(txn.Operations, kvstore.Operation{SetKey: op.SetKey, Value: op.Value, LeaseID: op.LeaseID, DeleteKey: op.DeleteKey})
	}
	rev, err := s.Store.Commit(txn)
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		if s.OnCommit != nil {
			s.OnCommit(txn)
		}
		writeMessage(w, http.StatusOK, map[string]any{"journalNo": rev})
	case errors.As(err, &conflict):
		writeMessage(w, http.StatusConflict, map[string]any{"failed": conflict.FailedKeys, "journalNo": s.Store.revision})
	default:
		writeMessage(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
	}
}

// serveLease grants a new lease for the path /leases, and renews or revokes a lease for /leases/ID.
func (s *KVServer) serveLease(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var body struct {
			TTLMillis int64 `msgpack:"lifeMs"`
		}
		data, _ := io.ReadAll(r.Body)
		if msgpack.Unmarshal(data, &body) != nil || body.TTLMillis < 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		id, _ := s.Store.Grant(s.Now, time.Duration(body.TTLMillis)*time.Millisecond)
		writeMessage(w, http.StatusOK, map[string]any{"tenure": id})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	if r.Method == http.MethodDelete {
		s.Store.Revoke(ident.LeaseID(id))
		w.WriteHeader(http.StatusOK)
		return
	}
	if s.Store.Extend(s.Now, ident.LeaseID(id)) != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusOK)
}
