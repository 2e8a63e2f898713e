package peer

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/quota"
	"badgerbay/internal/schemaversion"
	"badgerbay/internal/wire"
)

// Prefixes of the keys through which a node that can't reach the leader exchanges
// batches and replies with it. The node's name follows: each node has one key each way.
const (
	BatchKeyPrefix = "relay/up/"
	ReplyKeyPrefix = "relay/down/"
)

// maxDecompressedBytes bounds a batch, or a reply, that was compressed into a value.
const maxDecompressedBytes = 1 << 20

// ErrMalformed is wrapped by all errors of the functions that decode what another
// node has sent.
var ErrMalformed = errors.New("malformed peer message")

// Batch is what a node sends to the leader: heartbeats of workers and cancel requests
// that it relays, and requests of its own. It is encoded compactly, since it must fit
// into one value of the key-value store.
type Batch struct {
	ID             string                          `msgpack:"id" json:"id"`
	Node           string                          `msgpack:"n" json:"n"` // the sender
	Heartbeats     wire.BoundedList[Heartbeat]     `msgpack:"r,omitempty" json:"r,omitempty"`
	CancelRequests wire.BoundedList[CancelRequest] `msgpack:"a,omitempty" json:"a,omitempty"`
	// WantsDelegation asks for a lease delegation, and for the receiver's own use of
	// delegations.
	WantsDelegation bool `msgpack:"v,omitempty" json:"v,omitempty"`
	// AckedBatchID is the last batch whose reply the sender had received through the
	// key-value store before it measured IdleMs.
	AckedBatchID string `msgpack:"e,omitempty" json:"e,omitempty"`
	// IdleMs is how long ago, in milliseconds, the sender last renewed a worker's lease
	// under a delegation.
	IdleMs int64 `msgpack:"q,omitempty" json:"q,omitempty"`
	// SchemaVersion is the latest version that the sender supports; see package
	// schemaversion.
	SchemaVersion schemaversion.Version `msgpack:"f,omitempty" json:"f,omitempty"`
	// Quota is the request of a holder of team quotas; see package quota.
	Quota *quota.AllocationRequest `msgpack:"qa,omitempty" json:"-"`
}

// CancelRequest is a user's cancel request on its way to the leader.
type CancelRequest struct {
	Job ident.JobID `msgpack:"j" json:"j"`
}

// BatchReply is the leader's reply to the batch with the same ID.
type BatchReply struct {
	ID            string                           `msgpack:"id" json:"id"`
	Heartbeats    wire.BoundedList[HeartbeatReply] `msgpack:"r,omitempty" json:"r,omitempty"`
	Cancellations wire.BoundedList[CancelReply]    `msgpack:"a,omitempty" json:"a,omitempty"`
	Delegation    *DelegationStatus                `msgpack:"v,omitempty" json:"v,omitempty"`
	Quota         *quota.AllocationResponse        `msgpack:"qa,omitempty" json:"-"`
}

// CancelReply is the leader's reply to a cancel request. State is the job's state as
// users see it; it is empty if nothing was done and the user must try again.
type CancelReply struct {
	Job       ident.JobID `msgpack:"j" json:"j"`
	State     string      `msgpack:"s" json:"s"`
	DoneTasks int         `msgpack:"d,omitempty" json:"d,omitempty"`
}

// DecodeBatch decodes a batch that came over gRPC. Errors wrap ErrMalformed.
func DecodeBatch(data []byte) (*Batch, error) {
	return decode[Batch]("batch", data)
}

// DecodeReply decodes a reply that came over gRPC. Errors wrap ErrMalformed.
func DecodeReply(data []byte) (*BatchReply, error) {
	return decode[BatchReply]("batch reply", data)
}

// DecompressBatch decodes a batch from a value of the key-value store. Errors wrap
// ErrMalformed.
func DecompressBatch(value []byte) (*Batch, error) {
	return decompress[Batch]("batch", value)
}

// DecompressReply decodes a reply from a value of the key-value store. Errors wrap
// ErrMalformed.
func DecompressReply(value []byte) (*BatchReply, error) {
	return decompress[BatchReply]("batch reply", value)
}

func decode[M any](what string, data []byte) (*M, error) {
	message := new(M)
	if err := msgpack.Unmarshal(data, message); err != nil {
		return nil, fmt.Errorf("%w: decoding %s: %w", ErrMalformed, what, err)
	}
	return message, nil
}

func decompress[M any](what string, value []byte) (*M, error) {
	data, err := wire.DecompressMessage(value, maxDecompressedBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: decompressing %s: %w", ErrMalformed, what, err)
	}
	return decode[M](what, data)
}
