package peer

import (
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/fleet"
	"badgerbay/internal/wire"
)

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
					t.Errorf("%d tasks", len(r.Tasks))
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

// FuzzDecompress: whatever the relay's keys hold, what it expands to is bounded, and
// checked.
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
	tooMuch, err := msgpack.Marshal(bomb)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(tooMuch)
	f.Add([]byte{0xa4, '!', '!', '!', '!'})
	f.Fuzz(func(t *testing.T, data []byte) {
		if b, err := DecompressBatch(data); err == nil && len(b.ID) > maxDecompressedBytes {
			t.Errorf("an id of %d bytes", len(b.ID))
		}
		if a, err := DecompressReply(data); err == nil && len(a.ID) > maxDecompressedBytes {
			t.Errorf("an id of %d bytes", len(a.ID))
		}
	})
}
