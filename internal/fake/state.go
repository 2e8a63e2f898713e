// Package fake holds stand-ins for the systems that a node talks to: the
// state service, the cloud and the workers. They follow the published protocol
// and keep time as they are told, so that tests need no network and no sleep.
package fake

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// State is a stand-in for the state service.
type State struct {
	Down     bool // an outage: nothing is executed
	revision unit.Version
	items    map[string]stateItem
	leases   map[unit.Tenure]*stateLease
	next     unit.Tenure
	changes  []statestore.Change
	// ValueBytes and TxnOps are the limits of the service; 0: none. A breach
	// is kept in Breach.
	ValueBytes, TxnOps int
	Breach             string
	// Writes counts the puts and deletes asked for.
	Writes int
	// Kept is how many changes a watch can go back; 0: all.
	Kept int
}

type stateItem struct {
	value  msgpack.RawMessage
	stamp  unit.Version
	tenure unit.Tenure
}

type stateLease struct {
	life time.Duration
	ends unit.Instant
}

// NewState returns an empty store.
func NewState() *State {
	return &State{items: map[string]stateItem{}, leases: map[unit.Tenure]*stateLease{}, next: 1}
}

// Expire ends the leases whose time is over. During an outage none ends; after
// it, all have their full time again.
func (s *State) Expire(now unit.Instant) {
	for id, l := range s.leases {
		if s.Down {
			l.ends = now.Add(l.life)
		} else if !now.Before(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *State) endLease(id unit.Tenure) {
	delete(s.leases, id)
	s.revision++
	for k, it := range s.items {
		if it.tenure == id {
			delete(s.items, k)
			s.changes = append(s.changes, statestore.Change{Remove: k, Stamp: s.revision})
		}
	}
}

// Get reads a key.
func (s *State) Get(key string) (statestore.Item, error) {
	if s.Down {
		return statestore.Item{}, statestore.ErrUnavailable
	}
	it := s.items[key]
	return statestore.Item{Key: key, Value: it.value, Stamp: it.stamp}, nil
}

// List reads the keys with a prefix.
func (s *State) List(prefix string) ([]statestore.Item, unit.Version, error) {
	if s.Down {
		return nil, 0, statestore.ErrUnavailable
	}
	var out []statestore.Item
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, statestore.Item{Key: k, Value: it.value, Stamp: it.stamp})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, s.revision, nil
}

// Commit applies a transaction.
func (s *State) Commit(t statestore.Txn) (unit.Version, error) {
	if s.Down {
		return 0, statestore.ErrUnavailable
	}
	s.Writes += len(t.Writes)
	if err := s.limits(t); err != nil {
		return 0, err
	}
	var failed []string
	for _, g := range t.Guards {
		if s.items[g.Key].stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return 0, &statestore.ConflictError{Failed: failed}
	}
	for _, w := range t.Writes {
		if w.Tenure != 0 && s.leases[w.Tenure] == nil {
			return 0, statestore.ErrNoLease
		}
	}
	if len(t.Writes) > 0 {
		s.revision++
	}
	for _, w := range t.Writes {
		if w.Remove != "" {
			delete(s.items, w.Remove)
			s.changes = append(s.changes, statestore.Change{Remove: w.Remove, Stamp: s.revision})
			continue
		}
		data, err := msgpack.Marshal(w.Value)
		if err != nil {
			return 0, statestore.ErrMalformed
		}
		s.items[w.Set] = stateItem{value: data, stamp: s.revision, tenure: w.Tenure}
		s.changes = append(s.changes, statestore.Change{Set: w.Set, Value: data, Stamp: s.revision})
	}
	return s.revision, nil
}

// limits refuses a transaction that is too large, counted as JSON like the
// service does.
func (s *State) limits(t statestore.Txn) error {
	if s.TxnOps > 0 && (len(t.Writes) > s.TxnOps || len(t.Guards) > 4*s.TxnOps) {
		s.Breach = fmt.Sprintf("%d writes and %d guards", len(t.Writes), len(t.Guards))
		return statestore.ErrMalformed
	}
	total := 0
	for _, w := range t.Writes {
		n := sizeOf(w.Value)
		total += n
		if s.ValueBytes > 0 && n > s.ValueBytes {
			s.Breach = fmt.Sprintf("%s of %d bytes", w.Set, n)
		}
	}
	if s.ValueBytes > 0 && total > 64<<10 {
		s.Breach = fmt.Sprintf("transaction of %d bytes", total)
	}
	if s.Breach != "" {
		return statestore.ErrMalformed
	}
	return nil
}

// sizeOf is the size of a value in JSON, with its names as they are stored.
func sizeOf(v any) int {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return 0
	}
	var plain any
	if err := msgpack.Unmarshal(data, &plain); err != nil {
		return 0
	}
	return statestore.JSONSize(plain)
}

// Grant makes a lease.
func (s *State) Grant(now unit.Instant, life time.Duration) (unit.Tenure, error) {
	if s.Down {
		return 0, statestore.ErrUnavailable
	}
	id := s.next
	s.next++
	s.leases[id] = &stateLease{life: life, ends: now.Add(life)}
	return id, nil
}

// Extend renews a lease.
func (s *State) Extend(now unit.Instant, id unit.Tenure) error {
	if s.Down {
		return statestore.ErrUnavailable
	}
	l := s.leases[id]
	if l == nil {
		return statestore.ErrNoLease
	}
	l.ends = now.Add(l.life)
	return nil
}

// Revoke ends a lease.
func (s *State) Revoke(id unit.Tenure) error {
	if s.Down {
		return statestore.ErrUnavailable
	}
	if s.leases[id] != nil {
		s.endLease(id)
	}
	return nil
}

// Changes returns what has changed under a prefix since a revision.
func (s *State) Changes(prefix string, since unit.Version) ([]statestore.Change, unit.Version) {
	var out []statestore.Change
	for _, c := range s.changes {
		if c.Stamp > since && (strings.HasPrefix(c.Set, prefix) || c.Remove != "" && strings.HasPrefix(c.Remove, prefix)) {
			out = append(out, c)
		}
	}
	return out, s.revision
}

// Watch reads the changes of a prefix since a revision, without waiting.
func (s *State) Watch(prefix string, since unit.Version) ([]statestore.Change, unit.Version, error) {
	if s.Down {
		return nil, 0, statestore.ErrUnavailable
	}
	if s.Kept > 0 && len(s.changes) > s.Kept && since < s.changes[len(s.changes)-s.Kept-1].Stamp {
		return nil, 0, statestore.ErrCompacted
	}
	log, revision := s.Changes(prefix, since)
	return log, revision, nil
}
