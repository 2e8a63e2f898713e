package kvstore_test

import (
	"testing"

	"badgerbay/internal/kvstore"
)

// TestJSONSizeMatchesServiceEncoding checks that floating-point values that are integers count two
// bytes more than in Go's JSON, at every level of nesting. If JSONSize counted too little, records
// that pass the local check would be rejected by the service.
func TestJSONSizeMatchesServiceEncoding(t *testing.T) {
	type spec struct {
		CPUs float64  `json:"c"`
		Left *float64 `json:"l"`
		N    int      `json:"n"`
	}
	half, two := 0.5, 2.0
	for text, v := range map[string]any{
		`{"c":4.0,"l":null,"n":4}`:              spec{CPUs: 4, N: 4},
		`[{"c":1.5,"l":2.0,"n":0}]`:             []any{spec{CPUs: 1.5, Left: &two}},
		`{"a":{"c":0.0,"l":0.5,"n":1},"b":3.0}`: map[string]any{"a": &spec{Left: &half, N: 1}, "b": 3.0},
	} {
		if n := kvstore.JSONSize(v); n != len(text) {
			t.Errorf("%s: %d bytes, want %d", text, n, len(text))
		}
	}
}
