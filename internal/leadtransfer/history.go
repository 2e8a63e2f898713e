package leadtransfer

import (
	"time"

	"badgerbay/internal/clock"
)

const (
	// Delay is how long most workers must have been unreachable before a leader transfers
	// leadership.
	Delay = 6 * time.Second
	// Cooldown is how long it stays out of the election after that.
	Cooldown = 15 * time.Second
	// BackoffReset is how long a transfer counts: a node that leads again within that time
	// waits twice as long as before, up to maxBackoffDoublings times.
	BackoffReset        = 2 * time.Minute
	maxBackoffDoublings = 4
)

// History counts how often this node has lately transferred leadership. Where two zones
// can't reach each other each side misses the other's workers, and leadership went to and
// fro six times in half a minute. The zero value is ready for use.
type History struct {
	transfers    int
	lastTransfer clock.Instant
}

// Delay is how long workers must be unreachable before the next transfer.
func (h *History) Delay(now clock.Instant) time.Duration {
	if now.Sub(h.lastTransfer) > BackoffReset {
		h.transfers = 0
	}
	return Delay << h.transfers
}

// RecordTransfer notes that this node transfers leadership.
func (h *History) RecordTransfer(now clock.Instant) {
	h.transfers, h.lastTransfer = min(h.transfers+1, maxBackoffDoublings), now
}
