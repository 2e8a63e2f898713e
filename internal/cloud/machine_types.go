package cloud

import (
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/wire"
)

// maxMachineTypeNameBytes limits the name of a machine type, because records and submissions contain it.
const maxMachineTypeNameBytes = 128

// wireMachineType is the encoding of a machine type, both in the cloud's responses and in the state service.
type wireMachineType struct {
	Name            string                       `msgpack:"label"`
	CPUs            float64                      `msgpack:"cpus"`
	GPUs            float64                      `msgpack:"accelerators"`
	MemoryGB        float64                      `msgpack:"memoryGb"`
	CacheGB         float64                      `msgpack:"localGb"`
	FetchGBps       float64                      `msgpack:"fetchGbPerS"`
	HourlyPrice     float64                      `msgpack:"hourly"`
	HourlySpotPrice float64                      `msgpack:"marketPrice"`
	BootSeconds     float64                      `msgpack:"readyS"`
	Zones           wire.BoundedList[ident.Zone] `msgpack:"halls"`
}

// EncodeMachineTypes returns the value in which machine types are stored. It has the same form as in the cloud's
// responses.
func EncodeMachineTypes(types []*fleet.MachineType) any {
	out := make([]wireMachineType, 0, len(types))
	for _, t := range types {
		out = append(out, wireMachineType{
			Name:            string(t.Name),
			CPUs:            t.Capacity.CPUs,
			GPUs:            t.Capacity.GPUs,
			MemoryGB:        t.Capacity.MemoryGB,
			CacheGB:         t.CacheGB,
			FetchGBps:       t.FetchGBps,
			HourlyPrice:     t.HourlyPrice,
			HourlySpotPrice: t.HourlySpotPrice,
			BootSeconds:     t.BootTime.Seconds(),
			Zones:           t.Zones,
		})
	}
	return out
}

// DecodeMachineTypes decodes the stored form of the value that EncodeMachineTypes returns. It skips unusable types, and
// returns ErrNoMachineTypes if no other type remains.
func DecodeMachineTypes(data []byte) ([]*fleet.MachineType, error) {
	var stored wire.BoundedList[wireMachineType]
	if err := msgpack.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decoding machine types: %w", err)
	}
	return usableMachineTypes(stored)
}

func usableMachineTypes(all []wireMachineType) ([]*fleet.MachineType, error) {
	var usable []*fleet.MachineType
	for _, w := range all {
		if w.usable() {
			usable = append(usable, w.machineType())
		}
	}
	if len(usable) == 0 {
		return nil, ErrNoMachineTypes
	}
	return usable, nil
}

// usable reports whether tasks can run on a machine of the type, and records can contain its name.
func (w *wireMachineType) usable() bool {
	return w.Name != "" && len(w.Name) <= maxMachineTypeNameBytes && w.CPUs > 0 && w.MemoryGB > 0 && w.GPUs >= 0 &&
		!math.IsInf(w.CPUs+w.MemoryGB+w.GPUs, 0)
}

func (w *wireMachineType) machineType() *fleet.MachineType {
	return &fleet.MachineType{
		Name:            ident.MachineType(w.Name),
		Capacity:        jobs.Resources{CPUs: w.CPUs, GPUs: w.GPUs, MemoryGB: w.MemoryGB},
		CacheGB:         w.CacheGB,
		FetchGBps:       w.FetchGBps,
		HourlyPrice:     w.HourlyPrice,
		HourlySpotPrice: w.HourlySpotPrice,
		BootTime:        clock.Seconds(w.BootSeconds),
		Zones:           w.Zones,
	}
}
