package relay

import (
	"time"

	"badgerbay/internal/clock"

	"badgerbay/internal/peer"
)

// AnsweredBatches holds, for each node, the last batch that was answered through the state
// service, and when the answers left.
type AnsweredBatches map[string]answeredBatch

type answeredBatch struct {
	id         string
	answeredAt clock.Instant
}

// Record takes in that the answers to a node's batch leave.
func (a AnsweredBatches) Record(node, id string, at clock.Instant) { a[node] = answeredBatch{id, at} }

// Attestation is what a node says of the workers that it keeps by a grant.
type Attestation struct {
	Since   clock.Instant // it said so after this
	IdleFor time.Duration
}

// maxIdleMs bounds what a node may say of its quiet time: some decades.
const maxIdleMs = 1 << 40

// Attestation returns what a node that is out of reach over the mesh says of its grant.
// It said so after it had seen the answers that it names, so that counts from when
// these left; a batch itself may be long on its way.
func (a AnsweredBatches) Attestation(b *peer.Batch) (Attestation, bool) {
	last := a[b.Node]
	if b.AckedBatchID == "" || last.id != b.AckedBatchID || b.IdleMs < 0 || b.IdleMs >= maxIdleMs {
		return Attestation{}, false
	}
	return Attestation{Since: last.answeredAt, IdleFor: time.Duration(b.IdleMs) * time.Millisecond}, true
}
