package kvstore

import (
	"encoding/json"
	"math"
	"reflect"
)

// unencodableSize is the size of what can't be encoded: more than any limit.
const unencodableSize = 1 << 30

// JSONSize is the size of a value in bytes of the service's JSON, the form in which its limits
// are counted. It is never too small.
func JSONSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return unencodableSize
	}
	return len(data) + len(".0")*countWholeFloats(reflect.ValueOf(v))
}

// countWholeFloats counts the decimal numbers in v that are whole, also those that the JSON
// leaves out. The service writes them as 4.0, where Go's JSON has 4: a record that fitted by a
// few bytes was refused again and again.
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
