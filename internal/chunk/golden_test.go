package chunk

import (
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/wire"
)

//go:embed testdata/golden/chunks.json
var goldenChunks []byte

// goldenText is the stored form of a text: the head and checksum in its record, and its chunks.
type goldenText struct {
	Head     string   `json:"head"`
	Sum      uint32   `json:"sum"`
	Keys     []string `json:"keys"`
	MsgPack  []string `json:"msgpack"` // encoded value of each chunk in hex
	JSON     []string `json:"json"`    // the same values in JSON, in which the size limits are defined
	Capacity int      `json:"capacity"`
}

const (
	goldenHeadBytes     = 10  // bytes
	goldenValueBytes    = 104 // bytes of a chunk's value in JSON
	goldenSchemaVersion = 3
)

func storedTexts() map[string]wire.Packed {
	return map[string]wire.Packed{
		"empty":     "",
		"head only": "0123456789",
		"one part":  "0123456789A",
		"two parts": wire.Packed(strings.Repeat("0123456789ABCDEF", 5)),
	}
}

func encodeText(t *testing.T, text wire.Packed) goldenText {
	t.Helper()
	head, chunks, err := Split(text, Limits{HeadBytes: goldenHeadBytes, ValueBytes: goldenValueBytes, Chunks: MaxChunks}, goldenSchemaVersion)
	if err != nil {
		t.Fatal(err)
	}
	out := goldenText{Head: string(head), Sum: Checksum(text), Capacity: Capacity(goldenValueBytes, len(chunks))}
	for i, value := range chunks {
		data, err := msgpack.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		jsonData, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		out.Keys = append(out.Keys, Key("wk-000412", i+1))
		out.MsgPack = append(out.MsgPack, hex.EncodeToString(data))
		out.JSON = append(out.JSON, string(jsonData))
	}
	return out
}

func checkGoldenText(t *testing.T, text wire.Packed, want goldenText) {
	t.Helper()
	if diff := cmp.Diff(want, encodeText(t, text)); diff != "" {
		t.Errorf("stored form differs (-want +got):\n%s", diff)
	}
	got, err := Join(wire.Packed(want.Head), len(want.MsgPack), want.Sum, func(number int) []byte {
		data, err := hex.DecodeString(want.MsgPack[number-1])
		if err != nil {
			t.Fatal(err)
		}
		return data
	})
	if err != nil || got != text {
		t.Errorf("Join returned %q, %v; want %q", got, err, text)
	}
}

// TestGoldenChunks checks that texts are split into exactly the recorded heads and chunks, and
// that the recorded ones are joined again. A difference would make records unreadable to nodes of
// an earlier or a later version.
func TestGoldenChunks(t *testing.T) {
	var golden map[string]goldenText
	if err := json.Unmarshal(goldenChunks, &golden); err != nil {
		t.Fatal(err)
	}
	texts := storedTexts()
	if len(golden) != len(texts) {
		t.Fatalf("%d golden texts, want %d", len(golden), len(texts))
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) { checkGoldenText(t, text, golden[name]) })
	}
}
