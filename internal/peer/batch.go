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

// Prefixes of the keys through which a node that cannot reach the leader sends it batches
// and receives replies. The node's name follows the prefix, so each node has one key for
// batches and one for replies.
const (
	BatchKeyPrefix = "relay/up/"
	ReplyKeyPrefix = "relay/down/"
)

// maxDecompressedBytes is the maximum decompressed size of a batch or reply that is read
// from a value of the state service.
const maxDecompressedBytes = 1 << 20

// ErrMalformed is returned, wrapped, when a message from another node is malformed.
var ErrMalformed = errors.New("malformed peer message")

// Batch is a message from a node to the leader. It contains worker heartbeats and cancel
// requests that the node relays, and requests of the node itself. Its encoding is compact,
// because it must fit into one value of the state service.
type Batch struct {
	ID             string                          `msgpack:"id" json:"id"`
	Node           string                          `msgpack:"n" json:"n"` // the sender
	Heartbeats     wire.BoundedList[Heartbeat]     `msgpack:"r,omitempty" json:"r,omitempty"`
	CancelRequests wire.BoundedList[CancelRequest] `msgpack:"a,omitempty" json:"a,omitempty"`
	// WantsDelegation requests a delegation grant, and the time since the receiver last
	// used its own.
	WantsDelegation bool `msgpack:"v,omitempty" json:"v,omitempty"`
	// AckedBatchID is the ID of the last batch whose reply the sender had received
	// through the state service before it measured IdleMs.
	AckedBatchID string `msgpack:"e,omitempty" json:"e,omitempty"`
	// IdleMs is the time in milliseconds since the sender last renewed a worker's lease
	// under a delegation grant.
	IdleMs int64 `msgpack:"q,omitempty" json:"q,omitempty"`
	// SchemaVersion is the latest schema version that the sender supports; see package
	// schemaversion.
	SchemaVersion schemaversion.Version `msgpack:"f,omitempty" json:"f,omitempty"`
	// Quota is the request of the sender's quota holder, if any; see package quota.
	Quota *quota.AllocationRequest `msgpack:"qa,omitempty" json:"-"`
}

// CancelRequest is a user's cancel request that a node relays to the leader.
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

// CancelReply is the leader's reply to a cancel request. State is the job state that is
// reported to users. It is empty if the request had no effect and the user must retry.
type CancelReply struct {
	Job       ident.JobID `msgpack:"j" json:"j"`
	State     string      `msgpack:"s" json:"s"`
	DoneTasks int         `msgpack:"d,omitempty" json:"d,omitempty"`
}

// DecodeBatch decodes a batch that was received over gRPC. Errors wrap ErrMalformed.
func DecodeBatch(data []byte) (*Batch, error) {
	return decode[Batch]("batch", data)
}

// DecodeReply decodes a reply that was received over gRPC. Errors wrap ErrMalformed.
func DecodeReply(data []byte) (*BatchReply, error) {
	return decode[BatchReply]("batch reply", data)
}

// DecompressBatch decompresses and decodes a batch from a value of the state service.
// Errors wrap ErrMalformed.
func DecompressBatch(value []byte) (*Batch, error) {
	return decompress[Batch]("batch", value)
}

// DecompressReply decompresses and decodes a reply from a value of the state service.
// Errors wrap ErrMalformed.
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
