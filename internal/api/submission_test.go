package api

import (
	"errors"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// submissionBody encodes a valid submission with some fields changed. A field whose new
// value is "absent" is left out.
func submissionBody(change map[string]any) []byte {
	m := map[string]any{"id": "wk-000412", "ledgerClass": "train", "desk": "red", "shape": "batch", "rank": "high",
		"entries": 16, "cpus": 2.0, "accelerators": 0.0, "memoryGb": 4.0, "bundle": "img-07", "imageGb": 6.2,
		"frames": []string{"m"}, "hall": nil, "samePlace": true, "apart": false, "loaner": true,
		"expectedS": 240.0, "folioS": 30.0, "bindS": 4.0, "dueS": 900.0}
	for k, v := range change {
		if v == "absent" {
			delete(m, k)
		} else {
			m[k] = v
		}
	}
	data, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

// TestDecodeSubmission checks that well-formed submissions are decoded, and that all
// others fail with ErrMalformed.
func TestDecodeSubmission(t *testing.T) {
	for name, change := range map[string]map[string]any{
		"unchanged": {}, "unknown field": {"novel": []any{1, map[string]any{"a": nil}}}, "integer amounts": {"cpus": 2, "dueS": nil},
		"optional fields left out": {"frames": "absent", "hall": "absent", "dueS": "absent"}, "zero amounts": {"folioS": 0, "bindS": 0.0},
	} {
		if _, err := DecodeSubmission(submissionBody(change)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, change := range map[string]map[string]any{
		"no id": {"id": "absent"}, "null id": {"id": nil}, "invalid id": {"id": "job-1"}, "numeric id": {"id": 412},
		"zero tasks": {"entries": 0}, "negative tasks": {"entries": -1}, "too many tasks": {"entries": 100_001},
		"fractional tasks": {"entries": 2.5}, "tasks as a string": {"entries": "16"}, "zero cpus": {"cpus": 0.0},
		"negative memory": {"memoryGb": -1.0}, "cpus as a string": {"cpus": "2"}, "unknown rank": {"rank": "urgent"},
		"capitalized rank": {"rank": "Prod"}, "unknown shape": {"shape": "array"}, "number as a flag": {"samePlace": 1},
		"absent flag": {"apart": "absent"}, "null flag": {"loaner": nil}, "empty list of types": {"frames": []string{}},
		"types as a string": {"frames": "m"}, "numbers as types": {"frames": []any{1}}, "empty zone": {"hall": ""},
		"binary data as a string": {"bundle": []byte("img")}, "nested too deeply": {"novel": nestedLists(40)},
	} {
		if s, err := DecodeSubmission(submissionBody(change)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: decoded as %+v, %v", name, s, err)
		}
	}
	for name, data := range map[string][]byte{"empty": {}, "not a map": {0x93, 1, 2, 3}, "plain text": []byte("hello"),
		"truncated": submissionBody(nil)[:40], "trailing byte": append(submissionBody(nil), 0xc0), "huge map": {0xdf, 0xff, 0xff, 0xff, 0xff},
		"huge list": {0x81, 0xa6, 'f', 'r', 'a', 'm', 'e', 's', 0xdd, 0xff, 0xff, 0xff, 0xff}} {
		if s, err := DecodeSubmission(data); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: decoded as %+v, %v", name, s, err)
		}
	}
}

// nestedLists returns n lists, each nested in the next.
func nestedLists(n int) any {
	var v any = 1
	for range n {
		v = []any{v}
	}
	return v
}

// FuzzDecodeSubmission checks that DecodeSubmission does not panic, and that a decoded
// submission has an ID, at least one task and a positive number of CPUs.
func FuzzDecodeSubmission(f *testing.F) {
	f.Add(submissionBody(nil))
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa6, 'f', 'r', 'a', 'm', 'e', 's', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := DecodeSubmission(data); err == nil && (s.Spec.Tasks < 1 || s.Spec.CPUs <= 0 || s.ID == "") {
			t.Errorf("invalid submission decoded: %+v", s)
		}
	})
}
