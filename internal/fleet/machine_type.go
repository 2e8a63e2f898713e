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
	CacheGB         float64 // size of the local image cache; 0: not known
	FetchGBps       float64 // rate at which images are fetched, in gigabytes per second
	HourlyPrice     float64
	HourlySpotPrice float64
	BootTime        time.Duration
	Zones           []ident.Zone // empty: all zones of the deployment
}

// AvailableZones returns the zones in which the cloud offers the type, or all, the zones of the deployment, if the
// cloud names none.
func (t *MachineType) AvailableZones(all []ident.Zone) []ident.Zone {
	if len(t.Zones) > 0 {
		return t.Zones
	}
	return all
}
