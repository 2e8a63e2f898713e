package relay

import (
	"time"

	"badgerbay/internal/mesh"
	"badgerbay/internal/unit"
)

// Answered holds, for each node, the last batch that was answered through the state
// service, and when the answers left.
type Answered map[string]answered

type answered struct {
	id string
	at unit.Instant
}

// Note takes in that the answers to a node's batch leave.
func (a Answered) Note(node, id string, at unit.Instant) { a[node] = answered{id, at} }

// Attestation is what a node says of the workers that it keeps by a grant.
type Attestation struct {
	Since   unit.Instant // it said so after this
	IdleFor time.Duration
}

// mostQuietMs bounds what a node may say of its quiet time: some decades.
const mostQuietMs = 1 << 40

// Attested returns what a node that is out of reach over the mesh says of its grant.
// It said so after it had seen the answers that it names, so that counts from when
// these left; a batch itself may be long on its way.
func (a Answered) Attested(b *mesh.Batch) (Attestation, bool) {
	last := a[b.Node]
	if b.Echo == "" || last.id != b.Echo || b.QuietMs < 0 || b.QuietMs >= mostQuietMs {
		return Attestation{}, false
	}
	return Attestation{Since: last.at, IdleFor: time.Duration(b.QuietMs) * time.Millisecond}, true
}
