package relay

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/peer"
)

// maxIdleMs limits the idle time that a node may attest to about 35 years.
const maxIdleMs = 1 << 40

// AnsweredBatches holds, by node, the last batch to which the leader replied through the state
// service.
type AnsweredBatches map[string]answeredBatch

type answeredBatch struct {
	id         string
	answeredAt clock.Instant
}

// Record records that the reply to a node's batch is sent at the given time.
func (a AnsweredBatches) Record(node, batchID string, at clock.Instant) {
	a[node] = answeredBatch{id: batchID, answeredAt: at}
}

// Attestation is a node's statement that it did not use its delegation grant: when it made
// the statement, which was after ReplySentAt, it had renewed no lease for the duration
// IdleFor.
type Attestation struct {
	ReplySentAt clock.Instant
	IdleFor     time.Duration
}

// Attestation returns the attestation that a batch contains. It returns false if the batch
// does not acknowledge the last reply, or if its idle time is out of range. The time of
// the attestation is bounded as follows:
//
//  1. The batch may have been delayed for long, so the time at which it is received says
//     nothing about the time at which the node measured its idle time.
//  2. The node measured it after it had received the acknowledged reply.
//  3. Hence it measured it after that reply was sent, which the leader recorded.
func (a AnsweredBatches) Attestation(b *peer.Batch) (Attestation, bool) {
	last := a[b.Node]
	if b.AckedBatchID == "" || b.AckedBatchID != last.id || b.IdleMs < 0 || b.IdleMs >= maxIdleMs {
		return Attestation{}, false
	}
	return Attestation{ReplySentAt: last.answeredAt, IdleFor: time.Duration(b.IdleMs) * time.Millisecond}, true
}
