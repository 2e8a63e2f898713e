package peer

import (
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/fleet"
	"badgerbay/internal/wire"
)

// FuzzDecodeBatch checks that decoding and unpacking of arbitrary data does not panic, and
// that a heartbeat never expands to more than maxTasksPerHeartbeat tasks.
func FuzzDecodeBatch(f *testing.F) {
	data, err := msgpack.Marshal(Batch{ID: "x", Heartbeats: []Heartbeat{PackHeartbeat(&fleet.Heartbeat{Machine: "host-1", Session: 1})}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x81, 0xa1, 'r', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		if b, err := DecodeBatch(data); err == nil {
			for i := range b.Heartbeats {
				if r, err := b.Heartbeats[i].Unpack(); err == nil && len(r.Tasks) > maxTasksPerHeartbeat {
					t.Errorf("heartbeat expanded to %d tasks, want at most %d", len(r.Tasks), maxTasksPerHeartbeat)
				}
			}
		}
		if a, err := DecodeReply(data); err == nil {
			for i := range a.Heartbeats {
				a.Heartbeats[i].UnpackCommands()
			}
		}
	})
}

// FuzzDecompress checks that the size to which a value of the state service is
// decompressed is limited. It guards against values that exhaust the memory.
func FuzzDecompress(f *testing.F) {
	batch, err := wire.CompressMessage(Batch{ID: "x", Heartbeats: []Heartbeat{PackHeartbeat(&fleet.Heartbeat{Machine: "host-1", Session: 1})}})
	if err != nil {
		f.Fatal(err)
	}
	data, err := msgpack.Marshal(batch)
	if err != nil {
		f.Fatal(err)
	}
	bomb, err := wire.CompressMessage(strings.Repeat("x", 2*maxDecompressedBytes))
	if err != nil {
		f.Fatal(err)
	}
	oversized, err := msgpack.Marshal(bomb)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(oversized)
	f.Add([]byte{0xa4, '!', '!', '!', '!'})
	f.Fuzz(func(t *testing.T, data []byte) {
		if b, err := DecompressBatch(data); err == nil && len(b.ID) > maxDecompressedBytes {
			t.Errorf("batch with an ID of %d bytes", len(b.ID))
		}
		if a, err := DecompressReply(data); err == nil && len(a.ID) > maxDecompressedBytes {
			t.Errorf("reply with an ID of %d bytes", len(a.ID))
		}
	})
}
