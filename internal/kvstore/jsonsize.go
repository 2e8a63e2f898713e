package kvstore

import (
	"encoding/json"
	"math"
	"reflect"
)

// unencodableSize is the size in bytes that JSONSize returns for a value that can't be encoded. It
// exceeds every limit.
const unencodableSize = 1 << 30

// JSONSize returns the size of a value in bytes in the JSON encoding of the state service, for
// which the size limits of the service are defined. The result is never below the size that the
// service counts.
func JSONSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return unencodableSize
	}
	return len(data) + len(".0")*countWholeFloats(reflect.ValueOf(v))
}

// countWholeFloats returns the number of floating-point values in v that are integers. The service
// encodes such a value as 4.0, Go encodes it as 4. Fields that Go omits from the JSON are counted
// too, which makes the result of JSONSize at most too large. Without this correction a record that
// was only a few bytes below the limit by Go's encoding was rejected by the service on every retry.
func countWholeFloats(v reflect.Value) int {
	n := 0
	switch v.Kind() {
	case reflect.Float32, reflect.Float64:
		if v.Float() == math.Trunc(v.Float()) {
			n = 1
		}
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			n = countWholeFloats(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			n += countWholeFloats(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			n += countWholeFloats(v.Index(i))
		}
	case reflect.Map:
		for entries := v.MapRange(); entries.Next(); {
			n += countWholeFloats(entries.Value())
		}
	}
	return n
}
