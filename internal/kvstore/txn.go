package kvstore

import (
	"cmp"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
)

// KeyValue is a key with its encoded value.
type KeyValue struct {
	Key         string             `msgpack:"key"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision ident.Revision     `msgpack:"stamp"` // 0: the key does not exist
}

// Condition requires that the key has the ModRevision; 0 requires that the key does not exist.
type Condition struct {
	Key         string         `msgpack:"key" json:"key"`
	ModRevision ident.Revision `msgpack:"stamp" json:"stamp"`
}

// Operation sets or deletes a key; exactly one of SetKey and DeleteKey is given. A key that is set
// with a lease is deleted when the lease ends.
type Operation struct {
	SetKey    string        `msgpack:"set,omitempty" json:"set,omitempty"`
	Value     any           `msgpack:"value,omitempty" json:"value,omitempty"`
	LeaseID   ident.LeaseID `msgpack:"tenure,omitempty" json:"tenure,omitempty"`
	DeleteKey string        `msgpack:"remove,omitempty" json:"remove,omitempty"`
}

// Key returns the key that the operation sets or deletes.
func (o Operation) Key() string { return cmp.Or(o.SetKey, o.DeleteKey) }

// Txn is a compare-and-swap transaction: if all conditions hold, all operations are applied
// atomically; otherwise none is applied.
type Txn struct {
	Conditions []Condition `msgpack:"guards" json:"guards"`
	Operations []Operation `msgpack:"writes,omitempty" json:"writes,omitempty"`
}

// LargestValue returns the key of the largest value that the transaction sets, and the size of
// that value in bytes of JSON. It returns "" and 0 if the transaction has no operations.
func (t Txn) LargestValue() (key string, size int) {
	for _, operation := range t.Operations {
		if n := JSONSize(operation.Value); n > size {
			key, size = operation.SetKey, n
		}
	}
	return key, size
}

// Exceeds reports whether a value of the transaction takes more than maxValueBytes in JSON, or the
// transaction has more than maxOperations operations.
func (t Txn) Exceeds(maxValueBytes, maxOperations int) bool {
	_, size := t.LargestValue()
	return size > maxValueBytes || len(t.Operations) > maxOperations
}

// OutcomeKey returns the key that shows whether the transaction was applied after its response was
// lost: the key of the first operation. The second condition of the transaction must be on the same
// key.
func (t Txn) OutcomeKey() string { return t.Operations[0].Key() }

// WasApplied reports whether the transaction was applied, given the state of OutcomeKey that was
// read after the lost response. The result is reliable only if nobody else writes that key.
func (t Txn) WasApplied(item KeyValue) bool {
	prev := t.Conditions[1].ModRevision
	if t.Operations[0].DeleteKey != "" {
		return item.ModRevision != prev
	}
	return item.ModRevision > prev
}

// WatchEvent is a change of a key; exactly one of SetKey and DeleteKey is given.
type WatchEvent struct {
	SetKey      string             `msgpack:"set"`
	DeleteKey   string             `msgpack:"remove"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision ident.Revision     `msgpack:"stamp"`
}
