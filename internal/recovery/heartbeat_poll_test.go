package recovery

import (
	"testing"
	"time"

	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// TestHeartbeatPoll checks that the poll is answered once all polled machines have answered, or once most have answered
// and responseTimeout has passed. A leader that most machines don't answer waits as if it had not polled any.
func TestHeartbeatPoll(t *testing.T) {
	const polled = 20
	for _, c := range []struct {
		name     string
		silent   int
		allSent  bool
		after    time.Duration
		answered bool
	}{
		{"all have answered", 0, true, 0, true},
		{"not all have been polled", 0, false, 0, false},
		{"some have not answered yet", 5, true, 500 * time.Millisecond, false},
		{"some do not answer", 5, true, responseTimeout, true},
		{"most do not answer", 11, true, responseTimeout, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := fleet.New(fleet.Timing{}, epoch, acquiredAt, func(ident.JobID) *jobs.Job { return nil })
			for i := range polled {
				f.Ensure(acquiredAt, ident.MachineID(rune('a'+i))).Addr = "127.0.0.1:1"
			}
			var poll HeartbeatPoll
			requests := f.ClaimHeartbeatRequests(polled)
			poll.RecordSent(acquiredAt, len(requests), !c.allSent)
			for _, m := range requests[c.silent:] {
				f.ApplyCommandResponse(acquiredAt, &fleet.Heartbeat{Machine: m.ID, Session: 1, HeartbeatSeq: 1})
			}
			if got := poll.answered(acquiredAt.Add(c.after), f.Machines()); got != c.answered {
				t.Errorf("answered %v, want %v", got, c.answered)
			}
			if again := f.ClaimHeartbeatRequests(polled); len(again) != 0 {
				t.Errorf("%d machines were polled twice", len(again))
			}
		})
	}
}
