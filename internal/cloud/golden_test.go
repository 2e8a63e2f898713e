package cloud_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// readGoldenMessages returns the recorded messages by name. Each line of the file holds a name and the bytes in
// hexadecimal.
func readGoldenMessages(t *testing.T) map[string][]byte {
	t.Helper()
	file, err := os.Open("testdata/golden/messages.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	messages := map[string][]byte{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		data, err := hex.DecodeString(text)
		if !ok || err != nil {
			t.Fatalf("line %q: %v", lines.Text(), err)
		}
		messages[name] = data
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return messages
}

// recordingTransport returns one recorded response and records the request.
type recordingTransport struct {
	response []byte
	request  string
	body     []byte
}

// RoundTrip implements http.RoundTripper.
func (r *recordingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	r.request = fmt.Sprintf("%s %s %s", req.Method, req.URL, req.Header.Get("Content-Type"))
	r.body = nil
	if req.Body != nil {
		var err error
		if r.body, err = io.ReadAll(req.Body); err != nil {
			return nil, err
		}
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(r.response))}, nil
}

func goldenMachineTypes() []*fleet.MachineType {
	return []*fleet.MachineType{
		{Name: "m16.xlarge", Capacity: jobs.Resources{CPUs: 16, GPUs: 2, MemoryGB: 128}, CacheGB: 200.5, FetchGBps: 0.25,
			HourlyPrice: 3.75, HourlySpotPrice: 1.125, BootTime: 45500 * time.Millisecond, Zones: []ident.Zone{"zone-a", "zone-b"}},
		{Name: "m", Capacity: jobs.Resources{CPUs: 0.5, MemoryGB: 1}},
	}
}

// TestGoldenCloudCalls checks that each request to the cloud is sent exactly as recorded, and that the recorded
// response to it is decoded to the expected values.
func TestGoldenCloudCalls(t *testing.T) {
	messages := readGoldenMessages(t)
	spot, onDemand := cloud.Offer{Type: "m16.xlarge", Zone: "zone-b", Spot: true}, cloud.Offer{Type: "m", Zone: "a"}
	listed := []cloud.Machine{
		{ID: "host-000001", Type: "m", Zone: "a", State: cloud.MachineStarting, AgeSeconds: 0.5},
		{ID: "host-000002", Addr: "10.0.3.17:9000", Type: "m16.xlarge", Zone: "zone-b", Spot: true, State: cloud.MachineRunning, AgeSeconds: 3600},
		{ID: "host-000003", Addr: "10.0.3.18:9000", Type: "m", Zone: "a", State: cloud.MachineFailed, AgeSeconds: 61},
	}
	type page struct {
		Machines []cloud.Machine
		More     bool
	}
	ctx := context.Background()
	for _, c := range []struct {
		name    string
		request string
		call    func(*cloud.Client) (any, error)
		want    any
	}{
		{"types", "GET http://10.2.0.2:8443/flavors application/msgpack",
			func(c *cloud.Client) (any, error) { return c.MachineTypes(ctx) }, goldenMachineTypes()},
		{"provision/spot", "POST http://10.2.0.2:8443/hosts application/msgpack",
			func(c *cloud.Client) (any, error) { return c.Provision(ctx, "n0-12-1", spot, 50) },
			[]ident.MachineID{"host-000001", "host-000002"}},
		{"provision/on-demand", "POST http://10.2.0.2:8443/hosts application/msgpack",
			func(c *cloud.Client) (any, error) { return c.Provision(ctx, "n0-12-2", onDemand, 1) }, []ident.MachineID{"host-000003"}},
		{"deprovision", "POST http://10.2.0.2:8443/hosts/release application/msgpack",
			func(c *cloud.Client) (any, error) {
				return nil, c.Deprovision(ctx, []ident.MachineID{"host-000001", "host-000002"})
			}, nil},
		{"list/first", "GET http://10.2.0.2:8443/hosts?page=500 application/msgpack",
			func(c *cloud.Client) (any, error) {
				machines, more, err := c.ListMachines(ctx, "")
				return page{machines, more}, err
			}, page{listed, true}},
		{"list/last", "GET http://10.2.0.2:8443/hosts?page=500&since=host-000003 application/msgpack",
			func(c *cloud.Client) (any, error) {
				machines, more, err := c.ListMachines(ctx, "host-000003")
				return page{machines, more}, err
			}, page{listed[:1], false}},
		{"list/empty", "GET http://10.2.0.2:8443/hosts?page=500 application/msgpack",
			func(c *cloud.Client) (any, error) {
				machines, more, err := c.ListMachines(ctx, "")
				return page{machines, more}, err
			}, page{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			response, ok := messages[c.name+"/answer"]
			if !ok {
				t.Fatal("no recorded response")
			}
			transport := &recordingTransport{response: response}
			got, err := c.call(cloud.NewClient("10.2.0.2:8443", transport))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
			if transport.request != c.request {
				t.Errorf("request %q, want %q", transport.request, c.request)
			}
			if want := messages[c.name+"/request"]; !bytes.Equal(transport.body, want) {
				t.Errorf("body %x, recorded %x", transport.body, want)
			}
		})
	}
}

// TestGoldenRefusals checks that the client distinguishes the recorded error responses with status 503: a lack of
// capacity and any other reason result in different errors.
func TestGoldenRefusals(t *testing.T) {
	messages := readGoldenMessages(t)
	for _, c := range []struct {
		name string
		code int
		want error
	}{
		{"refusal/no-capacity", http.StatusServiceUnavailable, cloud.ErrNoCapacity},
		{"refusal/trouble", http.StatusServiceUnavailable, cloud.ErrUnavailable},
	} {
		response, ok := messages[c.name]
		if !ok {
			t.Fatalf("%s is not recorded", c.name)
		}
		client := cloud.NewClient("10.2.0.2:8443", roundTripperFunc(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: c.code, Body: io.NopCloser(bytes.NewReader(response))}, nil
		}))
		if _, err := client.Provision(context.Background(), "n0-12-1", cloud.Offer{Type: "m", Zone: "a"}, 1); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

type roundTripperFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripperFunc) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// TestGoldenStoredMachineTypes checks that the recorded value of the stored machine types is decoded, and encoded again
// to the same bytes.
func TestGoldenStoredMachineTypes(t *testing.T) {
	recorded := readGoldenMessages(t)["stored/types"]
	types, err := cloud.DecodeMachineTypes(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenMachineTypes(), types); diff != "" {
		t.Error(diff)
	}
	encoded, err := msgpack.Marshal(cloud.EncodeMachineTypes(types))
	if err != nil || !bytes.Equal(encoded, recorded) {
		t.Errorf("encoded as %x, error %v; recorded %x", encoded, err, recorded)
	}
}

// TestGoldenOffers checks that the offers in round records are decoded, and encoded again to the same bytes.
func TestGoldenOffers(t *testing.T) {
	messages := readGoldenMessages(t)
	for name, want := range map[string]cloud.Offer{
		"offer/spot":      {Type: "m16.xlarge", Zone: "zone-b", Spot: true},
		"offer/on-demand": {Type: "m", Zone: "a"},
	} {
		checkCodec(t, name+"/msgpack", messages, want, msgpack.Marshal, msgpack.Unmarshal)
		checkCodec(t, name+"/json", messages, want, json.Marshal, json.Unmarshal)
	}
}

func checkCodec(t *testing.T, name string, messages map[string][]byte, want cloud.Offer,
	marshal func(any) ([]byte, error), unmarshal func([]byte, any) error) {
	t.Helper()
	recorded, ok := messages[name]
	if !ok {
		t.Fatalf("%s is not recorded", name)
	}
	var got cloud.Offer
	if err := unmarshal(recorded, &got); err != nil || got != want {
		t.Errorf("%s: decoded as %+v, error %v; want %+v", name, got, err, want)
	}
	if encoded, err := marshal(want); err != nil || !bytes.Equal(encoded, recorded) {
		t.Errorf("%s: encoded as %x, error %v; recorded %x", name, encoded, err, recorded)
	}
}
