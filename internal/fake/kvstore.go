// Package fake holds stand-ins for the systems that a node talks to: the
// state service, the cloud and the workers. They follow the published protocol
// and keep time as they are told, so that tests need no network and no sleep.
package fake

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// KVStore is a stand-in for the state service.
type KVStore struct {
	Down        bool // an outage: nothing is executed
	revision    ident.Revision
	items       map[string]storedItem
	leases      map[ident.LeaseID]*lease
	nextLeaseID ident.LeaseID
	changes     []kvstore.WatchEvent
	// MaxValueBytes and MaxTxnOps are the limits of the service; 0: none. A
	// violation is kept in LimitViolation.
	MaxValueBytes, MaxTxnOps int
	LimitViolation           string
	// OperationCount counts the puts and deletes asked for.
	OperationCount int
	// RetainedChanges is how many changes a watch can go back; 0: all.
	RetainedChanges int
}

type storedItem struct {
	value       msgpack.RawMessage
	modRevision ident.Revision
	leaseID     ident.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt clock.Instant
}

// NewKVStore returns an empty store.
func NewKVStore() *KVStore {
	return &KVStore{items: map[string]storedItem{}, leases: map[ident.LeaseID]*lease{}, nextLeaseID: 1}
}

// Expire ends the leases whose time is over. During an outage none ends; after
// it, all have their full time again.
func (s *KVStore) Expire(now clock.Instant) {
	var over []ident.LeaseID
	for id, l := range s.leases {
		if s.Down {
			l.expiresAt = now.Add(l.ttl)
		} else if !now.Before(l.expiresAt) {
			over = append(over, id)
		}
	}
	slices.Sort(over)
	for _, id := range over {
		s.removeLease(id)
	}
}

func (s *KVStore) removeLease(id ident.LeaseID) {
	delete(s.leases, id)
	s.revision++
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[k].leaseID == id {
			delete(s.items, k)
			s.changes = append(s.changes, kvstore.WatchEvent{DeleteKey: k, ModRevision: s.revision})
		}
	}
}

// Get reads a key.
func (s *KVStore) Get(key string) (kvstore.KeyValue, error) {
	if s.Down {
		return kvstore.KeyValue{}, kvstore.ErrUnavailable
	}
	it := s.items[key]
	return kvstore.KeyValue{Key: key, Value: it.value, ModRevision: it.modRevision}, nil
}

// List reads the keys with a prefix.
func (s *KVStore) List(prefix string) ([]kvstore.KeyValue, ident.Revision, error) {
	if s.Down {
		return nil, 0, kvstore.ErrUnavailable
	}
	var out []kvstore.KeyValue
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, kvstore.KeyValue{Key: k, Value: it.value, ModRevision: it.modRevision})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, s.revision, nil
}

// Commit applies a transaction.
func (s *KVStore) Commit(t kvstore.Txn) (ident.Revision, error) {
	if s.Down {
		return 0, kvstore.ErrUnavailable
	}
	s.OperationCount += len(t.Operations)
	if err := s.checkLimits(t); err != nil {
		return 0, err
	}
	var failed []string
	for _, g := range t.Conditions {
		if s.items[g.Key].modRevision != g.ModRevision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return 0, &kvstore.ConflictError{FailedKeys: failed}
	}
	for _, w := range t.Operations {
		if w.LeaseID != 0 && s.leases[w.LeaseID] == nil {
			return 0, kvstore.ErrLeaseNotFound
		}
	}
	if len(t.Operations) > 0 {
		s.revision++
	}
	for _, w := range t.Operations {
		if w.DeleteKey != "" {
			delete(s.items, w.DeleteKey)
			s.changes = append(s.changes, kvstore.WatchEvent{DeleteKey: w.DeleteKey, ModRevision: s.revision})
			continue
		}
		data, err := msgpack.Marshal(w.Value)
		if err != nil {
			return 0, kvstore.ErrRejected
		}
		s.items[w.SetKey] = storedItem{value: data, modRevision: s.revision, leaseID: w.LeaseID}
		s.changes = append(s.changes, kvstore.WatchEvent{SetKey: w.SetKey, Value: data, ModRevision: s.revision})
	}
	return s.revision, nil
}

// checkLimits refuses a transaction that is too large, counted as JSON like the
// service does.
func (s *KVStore) checkLimits(t kvstore.Txn) error {
	if s.MaxTxnOps > 0 && (len(t.Operations) > s.MaxTxnOps || len(t.Conditions) > 4*s.MaxTxnOps) {
		s.LimitViolation = fmt.Sprintf("%d writes and %d guards", len(t.Operations), len(t.Conditions))
		return kvstore.ErrRejected
	}
	total := 0
	for _, w := range t.Operations {
		n := jsonSize(w.Value)
		total += n
		if s.MaxValueBytes > 0 && n > s.MaxValueBytes {
			s.LimitViolation = fmt.Sprintf("%s of %d bytes", w.SetKey, n)
		}
	}
	if s.MaxValueBytes > 0 && total > 64<<10 {
		s.LimitViolation = fmt.Sprintf("transaction of %d bytes", total)
	}
	if s.LimitViolation != "" {
		return kvstore.ErrRejected
	}
	return nil
}

// jsonSize is the size of a value in JSON, with its names as they are stored.
func jsonSize(v any) int {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return 0
	}
	var plain any
	if err := msgpack.Unmarshal(data, &plain); err != nil {
		return 0
	}
	return kvstore.JSONSize(plain)
}

// Grant makes a lease.
func (s *KVStore) Grant(now clock.Instant, life time.Duration) (ident.LeaseID, error) {
	if s.Down {
		return 0, kvstore.ErrUnavailable
	}
	id := s.nextLeaseID
	s.nextLeaseID++
	s.leases[id] = &lease{ttl: life, expiresAt: now.Add(life)}
	return id, nil
}

// Extend renews a lease.
func (s *KVStore) Extend(now clock.Instant, id ident.LeaseID) error {
	if s.Down {
		return kvstore.ErrUnavailable
	}
	l := s.leases[id]
	if l == nil {
		return kvstore.ErrLeaseNotFound
	}
	l.expiresAt = now.Add(l.ttl)
	return nil
}

// Revoke ends a lease.
func (s *KVStore) Revoke(id ident.LeaseID) error {
	if s.Down {
		return kvstore.ErrUnavailable
	}
	if s.leases[id] != nil {
		s.removeLease(id)
	}
	return nil
}

// Changes returns what has changed under a prefix since a revision.
func (s *KVStore) Changes(prefix string, since ident.Revision) ([]kvstore.WatchEvent, ident.Revision) {
	var out []kvstore.WatchEvent
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].ModRevision > since })
	for _, c := range s.changes[first:] {
		if strings.HasPrefix(c.SetKey, prefix) || c.DeleteKey != "" && strings.HasPrefix(c.DeleteKey, prefix) {
			out = append(out, c)
		}
	}
	return out, s.revision
}

// Watch reads the changes of a prefix since a revision, without waiting.
func (s *KVStore) Watch(prefix string, since ident.Revision) ([]kvstore.WatchEvent, ident.Revision, error) {
	if s.Down {
		return nil, 0, kvstore.ErrUnavailable
	}
	if s.RetainedChanges > 0 && len(s.changes) > s.RetainedChanges && since < s.changes[len(s.changes)-s.RetainedChanges-1].ModRevision {
		return nil, 0, kvstore.ErrCompacted
	}
	log, revision := s.Changes(prefix, since)
	return log, revision, nil
}
