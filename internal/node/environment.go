package node

import (
	"log/slog"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/metrics"
	"badgerbay/internal/relay"
)

// environment holds what all components of a node share.
type environment struct {
	settings *config.Settings
	clock    clock.Clock
	log      *slog.Logger
	metrics  *metrics.Metrics
}

// storeLimits returns the strictest limits of the state service, including announced future limits.
func (e *environment) storeLimits() config.State { return e.settings.Params.StateService.Strictest() }

// maxRelayBytes returns the maximum size of a relay batch, and of the reply to it, in the state service.
func (e *environment) maxRelayBytes() int {
	return relay.MaxBatchBytes(e.storeLimits().MaxValueBytes())
}
