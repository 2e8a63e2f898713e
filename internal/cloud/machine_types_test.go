package cloud

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// TestUnusableMachineTypesAreSkipped checks that a type is skipped if no task can run on it or if records cannot
// contain its name, and that ErrNoMachineTypes is returned if no other type remains.
func TestUnusableMachineTypesAreSkipped(t *testing.T) {
	unusable := []wireMachineType{
		{Name: "", CPUs: 1, MemoryGB: 1},
		{Name: strings.Repeat("x", maxMachineTypeNameBytes+1), CPUs: 1, MemoryGB: 1},
		{Name: "no-cpu", MemoryGB: 1},
		{Name: "no-memory", CPUs: 1},
		{Name: "negative-gpus", CPUs: 1, MemoryGB: 1, GPUs: -1},
		{Name: "infinite", CPUs: math.Inf(1), MemoryGB: 1},
		{Name: "not-a-number", CPUs: math.NaN(), MemoryGB: 1},
	}
	encode := func(types []wireMachineType) []byte {
		data, err := msgpack.Marshal(types)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	if types, err := DecodeMachineTypes(encode(unusable)); !errors.Is(err, ErrNoMachineTypes) {
		t.Errorf("types %v, error %v, want ErrNoMachineTypes", types, err)
	}
	types, err := DecodeMachineTypes(encode(append(unusable, wireMachineType{Name: "m", CPUs: 1, MemoryGB: 1})))
	if err != nil || len(types) != 1 || types[0].Name != "m" {
		t.Errorf("types %v, error %v, want only the usable type m", types, err)
	}
	if types, err := DecodeMachineTypes([]byte{0xc1}); err == nil || errors.Is(err, ErrNoMachineTypes) {
		t.Errorf("types %v, error %v, want a decoding error", types, err)
	}
}
