package config

import (
	"time"

	"badgerbay/internal/clock"
)

// Workers holds the intervals and timeouts that workers comply with.
type Workers struct {
	HeartbeatSeconds float64 `json:"report_s"`
	LeaseSeconds     float64 `json:"lease_s"`
	CancelSeconds    float64 `json:"cancel_s"`
	// GangWaitSeconds is how long a task of a gang waits until all tasks of the gang are
	// ready; 0: not configured. GangPeerSeconds is how long a task that runs or writes its
	// checkpoint goes on while other tasks of its gang are missing.
	GangWaitSeconds float64 `json:"gang_wait_s"`
	GangPeerSeconds float64 `json:"gang_peer_s"`
}

const (
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat, and
	// nextNodeDelay how long it then waits before it tries the next node.
	heartbeatTimeout = 4 * time.Second
	nextNodeDelay    = time.Second
	// minFailoverTime is the shortest time in which another node can take over the
	// leadership: the shortest TTL of a leader's lease.
	minFailoverTime = 2 * time.Second
)

// HeartbeatInterval returns the nominal time between two heartbeats of a worker.
func (w Workers) HeartbeatInterval() time.Duration { return clock.Seconds(w.HeartbeatSeconds) }

// LeaseTTL returns how long a worker keeps its tasks without a response to its heartbeats.
func (w Workers) LeaseTTL() time.Duration { return clock.Seconds(w.LeaseSeconds) }

// MaxHeartbeatGap returns the longest time between two heartbeats of a worker that can reach
// a node: a heartbeat may be late by a quarter of the interval.
func (w Workers) MaxHeartbeatGap() time.Duration {
	interval := w.HeartbeatInterval()
	return interval + interval/4
}

// MaxReconnectTime returns the longest time that a worker can be without a response when the
// node that it sends its heartbeats to fails, until it has tried the next node.
func (w Workers) MaxReconnectTime() time.Duration {
	return w.MaxHeartbeatGap() + heartbeatTimeout + nextNodeDelay
}

// MaxFailoverTime returns how long a failover may leave all nodes unable to answer a worker
// before the lease of the worker expires. It is LeaseTTL less the three parts of
// MaxReconnectTime:
//  1. The last heartbeat that was answered was sent up to MaxHeartbeatGap before the leader
//     failed.
//  2. The failed leader never answers the next heartbeat, which times out after
//     heartbeatTimeout.
//  3. After nextNodeDelay the worker tries another node, and this first attempt reaches the
//     successor.
func (w Workers) MaxFailoverTime() time.Duration { return w.LeaseTTL() - w.MaxReconnectTime() }

// CancelTimeout returns the time within which the tasks of a cancelled job must have ended.
func (w Workers) CancelTimeout() time.Duration { return clock.Seconds(w.CancelSeconds) }

// validateTimes rejects times that are incompatible with one another: a lease must outlast a
// lost heartbeat and a failover, and the cancellation timeout must be longer than the lease,
// because a machine that is unreachable keeps its tasks until the lease expires.
func (w Workers) validateTimes() error {
	switch {
	case w.LeaseSeconds <= 2*w.HeartbeatSeconds:
		return FieldErrorf("params.workers.lease_s", "%v leaves no room for a lost report (report_s %v)", w.LeaseSeconds, w.HeartbeatSeconds)
	case w.LeaseTTL() < w.MaxHeartbeatGap()+minFailoverTime:
		return FieldErrorf("params.workers.lease_s", "%v leaves no time for a failover (report_s %v, minimum failover time %v)", w.LeaseSeconds, w.HeartbeatSeconds, minFailoverTime)
	case w.CancelSeconds <= w.LeaseSeconds:
		return FieldErrorf("params.workers.cancel_s", "%v is no longer than lease_s, %v, for which a machine out of reach keeps its tasks", w.CancelSeconds, w.LeaseSeconds)
	}
	return nil
}
