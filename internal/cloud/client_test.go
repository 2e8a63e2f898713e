package cloud

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"badgerbay/internal/clock"
)

const t0 = clock.Instant(time.Hour)

var offer = Offer{Type: "m", Zone: "a", Spot: true}

// TestProvisionOfUnknownOutcomeIsRetriedUnderItsName: the repeat is the receipt; only an
// answer settles it.
func TestProvisionOfUnknownOutcomeIsRetriedUnderItsName(t *testing.T) {
	d := NewTracker(15 * time.Second)
	d.AddProvision(t0, "r-1", offer, 3, false)
	if h := d.NextProvision(t0); h == nil || h.Name != "r-1" {
		t.Fatalf("due %+v", h)
	}
	if d.NextProvision(t0) != nil {
		t.Error("sent twice at once")
	}
	if d.FinishProvision(t0, "r-1", ProvisionOutcomeUnknown, 0) || d.UnknownOutcomeCount() != 1 {
		t.Error("settled without an answer")
	}
	later := t0.Add(provisionRetryDelay)
	if h := d.NextProvision(later); h == nil || h.Name != "r-1" {
		t.Fatal("not repeated")
	}
	if d.FinishProvision(later, "r-1", ProvisionDeferred, 0) {
		t.Error("an uncertain rental is dropped while the cloud is in trouble")
	}
	d.NextProvision(later.Add(provisionRetryDelay))
	if !d.FinishProvision(later, "r-1", ProvisionGranted, 2) || len(d.PendingProvisions()) != 0 {
		t.Error("not settled by its answer")
	}
	if !d.Blocked(later, offer) || d.Blocked(later.Add(16*time.Second), offer) {
		t.Error("an offer filled in part is blocked for the backoff, and no longer")
	}
}

func TestDeprovisionsAreRetriedUntilAnswered(t *testing.T) {
	d := NewTracker(time.Second)
	d.AddDeprovision("host-2", "host-1")
	ids := d.NextDeprovision(t0)
	if len(ids) != 2 || ids[0] != "host-1" {
		t.Fatalf("due %v", ids)
	}
	if d.NextDeprovision(t0) != nil {
		t.Error("two at once")
	}
	d.FinishDeprovision(t0, ids, false)
	if d.NextDeprovision(t0) != nil {
		t.Error("repeated at once")
	}
	again := d.NextDeprovision(t0.Add(deprovisionRetryDelay))
	d.FinishDeprovision(t0, again, true)
	if len(again) != 2 || d.NextDeprovision(t0.Add(time.Minute)) != nil {
		t.Error("not repeated, or repeated after the answer")
	}
}

type scriptedTransport struct {
	status int
	body   []byte
}

func (s *scriptedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	if s.status == 0 {
		return nil, errors.New("connection reset")
	}
	return &http.Response{StatusCode: s.status, Body: io.NopCloser(bytes.NewReader(s.body))}, nil
}

func TestErrorsOfCloudAnswers(t *testing.T) {
	rt := &scriptedTransport{}
	c := NewClient("10.2.0.2:1", rt)
	for _, s := range []struct {
		status int
		body   string
		want   error
	}{
		{503, "\x81\xa5error\xabno capacity", ErrNoCapacity}, {503, "\x81\xa5error\xa7trouble", ErrUnavailable}, {503, "junk", ErrUnavailable},
		{429, "", ErrUnavailable}, {400, "", ErrMalformed}, {500, "", ErrOutcomeUnknown}, {0, "", ErrOutcomeUnknown}, {200, "\xc1", ErrOutcomeUnknown},
		{200, "\x81\xa7shambas\xdd\xff\xff\xff\xff", ErrOutcomeUnknown}, {200, "\x81\xa7shambas\x91\xa6host-1", nil},
	} {
		rt.status, rt.body = s.status, []byte(s.body)
		if _, err := c.Provision(context.Background(), "r-1", offer, 1); !errors.Is(err, s.want) {
			t.Errorf("%d %q: %v, want %v", s.status, s.body, err, s.want)
		}
	}
}

func FuzzCloudAnswers(f *testing.F) {
	f.Add(200, []byte("\x81\xa7shambas\x91\xa6host-1"))
	f.Add(200, []byte("\x81\xa6frames\xdd\xff\xff\xff\xff"))
	rt := &scriptedTransport{}
	c := NewClient("10.2.0.2:1", rt)
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		rt.status, rt.body = status, body
		if types, err := c.MachineTypes(context.Background()); err == nil && len(types) == 0 {
			t.Error("no machine types and no error")
		}
		c.ListMachines(context.Background(), "")
		c.Provision(context.Background(), "r-1", offer, 1)
	})
}
