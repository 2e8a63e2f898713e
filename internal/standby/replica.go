// Package standby keeps what a node that does not lead needs for a quick failover: a
// replica of the leader's records, which follows each decision in the order in which the
// state service stored it. It owns the replica and the state machine that syncs it;
// callers carry out its reads, package election decides when to take over, and package
// recovery what the records mean. It does no I/O.
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

// Prefixes are those of the keys that hold a leader's decisions.
var Prefixes = []string{jobs.KeyPrefix, roundlog.KeyPrefix, chunk.KeyPrefix}

var (
	// ErrOutOfOrder says that changes do not continue what the replica holds, which
	// must be read anew.
	ErrOutOfOrder = errors.New("changes are out of order")
	// ErrUnexpectedKey says that a key does not belong to the prefix that was read.
	ErrUnexpectedKey = errors.New("a change of a key that is not followed")
	// ErrReplicaFull says that the replica may not hold the records.
	ErrReplicaFull = errors.New("the records exceed the replica's bound")
	// ErrNotLoaded says that a prefix must be read whole first.
	ErrNotLoaded = errors.New("the keys were never read")
)

// Replica is a copy of the records as of some revision of the state service, for
// each prefix. It is immutable: a change makes a new one, which shares with the old
// what did not change, so that anybody may keep a replica at no cost.
type Replica struct {
	items     *iradix.Tree[kvstore.KeyValue]
	revisions map[string]ident.Revision // of each prefix; absent: never read
	bytes     int
	maxBytes  int
}

// NewReplica returns an empty replica that may hold maxBytes.
func NewReplica(maxBytes int) *Replica {
	return &Replica{items: iradix.New[kvstore.KeyValue](), revisions: map[string]ident.Revision{}, maxBytes: maxBytes}
}

// Len counts the records.
func (r *Replica) Len() int { return r.items.Len() }

// Bytes is what the records and their keys take.
func (r *Replica) Bytes() int { return r.bytes }

// Revision is the revision up to which all changes of a prefix are in the replica; 0
// if it was never read.
func (r *Replica) Revision(prefix string) ident.Revision { return r.revisions[prefix] }

// MinRevision is the revision up to which all of the replica is complete; 0: it is not.
func (r *Replica) MinRevision() ident.Revision {
	if !r.Complete() {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(r.revisions)))
}

// Complete tells whether every prefix has been read.
func (r *Replica) Complete() bool { return len(r.revisions) == len(Prefixes) }

// Items returns the records with the prefix in the order of their keys.
func (r *Replica) Items(prefix string) []kvstore.KeyValue {
	var out []kvstore.KeyValue
	r.items.Root().WalkPrefix([]byte(prefix), func(_ []byte, item kvstore.KeyValue) bool {
		out = append(out, item)
		return false
	})
	return out
}

// itemBytes is what a record and its key take.
func itemBytes(item kvstore.KeyValue) int { return len(item.Key) + len(item.Value) }

// Load replaces what the replica holds of a prefix by what was read at a revision. A
// record that changed while the pages were read may be newer than the revision; its
// change is then seen again, and is applied only if it is newer still.
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

// Apply applies the changes of a prefix since the replica's revision of it, up to
// another: all of them, or none.
func (r *Replica) Apply(prefix string, changes []kvstore.WatchEvent, revision ident.Revision) (*Replica, error) {
	since, read := r.revisions[prefix]
	if !read {
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
			return r, fmt.Errorf("%w: %d after %d, in changes from %d to %d", ErrOutOfOrder, c.ModRevision, last, since, revision)
		}
		last = c.ModRevision
		grown, err := applyChange(txn, prefix, c)
		if err != nil {
			return r, err
		}
		bytes += grown
	}
	return r.withRevision(txn, prefix, revision, bytes)
}

// applyChange applies one change, and tells by how much the replica grows.
func applyChange(txn *iradix.Txn[kvstore.KeyValue], prefix string, c kvstore.WatchEvent) (int, error) {
	key := c.SetKey + c.DeleteKey
	if !strings.HasPrefix(key, prefix) || c.SetKey != "" && c.DeleteKey != "" {
		return 0, fmt.Errorf("%w: %.100q", ErrUnexpectedKey, key)
	}
	old, known := txn.Get([]byte(key))
	if known && old.ModRevision >= c.ModRevision {
		return 0, nil // it was read after the change
	}
	grown := 0
	if known {
		grown = -itemBytes(old)
	}
	if c.DeleteKey != "" {
		txn.Delete([]byte(key))
		return grown, nil
	}
	item := kvstore.KeyValue{Key: key, Value: c.Value, ModRevision: c.ModRevision}
	txn.Insert([]byte(key), item)
	return grown + itemBytes(item), nil
}

// withRevision is the replica that a transaction makes, complete up to the revision of
// the prefix.
func (r *Replica) withRevision(txn *iradix.Txn[kvstore.KeyValue], prefix string, revision ident.Revision, bytes int) (*Replica, error) {
	if bytes > r.maxBytes {
		return r, fmt.Errorf("%w: %d bytes of %d", ErrReplicaFull, bytes, r.maxBytes)
	}
	revisions := maps.Clone(r.revisions)
	revisions[prefix] = revision
	return &Replica{items: txn.Commit(), revisions: revisions, bytes: bytes, maxBytes: r.maxBytes}, nil
}
