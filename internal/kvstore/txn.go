package kvstore

// LargestValue returns the key of the largest value that the transaction sets, and
// that value's size in bytes of JSON. It returns "" and 0 if no value is set.
func (t Txn) LargestValue() (key string, size int) {
	for _, w := range t.Operations {
		if n := JSONSize(w.Value); n > size {
			key, size = w.SetKey, n
		}
	}
	return key, size
}

// Exceeds tells whether a value of the transaction is larger than valueBytes, or the
// transaction has more than maxWrites writes.
func (t Txn) Exceeds(valueBytes, maxWrites int) bool {
	_, size := t.LargestValue()
	return size > valueBytes || len(t.Operations) > maxWrites
}

// OutcomeKey is the key that shows whether a transaction whose answer was lost was
// applied: that of its first write, which its second guard names.
func (t Txn) OutcomeKey() string { return t.Operations[0].SetKey + t.Operations[0].DeleteKey }

// WasApplied tells whether the transaction was applied, from what OutcomeKey was later
// read to hold. It holds only where nobody else writes that key.
func (t Txn) WasApplied(item KeyValue) bool {
	if t.Operations[0].DeleteKey != "" {
		return item.ModRevision != t.Conditions[1].ModRevision
	}
	return item.ModRevision > t.Conditions[1].ModRevision
}
