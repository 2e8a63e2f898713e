package fleet

import (
	"time"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// MachineType is a machine type as the cloud describes it.
type MachineType struct {
	Name            ident.MachineType
	Capacity        jobs.Resources
	CacheGB         float64 // of the local image cache; 0: not known
	FetchGBps       float64 // gigabytes a second at which images are fetched
	HourlyPrice     float64
	HourlySpotPrice float64
	BootTime        time.Duration
	Zones           []ident.Zone // empty: all
}

// AvailableZones returns those of the deployment's zones in which the cloud has the type:
// all if the cloud names none.
func (t *MachineType) AvailableZones(all []ident.Zone) []ident.Zone {
	if len(t.Zones) > 0 {
		return t.Zones
	}
	return all
}
