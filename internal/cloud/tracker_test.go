package cloud

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

const t0 = clock.Instant(time.Hour)

var offer = Offer{Type: "m", Zone: "a", Spot: true}

// TestProvisionWithUnknownOutcomeIsRetriedUnderSameName: the retry shows what came of the
// first request; only an answer settles it.
func TestProvisionWithUnknownOutcomeIsRetriedUnderSameName(t *testing.T) {
	tracker := NewTracker(15 * time.Second)
	tracker.AddProvision(t0, "r-1", offer, 3, false)
	if request := tracker.NextProvision(t0); request == nil || request.Name != "r-1" {
		t.Fatalf("due %+v", request)
	}
	if tracker.NextProvision(t0) != nil {
		t.Error("sent twice at once")
	}
	if tracker.FinishProvision(t0, "r-1", ProvisionOutcomeUnknown, 0) || tracker.UnknownOutcomeCount() != 1 {
		t.Error("settled without an answer")
	}
	later := t0.Add(provisionRetryDelay)
	if request := tracker.NextProvision(later); request == nil || request.Name != "r-1" {
		t.Fatal("not retried")
	}
	if tracker.FinishProvision(later, "r-1", ProvisionDeferred, 0) {
		t.Error("a request of unknown outcome is dropped while the cloud is in trouble")
	}
	tracker.NextProvision(later.Add(provisionRetryDelay))
	if !tracker.FinishProvision(later, "r-1", ProvisionGranted, 2) || len(tracker.PendingProvisions()) != 0 {
		t.Error("not settled by its answer")
	}
	if !tracker.Blocked(later, offer) || tracker.Blocked(later.Add(16*time.Second), offer) {
		t.Error("an offer granted in part is blocked for the backoff, and no longer")
	}
}

func TestDeprovisionsAreRetriedUntilAnswered(t *testing.T) {
	tracker := NewTracker(time.Second)
	tracker.AddDeprovision("host-2", "host-1")
	ids := tracker.NextDeprovision(t0)
	if len(ids) != 2 || ids[0] != "host-1" {
		t.Fatalf("due %v", ids)
	}
	if tracker.NextDeprovision(t0) != nil {
		t.Error("two calls at once")
	}
	tracker.FinishDeprovision(t0, ids, false)
	if tracker.NextDeprovision(t0) != nil {
		t.Error("retried at once")
	}
	retried := tracker.NextDeprovision(t0.Add(deprovisionRetryDelay))
	tracker.FinishDeprovision(t0, retried, true)
	if len(retried) != 2 || tracker.NextDeprovision(t0.Add(time.Minute)) != nil {
		t.Error("not retried, or retried after the answer")
	}
}

// TestProvisionResultNamesAreDistinct: every result has a name of its own in the logs.
func TestProvisionResultNamesAreDistinct(t *testing.T) {
	named := map[string]bool{}
	for result := ProvisionGranted; result <= ProvisionRejected; result++ {
		named[result.String()] = true
	}
	if len(named) != 5 || named[ProvisionResult(99).String()] {
		t.Errorf("names %v", named)
	}
}
