package cloud

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

const t0 = clock.Instant(time.Hour)

var offer = Offer{Type: "m", Zone: "a", Spot: true}

// TestProvisionWithUnknownOutcomeIsRetriedUnderSameName checks that a request with unknown outcome is retried under its
// name, because the response to the retry shows the outcome of the first request, and that only such a response settles
// it.
func TestProvisionWithUnknownOutcomeIsRetriedUnderSameName(t *testing.T) {
	tracker := NewTracker(15 * time.Second)
	tracker.AddProvision(t0, "r-1", offer, 3, false)
	if request := tracker.NextProvision(t0); request == nil || request.Name != "r-1" {
		t.Fatalf("request %+v is due, want r-1", request)
	}
	if tracker.NextProvision(t0) != nil {
		t.Error("sent again while in flight")
	}
	if tracker.FinishProvision(t0, "r-1", ProvisionOutcomeUnknown, 0) || tracker.UnknownOutcomeCount() != 1 {
		t.Error("settled without a response")
	}
	later := t0.Add(provisionRetryDelay)
	if request := tracker.NextProvision(later); request == nil || request.Name != "r-1" {
		t.Fatal("not retried")
	}
	if tracker.FinishProvision(later, "r-1", ProvisionDeferred, 0) {
		t.Error("a request with unknown outcome is settled while the cloud is unavailable")
	}
	tracker.NextProvision(later.Add(provisionRetryDelay))
	if !tracker.FinishProvision(later, "r-1", ProvisionGranted, 2) || len(tracker.PendingProvisions()) != 0 {
		t.Error("not settled by the response")
	}
	if !tracker.Blocked(later, offer) || tracker.Blocked(later.Add(16*time.Second), offer) {
		t.Error("an offer that was granted in part is not blocked, or is still blocked after the backoff")
	}
}

// TestDeprovisionsAreRetriedUntilAnswered checks that only one deprovision call is in flight, and that a failed call is
// retried after a delay until it succeeds.
func TestDeprovisionsAreRetriedUntilAnswered(t *testing.T) {
	tracker := NewTracker(time.Second)
	tracker.AddDeprovision("host-2", "host-1")
	ids := tracker.NextDeprovision(t0)
	if len(ids) != 2 || ids[0] != "host-1" {
		t.Fatalf("deprovisions of %v are due, want host-1 and host-2", ids)
	}
	if tracker.NextDeprovision(t0) != nil {
		t.Error("a second call was made while one is in flight")
	}
	tracker.FinishDeprovision(t0, ids, false)
	if tracker.NextDeprovision(t0) != nil {
		t.Error("retried without a delay")
	}
	retried := tracker.NextDeprovision(t0.Add(deprovisionRetryDelay))
	tracker.FinishDeprovision(t0, retried, true)
	if len(retried) != 2 || tracker.NextDeprovision(t0.Add(time.Minute)) != nil {
		t.Error("not retried, or retried after the call succeeded")
	}
}

// TestProvisionResultNamesAreDistinct checks that every result has a distinct name in the logs.
func TestProvisionResultNamesAreDistinct(t *testing.T) {
	named := map[string]bool{}
	for result := ProvisionGranted; result <= ProvisionRejected; result++ {
		named[result.String()] = true
	}
	if len(named) != 5 || named[ProvisionResult(99).String()] {
		t.Errorf("names %v, want 5, and none of them for an invalid result", named)
	}
}
