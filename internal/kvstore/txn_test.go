package kvstore_test

import (
	"testing"

	"badgerbay/internal/kvstore"
)

// TestTxnLimits checks that LargestValue finds the largest value that a transaction sets, and that
// Exceeds compares the value size and the number of operations with their limits.
func TestTxnLimits(t *testing.T) {
	txn := kvstore.Txn{Operations: []kvstore.Operation{
		{SetKey: "small", Value: "1234"}, {SetKey: "large", Value: "12345678"}, {DeleteKey: "gone"},
	}}
	if key, size := txn.LargestValue(); key != "large" || size != 10 {
		t.Errorf("largest value %q of %d bytes", key, size)
	}
	for _, test := range []struct {
		valueBytes, operations int
		want                   bool
	}{{10, 3, false}, {9, 3, true}, {10, 2, true}} {
		if got := txn.Exceeds(test.valueBytes, test.operations); got != test.want {
			t.Errorf("Exceeds(%d, %d) = %v, want %v", test.valueBytes, test.operations, got, test.want)
		}
	}
}

// TestWasAppliedAfterLostResponse checks that the key of the first operation shows whether a transaction whose
// response was lost was applied.
func TestWasAppliedAfterLostResponse(t *testing.T) {
	conditions := []kvstore.Condition{{Key: "leader", ModRevision: 5}, {Key: "k", ModRevision: 7}}
	set := kvstore.Txn{Conditions: conditions, Operations: []kvstore.Operation{{SetKey: "k", Value: 1}}}
	remove := kvstore.Txn{Conditions: conditions, Operations: []kvstore.Operation{{DeleteKey: "k"}}}
	for name, test := range map[string]struct {
		txn     kvstore.Txn
		found   kvstore.KeyValue
		applied bool
	}{
		"set":         {set, kvstore.KeyValue{Key: "k", ModRevision: 8}, true},
		"not set":     {set, kvstore.KeyValue{Key: "k", ModRevision: 7}, false},
		"absent":      {set, kvstore.KeyValue{Key: "k"}, false},
		"deleted":     {remove, kvstore.KeyValue{Key: "k"}, true},
		"not deleted": {remove, kvstore.KeyValue{Key: "k", ModRevision: 7}, false},
	} {
		if key := test.txn.OutcomeKey(); key != "k" {
			t.Errorf("%s: outcome key %q", name, key)
		}
		if got := test.txn.WasApplied(test.found); got != test.applied {
			t.Errorf("%s: WasApplied = %v, want %v", name, got, test.applied)
		}
	}
}
