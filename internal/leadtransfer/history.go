package leadtransfer

import (
	"time"

	"badgerbay/internal/clock"
)

const (
	// Delay is how long most workers must have been unreachable before the first transfer of leadership. Repeated
	// transfers double it, see BackoffReset.
	Delay = 6 * time.Second
	// Cooldown is how long a leader does not campaign after it has transferred leadership.
	Cooldown = 15 * time.Second
	// BackoffReset is how long a transfer affects the backoff: a node that leads again within this time of its last
	// transfer waits twice as long as before, up to maxBackoffDoublings doublings.
	BackoffReset        = 2 * time.Minute
	maxBackoffDoublings = 4
)

// History counts the recent leadership transfers of this node and computes the backoff between them. The backoff is
// needed where two zones can't reach each other: a leader on either side lacks the heartbeats of the other side's
// workers, and without it leadership alternated six times in half a minute. The zero value is ready for use.
type History struct {
	transfers    int
	lastTransfer clock.Instant
}

// Delay returns how long most workers must be unreachable before the next transfer. It forgets transfers that are older
// than BackoffReset.
func (h *History) Delay(now clock.Instant) time.Duration {
	if now.Sub(h.lastTransfer) > BackoffReset {
		h.transfers = 0
	}
	return Delay << h.transfers
}

// RecordTransfer records that this node transfers leadership at now.
func (h *History) RecordTransfer(now clock.Instant) {
	h.transfers, h.lastTransfer = min(h.transfers+1, maxBackoffDoublings), now
}
