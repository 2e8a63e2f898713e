package jobs

import (
	"math"
	"testing"
)

func TestMaxCopies(t *testing.T) {
	capacity := Resources{CPUs: 4, GPUs: 1, MemoryGB: 16}
	for _, test := range []struct {
		need Resources
		want int
	}{
		{Resources{CPUs: 1, MemoryGB: 1}, 4},
		{Resources{CPUs: 0.1}, 40}, // needs the tolerance for rounding errors
		{Resources{MemoryGB: 5}, 3},
		{Resources{CPUs: 1, GPUs: 0.5}, 2},
		{Resources{CPUs: 5}, 0},
		{Resources{}, math.MaxInt32},
	} {
		if got := capacity.MaxCopies(test.need); got != test.want {
			t.Errorf("%+v fits %d times, want %d", test.need, got, test.want)
		}
		if fits := capacity.Fits(test.need); fits != (test.want > 0) {
			t.Errorf("%+v fits: %v, want %v", test.need, fits, !fits)
		}
	}
	if n := (Resources{CPUs: -1}).MaxCopies(Resources{CPUs: 1}); n != 0 {
		t.Errorf("need fits %d times into a negative amount, want 0", n)
	}
}

func TestDominantShare(t *testing.T) {
	total := Resources{CPUs: 100, MemoryGB: 400}
	for _, test := range []struct {
		used Resources
		want float64
	}{
		{Resources{}, 0},
		{Resources{CPUs: 10, MemoryGB: 80}, 0.2},
		{Resources{CPUs: 50, MemoryGB: 80}, 0.5},
		{Resources{GPUs: 1}, math.Inf(1)}, // the total has no GPUs
	} {
		if got := test.used.DominantShare(total); got != test.want {
			t.Errorf("%+v: share %v, want %v", test.used, got, test.want)
		}
	}
}

func TestAllowsMachine(t *testing.T) {
	spec := Spec{MachineTypes: fullSpec().MachineTypes, Zone: "ankara"}
	if !spec.AllowsMachine("orta", "ankara", false) || spec.AllowsMachine("kucuk", "ankara", false) {
		t.Error("machine types are not respected")
	}
	if spec.AllowsMachine("orta", "bursa", false) || spec.AllowsMachine("orta", "ankara", true) {
		t.Error("zone or exclusion of spot machines is not respected")
	}
	if unconstrained := (Spec{Spot: true}); !unconstrained.AllowsMachine("kucuk", "bursa", true) {
		t.Error("a job without constraints is not allowed on a machine")
	}
}
