package wire

import (
	"bytes"
	"errors"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func newDecoder(data []byte) *msgpack.Decoder { return msgpack.NewDecoder(bytes.NewReader(data)) }

// TestDecodersRejectOtherTypes checks that each decoder returns an error for a value of another type. It guards
// against the MessagePack library's conversions, such as reading a string as a number.
func TestDecodersRejectOtherTypes(t *testing.T) {
	decoders := map[string]func(*msgpack.Decoder) (any, error){
		"string": func(d *msgpack.Decoder) (any, error) { return DecodeString(d) },
		"bool":   func(d *msgpack.Decoder) (any, error) { return DecodeBool(d) },
		"amount": func(d *msgpack.Decoder) (any, error) { return DecodeAmount(d) },
		"count":  func(d *msgpack.Decoder) (any, error) { return DecodeCount(d) },
	}
	for _, test := range []struct {
		name  string
		value any
		want  map[string]any // by decoder; all other decoders must return an error
	}{
		{"string", "4", map[string]any{"string": "4"}},
		{"boolean", true, map[string]any{"bool": true}},
		{"unsigned integer", uint64(70_000), map[string]any{"amount": 70_000.0, "count": uint64(70_000)}},
		{"signed integer", int64(7), map[string]any{"amount": 7.0, "count": uint64(7)}},
		{"negative integer", int64(-7), nil},
		{"small negative integer", int8(-1), nil},
		{"floating-point number", 0.25, map[string]any{"amount": 0.25}},
		{"negative floating-point number", -0.25, nil},
		{"infinity", math.Inf(1), nil},
		{"not a number", math.NaN(), nil},
		{"null", nil, nil},
		{"list", []int{1}, nil},
		{"bytes", []byte("4"), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			data := encode(t, test.value)
			for name, decode := range decoders {
				got, err := decode(newDecoder(data))
				want, accepted := test.want[name]
				if accepted != (err == nil) || accepted && got != want {
					t.Errorf("%s: %v, %v, want %v", name, got, err, want)
				}
			}
		})
	}
}

// TestListLengthIsBounded checks that a list header that states more elements than follow it is an error,
// and that DecodeArrayLen rejects a length above the limit. It guards against a short message that makes
// the decoder allocate memory for billions of elements.
func TestListLengthIsBounded(t *testing.T) {
	const oversizedHeader, headerWithoutElements = "\xdd\xff\xff\xff\xff", "\xdd\x00\x01\x00\x00"
	for name, data := range map[string]string{"length above limit": oversizedHeader, "elements missing": headerWithoutElements} {
		t.Run(name, func(t *testing.T) {
			var list BoundedList[int]
			if err := msgpack.Unmarshal([]byte(data), &list); err == nil {
				t.Errorf("decoded %d elements, want an error", len(list))
			}
		})
	}
	if _, err := DecodeArrayLen(newDecoder([]byte(oversizedHeader))); err == nil {
		t.Error("DecodeArrayLen accepted a length above the limit")
	}
	if n, err := DecodeArrayLen(newDecoder(encode(t, nil))); n != 0 || err != nil {
		t.Errorf("length of null: %d, %v, want 0", n, err)
	}
}

// TestDecodeMap checks that each value reaches the decoder of its key, that unknown keys are skipped, that
// a field's error is returned, and that a value other than a map with string keys is an error.
func TestDecodeMap(t *testing.T) {
	data := encode(t, map[string]any{"name": "n1", "unknown": []any{1, map[string]any{"a": []int{2}}}, "absent": nil})
	var name string
	present := true
	fields := map[string]func(*msgpack.Decoder) error{
		"name": func(d *msgpack.Decoder) (err error) {
			name, err = DecodeString(d)
			return err
		},
		"absent": func(d *msgpack.Decoder) error {
			null, err := DecodeNil(d)
			present = !null
			return err
		},
	}
	if err := DecodeMap(newDecoder(data), fields); err != nil || name != "n1" || present {
		t.Errorf("name %q, present %v, %v", name, present, err)
	}
	fieldErr := errors.New("invalid field")
	fields["name"] = func(*msgpack.Decoder) error { return fieldErr }
	if err := DecodeMap(newDecoder(encode(t, map[string]string{"name": "n1"})), fields); !errors.Is(err, fieldErr) {
		t.Errorf("%v, want the error of the field", err)
	}
	for name, value := range map[string]any{"list": []int{1}, "null": nil, "map with integer keys": map[int]int{1: 1}} {
		if err := DecodeMap(newDecoder(encode(t, value)), fields); err == nil {
			t.Errorf("%s was accepted as a map", name)
		}
	}
}

// TestSkipBoundsNestingDepth checks that Skip rejects a value that nests deeper than maxNestingDepth. It guards
// against a message whose nesting overflows the stack.
func TestSkipBoundsNestingDepth(t *testing.T) {
	nested := func(depth int) []byte { return append(bytes.Repeat([]byte{0x91}, depth), 0xc0) }
	if err := Skip(newDecoder(nested(maxNestingDepth))); err != nil {
		t.Error(err)
	}
	if err := Skip(newDecoder(nested(maxNestingDepth + 1))); err == nil {
		t.Error("Skip accepted a value that nests deeper than maxNestingDepth")
	}
}

// TestUintSize checks UintSize against the encoder at the limits of each encoded size.
func TestUintSize(t *testing.T) {
	for _, n := range []uint64{0, 1<<7 - 1, 1 << 7, 1<<8 - 1, 1 << 8, 1<<16 - 1, 1 << 16, 1<<32 - 1, 1 << 32, math.MaxUint64} {
		var encoded bytes.Buffer
		if err := msgpack.NewEncoder(&encoded).EncodeUint(n); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(encoded.Len(), UintSize(n)); diff != "" {
			t.Errorf("%d: %s", n, diff)
		}
	}
}

// TestDecompressedSizeIsBounded checks that messages and records that decompress to more than the limit
// are errors. It guards against a small message that decompresses to a very large one.
func TestDecompressedSizeIsBounded(t *testing.T) {
	const limit = 1 << 10
	for name, test := range map[string]struct {
		size int
		ok   bool
	}{"within limit": {limit - 10, true}, "beyond limit": {1 << 20, false}} {
		t.Run(name, func(t *testing.T) {
			text, err := CompressMessage(make([]byte, test.size))
			if err != nil {
				t.Fatal(err)
			}
			if _, err = DecompressMessage(encode(t, text), limit); (err == nil) != test.ok {
				t.Errorf("message of %d bytes: %v", test.size, err)
			}
			record, err := CompressRecord(func(e *msgpack.Encoder) error { return e.EncodeBytes(make([]byte, test.size)) })
			if err != nil {
				t.Fatal(err)
			}
			read := func(d *msgpack.Decoder) error {
				_, decodeErr := d.DecodeBytes()
				return decodeErr
			}
			if err = record.DecompressRecord(limit, read); (err == nil) != test.ok {
				t.Errorf("record of %d bytes: %v", test.size, err)
			}
		})
	}
}
