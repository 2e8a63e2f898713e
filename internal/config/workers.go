package config

import (
	"time"

	"badgerbay/internal/clock"
)

// Workers hold the times that workers keep to.
type Workers struct {
	HeartbeatSeconds float64 `json:"report_s"`
	LeaseSeconds     float64 `json:"lease_s"`
	CancelSeconds    float64 `json:"cancel_s"`
	GangWaitSeconds  float64 `json:"gang_wait_s"` // 0: not given
	GangPeerSeconds  float64 `json:"gang_peer_s"`
}

const (
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat, and
	// nextNodeDelay how long before it tries the next node.
	heartbeatTimeout = 4 * time.Second
	nextNodeDelay    = time.Second
	// minFailoverTime is the least time in which another node can take over: the
	// shortest lease of a leader.
	minFailoverTime = 2 * time.Second
)

// HeartbeatInterval is the nominal time between two heartbeats of a worker.
func (w Workers) HeartbeatInterval() time.Duration { return clock.Seconds(w.HeartbeatSeconds) }

// LeaseTTL is how long a worker keeps its tasks without an answer.
func (w Workers) LeaseTTL() time.Duration { return clock.Seconds(w.LeaseSeconds) }

// MaxHeartbeatGap is how long a worker that reaches a node may send no heartbeat: they
// may be a quarter late.
func (w Workers) MaxHeartbeatGap() time.Duration {
	interval := w.HeartbeatInterval()
	return interval + interval/4
}

// ReconnectTime is how long a worker may be without an answer whose heartbeats go to a
// node that is lost, until it has tried the next.
func (w Workers) ReconnectTime() time.Duration {
	return w.MaxHeartbeatGap() + heartbeatTimeout + nextNodeDelay
}

// FailoverTime is how long all nodes may leave a worker without an answer: its last
// answered heartbeat was sent up to the longest gap before, and after one that a lost
// leader never answers it finds the successor with its first try elsewhere.
func (w Workers) FailoverTime() time.Duration { return w.LeaseTTL() - w.ReconnectTime() }

// CancelTimeout is how long the tasks of a cancelled job may stay.
func (w Workers) CancelTimeout() time.Duration { return clock.Seconds(w.CancelSeconds) }

// validateTimes refuses times with which the rules can't be kept.
func (w Workers) validateTimes() error {
	switch {
	case w.LeaseSeconds <= 2*w.HeartbeatSeconds:
		return FieldErrorf("params.workers.lease_s", "%v leaves no room for a lost report (report_s %v)", w.LeaseSeconds, w.HeartbeatSeconds)
	case w.LeaseTTL() < w.MaxHeartbeatGap()+minFailoverTime:
		return FieldErrorf("params.workers.lease_s", "%v leaves no room for a takeover (report_s %v, and %v)", w.LeaseSeconds, w.HeartbeatSeconds, minFailoverTime)
	case w.CancelSeconds <= w.LeaseSeconds:
		return FieldErrorf("params.workers.cancel_s", "%v is no longer than lease_s, %v, for which a machine out of reach keeps its tasks", w.CancelSeconds, w.LeaseSeconds)
	}
	return nil
}
