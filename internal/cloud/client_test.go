package cloud

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
)

// fixedTransport returns the same response to every request. A status of 0 simulates a lost connection.
type fixedTransport struct {
	status int
	body   []byte
}

// RoundTrip implements http.RoundTripper.
func (f *fixedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	if f.status == 0 {
		return nil, errors.New("connection reset")
	}
	return &http.Response{StatusCode: f.status, Body: io.NopCloser(bytes.NewReader(f.body))}, nil
}

// TestErrorsDistinguishCloudResponses checks that each kind of response results in the error by which callers
// distinguish it.
func TestErrorsDistinguishCloudResponses(t *testing.T) {
	transport := &fixedTransport{}
	client := NewClient("10.2.0.2:1", transport)
	for _, s := range []struct {
		status int
		body   string
		want   error
	}{
		{503, "\x81\xa5error\xabno capacity", ErrNoCapacity},
		{503, "\x81\xa5error\xa7trouble", ErrUnavailable},
		{503, "junk", ErrUnavailable},
		{429, "", ErrUnavailable},
		{400, "", ErrMalformed},
		{500, "", ErrOutcomeUnknown},
		{0, "", ErrOutcomeUnknown},
		{200, "\xc1", ErrOutcomeUnknown},
		{200, "\x81\xa7shambas\xdd\xff\xff\xff\xff", ErrOutcomeUnknown},
		{200, "\x81\xa7shambas\x91\xa6host-1", nil},
	} {
		transport.status, transport.body = s.status, []byte(s.body)
		if _, err := client.Provision(context.Background(), "r-1", offer, 1); !errors.Is(err, s.want) {
			t.Errorf("status %d, body %q: error %v, want %v", s.status, s.body, err, s.want)
		}
	}
}

// FuzzCloudResponses checks that no response causes a panic, and that an empty list of machine types is an error.
func FuzzCloudResponses(f *testing.F) {
	f.Add(200, []byte("\x81\xa7shambas\x91\xa6host-1"))
	f.Add(200, []byte("\x81\xa6frames\xdd\xff\xff\xff\xff"))
	transport := &fixedTransport{}
	client := NewClient("10.2.0.2:1", transport)
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		transport.status, transport.body = status, body
		if types, err := client.MachineTypes(context.Background()); err == nil && len(types) == 0 {
			t.Error("no machine types and no error")
		}
		client.ListMachines(context.Background(), "")
		client.Provision(context.Background(), "r-1", offer, 1)
	})
}
