package wire

import (
	"context"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

//go:embed testdata/golden/texts.json
var goldenFile []byte

// goldenEncodings holds one value in each encoding that other versions and other services read.
type goldenEncodings struct {
	Packed            string `json:"packed"`
	CompressedMessage string `json:"squeezed"` // hex of the MessagePack value
	CompressedRecord  string `json:"squeezed_for_record"`
	Request           string `json:"request"` // method, URL, media type, body in hex
	PackedLen         []int  `json:"packed_len"`
}

type testBody struct {
	Name  string              `msgpack:"n"`
	Count int                 `msgpack:"c"`
	List  BoundedList[string] `msgpack:"l"`
}

func sampleBody() testBody {
	return testBody{Name: "host-000007", Count: 70_000, List: BoundedList[string]{"a", "b", "a", "b", "a", "b"}}
}

func encodeSampleBody(e *msgpack.Encoder) error { return e.Encode(sampleBody()) }

func encodeAll(t *testing.T) goldenEncodings {
	t.Helper()
	packed, err := Pack(encodeSampleBody)
	if err != nil {
		t.Fatal(err)
	}
	compressed, err := CompressMessage(sampleBody())
	if err != nil {
		t.Fatal(err)
	}
	value, err := msgpack.Marshal(compressed)
	if err != nil {
		t.Fatal(err)
	}
	record, err := CompressRecord(encodeSampleBody)
	if err != nil {
		t.Fatal(err)
	}
	req, err := NewRequest(context.Background(), "POST", "http://10.2.0.1:2379/multi", sampleBody())
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		t.Fatal(err)
	}
	return goldenEncodings{Packed: string(packed), CompressedMessage: hex.EncodeToString(value), CompressedRecord: string(record),
		Request:   req.Method + " " + req.URL.String() + " " + req.Header.Get("Content-Type") + " " + hex.EncodeToString(body),
		PackedLen: []int{PackedLen(0), PackedLen(1), PackedLen(2), PackedLen(3), PackedLen(1000)}}
}

// decodeAll decodes the body in each encoding and returns the bodies by the name of the encoding.
func decodeAll(t *testing.T, f goldenEncodings) map[string]testBody {
	t.Helper()
	var packed, compressed, record testBody
	if err := Packed(f.Packed).Unpack(func(d *msgpack.Decoder) error { return d.Decode(&packed) }); err != nil {
		t.Error(err)
	}
	value, err := hex.DecodeString(f.CompressedMessage)
	if err != nil {
		t.Fatal(err)
	}
	data, err := DecompressMessage(value, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(data, &compressed); err != nil {
		t.Error(err)
	}
	read := func(d *msgpack.Decoder) error { return d.Decode(&record) }
	if err := Packed(f.CompressedRecord).DecompressRecord(1<<10, read); err != nil {
		t.Error(err)
	}
	return map[string]testBody{"packed": packed, "compressed message": compressed, "compressed record": record}
}

// TestGoldenEncodings checks that uncompressed encodings equal the golden file byte for byte, and that both the
// golden and the newly written encodings decode to the same body. Compressed encodings are not compared byte
// for byte, because the compressor's output may change with the library's version.
func TestGoldenEncodings(t *testing.T) {
	var golden goldenEncodings
	if err := json.Unmarshal(goldenFile, &golden); err != nil {
		t.Fatal(err)
	}
	written := encodeAll(t)
	for source, encodings := range map[string]goldenEncodings{"golden": golden, "written": written} {
		for encoding, body := range decodeAll(t, encodings) {
			if diff := cmp.Diff(sampleBody(), body); diff != "" {
				t.Errorf("%s, %s: %s", source, encoding, diff)
			}
		}
	}
	written.CompressedMessage, written.CompressedRecord = golden.CompressedMessage, golden.CompressedRecord
	if diff := cmp.Diff(golden, written); diff != "" {
		t.Errorf("encoding differs from the golden file: %s", diff)
	}
}
