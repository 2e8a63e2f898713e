package featuregate

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/kvstore"
)

// WarmStandby holds the settings of the warm standby.
type WarmStandby struct {
	HeartbeatInterval time.Duration // time between two heartbeats of the leader
	HeartbeatTTL      time.Duration // maximum time for which a leader acts after a heartbeat
	PollInterval      time.Duration // time between two reads of the heartbeat
	SyncInterval      time.Duration // time between two reads of the changed records
	MaxReplicaMB      float64       // maximum size of the replica, in MiB
}

// Defaults for the settings that a section of the warm standby omits.
const (
	defaultHeartbeatInterval = 800 * time.Millisecond
	defaultHeartbeatTTL      = 2600 * time.Millisecond
	defaultPollInterval      = 250 * time.Millisecond
	defaultSyncInterval      = time.Second
	defaultMaxReplicaMB      = 24
)

const (
	mebibyte = 1 << 20
	// maxHeartbeatWriteShare is the maximum share of the state service's changes per second
	// that heartbeats may use.
	maxHeartbeatWriteShare = 0.1
	// minPollsPerTTL is the minimum number of times that a standby reads the heartbeat
	// within HeartbeatTTL.
	minPollsPerTTL = 3
	// minMemoryToReplicaRatio is the minimum ratio of a node's memory to MaxReplicaMB.
	minMemoryToReplicaRatio = 3
)

// MaxReplicaBytes returns MaxReplicaMB in bytes.
func (w *WarmStandby) MaxReplicaBytes() int { return int(w.MaxReplicaMB * mebibyte) }

// decodeWarmStandby returns the settings of a section that conforms to the schema.
func decodeWarmStandby(section map[string]any) *WarmStandby {
	return &WarmStandby{
		HeartbeatInterval: durationSetting(section, "heartbeat_s", defaultHeartbeatInterval),
		HeartbeatTTL:      durationSetting(section, "takeover_s", defaultHeartbeatTTL),
		PollInterval:      durationSetting(section, "poll_s", defaultPollInterval),
		SyncInterval:      durationSetting(section, "sync_s", defaultSyncInterval),
		MaxReplicaMB:      numberSetting(section, "replica_mb", defaultMaxReplicaMB),
	}
}

func durationSetting(section map[string]any, name string, fallback time.Duration) time.Duration {
	if s, ok := section[name].(float64); ok {
		return clock.Seconds(s)
	}
	return fallback
}

func numberSetting(section map[string]any, name string, fallback float64) float64 {
	if v, ok := section[name].(float64); ok {
		return v
	}
	return fallback
}

// check returns an error if the times are incompatible with one another, or if the settings
// exceed what the deployment can support.
func (w *WarmStandby) check(p config.Params) error {
	minTTL := election.MinHeartbeatTTL(w.HeartbeatInterval, kvstore.RequestTimeout)
	if w.HeartbeatTTL < minTTL {
		return warmStandbyErrorf("takeover_s", "%v leaves no room for a heartbeat every %v that takes up to %v: at least %v",
			w.HeartbeatTTL, w.HeartbeatInterval, kvstore.RequestTimeout, minTTL)
	}
	if minPollsPerTTL*w.PollInterval > w.HeartbeatTTL {
		return warmStandbyErrorf("poll_s", "%v is too seldom to see a leader silent for %v: a third of that at most",
			w.PollInterval, w.HeartbeatTTL)
	}
	writeRPS, heartbeatRPS := p.StateService.Strictest().WriteRPS, 1/w.HeartbeatInterval.Seconds()
	if heartbeatRPS > maxHeartbeatWriteShare*writeRPS {
		return warmStandbyErrorf("heartbeat_s", "%.2f changes a second are more than a tenth of the state service's %v",
			heartbeatRPS, writeRPS)
	}
	if memoryMB := p.MachineLimits.MemoryMB; w.MaxReplicaMB > memoryMB/minMemoryToReplicaRatio {
		return warmStandbyErrorf("replica_mb", "%v MB are more than a third of the %v MB that the node has",
			w.MaxReplicaMB, memoryMB)
	}
	return nil
}

func warmStandbyErrorf(field, format string, args ...any) error {
	return config.FieldErrorf("policy.warm_standby."+field, format, args...)
}
