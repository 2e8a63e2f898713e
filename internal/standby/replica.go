// Package standby maintains a replica of the leader's records on a node that is not the leader, so
// that a failover does not have to read all records. The changes are applied in the order in which
// the state service stored them. The package contains the replica and the state machine that syncs
// it, and does no I/O: the callers carry out the reads, package election decides when to take over
// leadership, and package recovery interprets the records.
package standby

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/roundlog"
)

// Prefixes are the prefixes of the keys that hold the leader's records.
var Prefixes = []string{jobs.KeyPrefix, roundlog.KeyPrefix, chunk.KeyPrefix}

var (
	// ErrOutOfOrder is returned when changes or their revision don't continue from the
	// replica's revision. The replica must be read again.
	ErrOutOfOrder = errors.New("changes are out of order")
	// ErrUnexpectedKey is returned when a key does not begin with the prefix that was read, or
	// when a change both sets and deletes a key.
	ErrUnexpectedKey = errors.New("unexpected key in a listing or in changes")
	// ErrReplicaFull is returned when the records exceed the size limit of the replica.
	ErrReplicaFull = errors.New("records exceed the size limit of the replica")
	// ErrNotLoaded is returned when a prefix must be loaded before changes can be applied.
	ErrNotLoaded = errors.New("keys have not been loaded into the replica")
)

// Replica is a copy of the records. For each prefix it is complete up to a revision of the state
// service. A Replica is immutable: a change returns a new one, which shares the unchanged part with
// the old one, so that a reference to a replica can be kept cheaply.
type Replica struct {
	items     *iradix.Tree[kvstore.KeyValue]
	revisions map[string]ident.Revision // by prefix; absent: the prefix was never loaded
	bytes     int
	maxBytes  int
}

// NewReplica returns an empty replica that holds at most maxBytes of keys and values.
func NewReplica(maxBytes int) *Replica {
	return &Replica{items: iradix.New[kvstore.KeyValue](), revisions: map[string]ident.Revision{}, maxBytes: maxBytes}
}

// Len returns the number of records.
func (r *Replica) Len() int { return r.items.Len() }

// Bytes returns the total size of the keys and values.
func (r *Replica) Bytes() int { return r.bytes }

// Revision returns the revision up to which the replica contains all changes of the keys with the
// prefix; 0 if the prefix was never loaded.
func (r *Replica) Revision(prefix string) ident.Revision { return r.revisions[prefix] }

// MinRevision returns the revision up to which all prefixes are complete; 0 if a prefix was never
// loaded.
func (r *Replica) MinRevision() ident.Revision {
	if !r.Complete() {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(r.revisions)))
}

// Complete reports whether every prefix has been loaded.
func (r *Replica) Complete() bool { return len(r.revisions) == len(Prefixes) }

// Items returns the records with the prefix, ordered by key.
func (r *Replica) Items(prefix string) []kvstore.KeyValue {
	var out []kvstore.KeyValue
	r.items.Root().WalkPrefix([]byte(prefix), func(_ []byte, item kvstore.KeyValue) bool {
		out = append(out, item)
		return false
	})
	return out
}

// itemBytes returns the size of a record with its key.
func itemBytes(item kvstore.KeyValue) int { return len(item.Key) + len(item.Value) }

// Load returns a replica in which the records of a prefix are replaced by items, which were listed
// at the revision. A record that changed during the listing may be newer than the revision. Its
// change is then part of the next changes too; Apply skips a change that is not newer than the
// record.
func (r *Replica) Load(prefix string, items []kvstore.KeyValue, revision ident.Revision) (*Replica, error) {
	txn := r.items.Txn()
	bytes := r.bytes
	for _, item := range r.Items(prefix) {
		bytes -= itemBytes(item)
	}
	txn.DeletePrefix([]byte(prefix))
	for _, item := range items {
		if !strings.HasPrefix(item.Key, prefix) {
			return r, fmt.Errorf("%w: %.100q", ErrUnexpectedKey, item.Key)
		}
		txn.Insert([]byte(item.Key), item)
		bytes += itemBytes(item)
	}
	return r.withRevision(txn, prefix, revision, bytes)
}

// Apply returns a replica with the changes of a prefix applied, which are complete from the
// replica's revision of the prefix up to the given revision. If any change is invalid, Apply returns
// the replica unchanged and an error.
func (r *Replica) Apply(prefix string, changes []kvstore.WatchEvent, revision ident.Revision) (*Replica, error) {
	since, loaded := r.revisions[prefix]
	if !loaded {
		return r, ErrNotLoaded
	}
	if revision < since {
		return r, fmt.Errorf("%w: revision %d after %d", ErrOutOfOrder, revision, since)
	}
	if len(changes) == 0 && revision == since {
		return r, nil
	}
	txn := r.items.Txn()
	bytes, last := r.bytes, since
	for _, c := range changes {
		if c.ModRevision < last || c.ModRevision <= since || c.ModRevision > revision {
			return r, fmt.Errorf("%w: revision %d after %d in the changes from %d to %d", ErrOutOfOrder, c.ModRevision, last, since, revision)
		}
		last = c.ModRevision
		sizeDelta, err := applyChange(txn, prefix, c)
		if err != nil {
			return r, err
		}
		bytes += sizeDelta
	}
	return r.withRevision(txn, prefix, revision, bytes)
}

// applyChange applies one change and returns by how many bytes the replica grows.
func applyChange(txn *iradix.Txn[kvstore.KeyValue], prefix string, c kvstore.WatchEvent) (int, error) {
	key := c.SetKey + c.DeleteKey
	if !strings.HasPrefix(key, prefix) || c.SetKey != "" && c.DeleteKey != "" {
		return 0, fmt.Errorf("%w: %.100q", ErrUnexpectedKey, key)
	}
	old, found := txn.Get([]byte(key))
	if found && old.ModRevision >= c.ModRevision {
		return 0, nil // the listing already contained this change
	}
	sizeDelta := 0
	if found {
		sizeDelta = -itemBytes(old)
	}
	if c.DeleteKey != "" {
		txn.Delete([]byte(key))
		return sizeDelta, nil
	}
	item := kvstore.KeyValue{Key: key, Value: c.Value, ModRevision: c.ModRevision}
	txn.Insert([]byte(key), item)
	return sizeDelta + itemBytes(item), nil
}

// withRevision returns the replica with the items of txn, bytes as its size and the revision for the
// prefix. It returns r and an error if the size exceeds the limit.
func (r *Replica) withRevision(txn *iradix.Txn[kvstore.KeyValue], prefix string, revision ident.Revision, bytes int) (*Replica, error) {
	if bytes > r.maxBytes {
		return r, fmt.Errorf("%w: %d bytes of %d", ErrReplicaFull, bytes, r.maxBytes)
	}
	revisions := maps.Clone(r.revisions)
	revisions[prefix] = revision
	return &Replica{items: txn.Commit(), revisions: revisions, bytes: bytes, maxBytes: r.maxBytes}, nil
}
