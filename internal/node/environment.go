package node

import (
	"log/slog"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/metrics"
	"badgerbay/internal/relay"
)

// environment is what all parts of a node share.
type environment struct {
	settings *config.Settings
	clock    clock.Clock
	log      *slog.Logger
	metrics  *metrics.Metrics
}

// storeLimits are the strictest limits of the state service, those that are announced
// included.
func (e *environment) storeLimits() config.State { return e.settings.Params.StateService.Strictest() }

// maxRelayBytes is how large a batch, or the reply to it, may be in the state service.
func (e *environment) maxRelayBytes() int {
	return relay.MaxBatchBytes(e.storeLimits().MaxValueBytes())
}
