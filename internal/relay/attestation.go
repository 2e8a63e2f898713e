package relay

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/peer"
)

// maxIdleMs bounds the idle time that a node may attest: some decades.
const maxIdleMs = 1 << 40

// AnsweredBatches holds, by node, the last batch that the leader answered through the
// key-value store.
type AnsweredBatches map[string]answeredBatch

type answeredBatch struct {
	id         string
	answeredAt clock.Instant
}

// Record notes that the reply to a node's batch is sent at the given time.
func (a AnsweredBatches) Record(node, batchID string, at clock.Instant) {
	a[node] = answeredBatch{id: batchID, answeredAt: at}
}

// Attestation is a node's word on how it used its lease delegation: when it said so,
// some time after Since, it had renewed no lease for the time IdleFor.
type Attestation struct {
	Since   clock.Instant
	IdleFor time.Duration
}

// Attestation returns what the sender of a batch attests, if it acknowledges the last
// reply. The node measured its idle time after it had received that reply, so its word
// counts from when the reply was sent; the batch itself may have been delayed for long.
func (a AnsweredBatches) Attestation(b *peer.Batch) (Attestation, bool) {
	last := a[b.Node]
	if b.AckedBatchID == "" || b.AckedBatchID != last.id || b.IdleMs < 0 || b.IdleMs >= maxIdleMs {
		return Attestation{}, false
	}
	return Attestation{Since: last.answeredAt, IdleFor: time.Duration(b.IdleMs) * time.Millisecond}, true
}
