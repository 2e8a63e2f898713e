package controller

import (
	"log/slog"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/metrics"
	"badgerbay/internal/policy"
)

// environment holds what all parts of the core share: the node's settings and policy, its logger, metrics and clock,
// its budget of requests to the state service, and the effects of the current step.
type environment struct {
	settings *config.Settings
	policy   *policy.Policy
	log      *slog.Logger
	metrics  *metrics.Metrics
	budget   *kvstore.Budget
	clock    clock.Clock
	effects  []Effect
}

func (e *environment) emit(effect Effect) { e.effects = append(e.effects, effect) }
