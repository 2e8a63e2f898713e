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

// KVServer speaks the state service's protocol in front of a KVStore. It is
// an http.RoundTripper, so that a client reaches it without a network.
type KVServer struct {
	mu    sync.Mutex
	Store *KVStore
	Now   clock.Instant
	// OnCommit, if set, is told of each transaction that was carried out.
	OnCommit func(kvstore.Txn)
	// Override, if set, returns the responses instead of the service.
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

func (s *KVServer) serve(w http.ResponseWriter, r *http.Request) {
	s.Store.Expire(s.Now)
	if s.Store.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		s.get(w, strings.TrimPrefix(r.URL.Path, "/kv/"))
	case r.URL.Path == "/kv":
		s.list(w, r)
	case r.URL.Path == "/multi":
		s.multi(w, r)
	case r.URL.Path == "/watch":
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		log, rev, err := s.Store.Watch(r.URL.Query().Get("prefix"), ident.Revision(since))
		if err != nil {
			w.WriteHeader(http.StatusGone)
			return
		}
		writeMessage(w, http.StatusOK, map[string]any{"journalNo": rev, "log": log})
	case strings.HasPrefix(r.URL.Path, "/leases"):
		s.leases(w, r)
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

func (s *KVServer) get(w http.ResponseWriter, key string) {
	it, _ := s.Store.Get(key)
	if it.ModRevision == 0 {
		writeMessage(w, http.StatusNotFound, map[string]any{"journalNo": s.Store.revision})
		return
	}
	writeMessage(w, http.StatusOK, it)
}

func (s *KVServer) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	items, rev, _ := s.Store.List(q.Get("prefix"))
	page, err := strconv.Atoi(q.Get("page"))
	if err != nil || page < 1 {
		page = 1000
	}
	var out []kvstore.KeyValue
	for _, it := range items {
		if it.Key > q.Get("since") {
			out = append(out, it)
		}
	}
	more := len(out) > page
	if more {
		out = out[:page]
	}
	writeMessage(w, http.StatusOK, map[string]any{"pairs": out, "more": more, "journalNo": rev})
}

type wireOperation struct {
	Set    string             `msgpack:"set"`
	Value  msgpack.RawMessage `msgpack:"value"`
	Tenure ident.LeaseID      `msgpack:"tenure"`
	Remove string             `msgpack:"remove"`
}

func (s *KVServer) multi(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Guards []kvstore.Condition `msgpack:"guards"`
		Writes []wireOperation     `msgpack:"writes"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || msgpack.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := kvstore.Txn{Conditions: body.Guards}
	for _, wr := range body.Writes {
		t.Operations = append(t.Operations, kvstore.Operation{SetKey: wr.Set, Value: wr.Value, LeaseID: wr.Tenure, DeleteKey: wr.Remove})
	}
	rev, err := s.Store.Commit(t)
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		if s.OnCommit != nil {
			s.OnCommit(t)
		}
		writeMessage(w, http.StatusOK, map[string]any{"journalNo": rev})
	case errors.As(err, &conflict):
		writeMessage(w, http.StatusConflict, map[string]any{"failed": conflict.FailedKeys, "journalNo": s.Store.revision})
	default:
		writeMessage(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
	}
}

func (s *KVServer) leases(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var body struct {
			LifeMs int64 `msgpack:"lifeMs"`
		}
		data, _ := io.ReadAll(r.Body)
		if msgpack.Unmarshal(data, &body) != nil || body.LifeMs < 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		id, _ := s.Store.Grant(s.Now, time.Duration(body.LifeMs)*time.Millisecond)
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
