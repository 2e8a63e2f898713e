package fleet

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// FuzzDecodeHeartbeat checks that decoding does not panic, and that every decoded heartbeat has a machine and a
// session.
func FuzzDecodeHeartbeat(f *testing.F) {
	seed, err := msgpack.Marshal(map[string]any{"shamba": "host-1", "addr": "10.0.0.1:9000", "frame": "m", "hall": "a",
		"loaner": false, "shift": 1, "tally": 2, "seal": 3, "recallS": nil,
		"entries": []any{map[string]any{"entry": "wk-000001/0", "try": 1, "standing": "running"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x81, 0xa7, 'e', 'n', 't', 'r', 'i', 'e', 's', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x91, 0x91, 0x91})
	f.Fuzz(func(t *testing.T, data []byte) {
		if h, err := DecodeHeartbeat(data); err == nil && (h.Machine == "" || h.Session == 0) {
			t.Errorf("heartbeat without machine or session: %+v", h)
		}
	})
}
