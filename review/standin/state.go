package main

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits that the protocol page sets for the state service.
const (
	maxPageItems   = 1000
	maxPageBytes   = 512 << 10
	maxTxnBytes    = 64 << 10
	keptChanges    = 10_000
	conditionsPer  = 4 // conditions allowed for each operation that is allowed
	leaseLateLimit = 100 * time.Millisecond
)

var (
	errNoLease = errors.New("no such lease")
	errTooBig  = errors.New("limit exceeded")
)

// item is one stored key.
type item struct {
	value    msgpack.RawMessage
	encoded  []byte // the pair as a page of a listing contains it
	jsonSize int
	stamp    uint64
	tenure   uint64
}

// change is one entry of the log of changes.
type change struct {
	Set    string             `msgpack:"set,omitempty"`
	Remove string             `msgpack:"remove,omitempty"`
	Value  msgpack.RawMessage `msgpack:"value,omitempty"`
	Stamp  uint64             `msgpack:"stamp"`
}

type guard struct {
	Key   string `msgpack:"key"`
	Stamp uint64 `msgpack:"stamp"`
}

type write struct {
	Set    string             `msgpack:"set"`
	Value  msgpack.RawMessage `msgpack:"value"`
	Tenure uint64             `msgpack:"tenure"`
	Remove string             `msgpack:"remove"`
}

type pair struct {
	Key   string             `msgpack:"key"`
	Value msgpack.RawMessage `msgpack:"value"`
	Stamp uint64             `msgpack:"stamp"`
}

type tenure struct {
	life time.Duration
	ends time.Time
}

// store holds the keys of the state service.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	keys     []string // sorted
	journal  uint64
	changes  []change
	dropped  uint64 // stamp of the last change that is not kept any more
	tenures  map[uint64]*tenure
	nextID   uint64
	changed  chan struct{} // closed at the next change
	maxValue int
	maxOps   int
}

func newStore(maxValue, maxOps int) *store {
	return &store{items: map[string]item{}, tenures: map[uint64]*tenure{}, changed: make(chan struct{}), maxValue: maxValue, maxOps: maxOps}
}

// jsonSize returns the size of a value in JSON.
func jsonSize(value msgpack.RawMessage) int {
	var plain any
	if msgpack.Unmarshal(value, &plain) != nil {
		return 0
	}
	data, err := json.Marshal(plain)
	if err != nil {
		return 0
	}
	return len(data)
}

// encodePair encodes a key as a page of a listing contains it.
func encodePair(key string, value msgpack.RawMessage, stamp uint64) []byte {
	data, err := msgpack.Marshal(pair{key, value, stamp})
	if err != nil {
		panic(err)
	}
	return data
}

// put stores a key. The caller must hold mu.
func (s *store) put(key string, it item) {
	if _, known := s.items[key]; !known {
		at, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, at, key)
	}
	s.items[key] = it
}

func (s *store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	if at, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, at, at+1)
	}
}

// preload stores keys that exist before the run, each with a revision of its own.
func (s *store) preload(keys []string, value func(n int) msgpack.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, key := range keys {
		v := value(n)
		s.journal++
		s.items[key] = item{value: v, encoded: encodePair(key, v, s.journal), jsonSize: jsonSize(v), stamp: s.journal}
	}
	s.dropped = s.journal
	for key := range s.items {
		s.keys = append(s.keys, key)
	}
	slices.Sort(s.keys)
}

func (s *store) addChange(c change) {
	s.changes = append(s.changes, c)
	if extra := len(s.changes) - keptChanges; extra > 0 {
		s.dropped = s.changes[extra-1].Stamp
		s.changes = s.changes[extra:]
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns a key, and whether it exists.
func (s *store) get(key string) (item, bool, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, found := s.items[key]
	return it, found, s.journal
}

// list returns the keys with a prefix after since, at most limit and at most maxPageBytes.
func (s *store) list(prefix, since string, limit int) (pairs []msgpack.RawMessage, more bool, journal uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, _ := slices.BinarySearch(s.keys, max(prefix, since))
	size := 0
	for _, key := range s.keys[at:] {
		if key <= since {
			continue
		}
		if !strings.HasPrefix(key, prefix) {
			break
		}
		it := s.items[key]
		size += it.jsonSize + len(key) + len(`{"key":"","value":,"stamp":0000000},`)
		if len(pairs) == min(limit, maxPageItems) || size > maxPageBytes {
			return pairs, true, s.journal
		}
		pairs = append(pairs, it.encoded)
	}
	return pairs, false, s.journal
}

// commit applies a transaction. It returns the keys whose conditions failed.
func (s *store) commit(guards []guard, writes []write) (failed []string, journal uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sizes, err := s.checkLimits(guards, writes)
	if err != nil {
		return nil, s.journal, err
	}
	for _, w := range writes {
		if w.Tenure != 0 && s.tenures[w.Tenure] == nil {
			return nil, s.journal, errNoLease
		}
	}
	for _, g := range guards {
		if s.items[g.Key].stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 || len(writes) == 0 {
		return failed, s.journal, nil
	}
	s.journal++
	for n, w := range writes {
		if w.Remove != "" {
			s.remove(w.Remove)
			s.addChange(change{Remove: w.Remove, Stamp: s.journal})
			continue
		}
		s.put(w.Set, item{value: w.Value, encoded: encodePair(w.Set, w.Value, s.journal), jsonSize: sizes[n], stamp: s.journal, tenure: w.Tenure})
		s.addChange(change{Set: w.Set, Value: w.Value, Stamp: s.journal})
	}
	s.wake()
	return nil, s.journal, nil
}

func (s *store) checkLimits(guards []guard, writes []write) ([]int, error) {
	if len(writes) > s.maxOps || len(guards) > conditionsPer*s.maxOps {
		return nil, errTooBig
	}
	sizes, total := make([]int, len(writes)), 0
	for n, w := range writes {
		sizes[n] = jsonSize(w.Value)
		total += sizes[n]
		if sizes[n] > s.maxValue {
			return nil, errTooBig
		}
	}
	if total > maxTxnBytes {
		return nil, errTooBig
	}
	return sizes, nil
}

func (s *store) grant(life time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.tenures[s.nextID] = &tenure{life: life, ends: time.Now().Add(life)}
	return s.nextID
}

func (s *store) extend(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tenures[id]
	if t == nil {
		return false
	}
	t.ends = time.Now().Add(t.life)
	return true
}

func (s *store) end(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tenures[id] != nil {
		s.endTenure(id)
	}
}

// endTenure removes a lease and the keys attached to it. The caller must hold mu.
func (s *store) endTenure(id uint64) {
	delete(s.tenures, id)
	var attached []string
	for key, it := range s.items {
		if it.tenure == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	s.journal++
	slices.Sort(attached)
	for _, key := range attached {
		s.remove(key)
		s.addChange(change{Remove: key, Stamp: s.journal})
	}
	s.wake()
}

// expire ends the leases that were not extended in time.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, t := range s.tenures {
		if now.After(t.ends) {
			s.endTenure(id)
		}
	}
}

// watch returns the changes after since to keys with a prefix, whether the log still holds them all, and
// a channel that is closed at the next change.
func (s *store) watch(prefix string, since uint64) (changes []change, journal uint64, complete bool, next <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since < s.dropped {
		return nil, s.journal, false, s.changed
	}
	for _, c := range s.changes {
		if c.Stamp > since && strings.HasPrefix(c.Set+c.Remove, prefix) {
			changes = append(changes, c)
		}
	}
	return changes, s.journal, true, s.changed
}
