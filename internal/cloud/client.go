// Package cloud rents machines, returns them, and keeps track of what the
// cloud says it has.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
	"badgerbay/internal/wire"
)

// Errors of the cloud. ErrUncertain: the request may have been executed, or
// may still be.
var (
	ErrNoCapacity     = errors.New("the cloud has no capacity of that kind")
	ErrUnavailable    = errors.New("the cloud is in trouble or throttles us")
	ErrOutcomeUnknown = errors.New("the cloud did not answer")
	ErrMalformed      = errors.New("the cloud refused the request as malformed")
)

const (
	maxAnswerBytes = 2 << 20
	callTimeout    = 4 * time.Second
	listPageSize   = 500
	// MaxProvisionCount and MaxRelease are the cloud's limits on one request.
	MaxProvisionCount   = 50
	MaxDeprovisionCount = 100
)

// Offer is what a rental request asks for.
type Offer struct {
	Type ident.MachineType `msgpack:"ty" json:"ty"`
	Zone ident.Zone        `msgpack:"z" json:"z"`
	Spot bool              `msgpack:"sp,omitempty" json:"sp,omitempty"`
}

// MachineState of a machine in the cloud's list.
type MachineState string

// Standings.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed"
)

// Machine is a machine as the cloud lists it.
type Machine struct {
	ID         ident.MachineID   `msgpack:"id"`
	Addr       string            `msgpack:"addr"`
	Type       ident.MachineType `msgpack:"frame"`
	Zone       ident.Zone        `msgpack:"hall"`
	Spot       bool              `msgpack:"loaner"`
	State      MachineState      `msgpack:"standing"`
	AgeSeconds float64           `msgpack:"ageS"`
}

type wireMachineType struct {
	Name            string                       `msgpack:"label"`
	CPUs            float64                      `msgpack:"cpus"`
	GPUs            float64                      `msgpack:"accelerators"`
	MemoryGB        float64                      `msgpack:"memoryGb"`
	CacheGB         float64                      `msgpack:"localGb"`
	FetchGBps       float64                      `msgpack:"fetchGbPerS"`
	HourlyPrice     float64                      `msgpack:"hourly"`
	HourlySpotPrice float64                      `msgpack:"marketPrice"`
	BootSeconds     float64                      `msgpack:"readyS"`
	Zones           wire.BoundedList[ident.Zone] `msgpack:"halls"`
}

type wireProvisionRequest struct {
	Name        string            `msgpack:"hire"`
	MachineType ident.MachineType `msgpack:"frame"`
	Zone        ident.Zone        `msgpack:"hall"`
	Spot        bool              `msgpack:"loaner"`
	Count       int               `msgpack:"count"`
}

type wireMachineIDs struct {
	Machines wire.BoundedList[ident.MachineID] `msgpack:"shambas"`
}

type wireMachineTypes struct {
	MachineTypes wire.BoundedList[wireMachineType] `msgpack:"frames"`
	Error        string                            `msgpack:"error"`
}

type wireMachineList struct {
	Machines wire.BoundedList[Machine] `msgpack:"shambas"`
	More     bool                      `msgpack:"more"`
}

// Client speaks to the cloud.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the cloud at addr.
func NewClient(addr string, rt http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + addr, http: &http.Client{Transport: rt, Timeout: callTimeout}}
}

func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	req, err := wire.NewRequest(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	status, data, err := wire.Do(c.http, req, maxAnswerBytes)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	return decodeAnswer(status, data, out)
}

func decodeAnswer(status int, data []byte, out any) error {
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if err := msgpack.Unmarshal(data, out); err != nil {
			return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
		}
		return nil
	case http.StatusServiceUnavailable:
		var w wireMachineTypes
		if msgpack.Unmarshal(data, &w) == nil && w.Error == "no capacity" {
			return ErrNoCapacity
		}
		return ErrUnavailable
	case http.StatusTooManyRequests:
		return ErrUnavailable
	case http.StatusBadRequest:
		return ErrMalformed
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// MachineTypes reads the machine types and their present prices.
func (c *Client) MachineTypes(ctx context.Context) ([]*fleet.MachineType, error) {
	var w wireMachineTypes
	if err := c.call(ctx, http.MethodGet, "/flavors", nil, &w); err != nil {
		return nil, fmt.Errorf("flavors: %w", err)
	}
	out := usableMachineTypes(w.MachineTypes)
	if len(out) == 0 {
		return nil, fmt.Errorf("flavors: %w: none that can be used", ErrOutcomeUnknown)
	}
	return out, nil
}

// EncodeMachineTypes makes the value in which machine types are kept: the cloud's own
// form.
func EncodeMachineTypes(types []*fleet.MachineType) any {
	out := make([]wireMachineType, 0, len(types))
	for _, t := range types {
		out = append(out, wireMachineType{Name: string(t.Name), CPUs: t.Capacity.CPUs, GPUs: t.Capacity.GPUs,
			MemoryGB: t.Capacity.MemoryGB, CacheGB: t.CacheGB, FetchGBps: t.FetchGBps, HourlyPrice: t.HourlyPrice,
			HourlySpotPrice: t.HourlySpotPrice, BootSeconds: t.BootTime.Seconds(), Zones: t.Zones})
	}
	return out
}

// DecodeMachineTypes reads what EncodeTypes makes.
func DecodeMachineTypes(data []byte) ([]*fleet.MachineType, error) {
	var w wire.BoundedList[wireMachineType]
	if err := msgpack.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("decoding machine types: %w", err)
	}
	out := usableMachineTypes(w)
	if len(out) == 0 {
		return nil, errors.New("no machine types that can be used")
	}
	return out, nil
}

// maxMachineTypeNameBytes bounds the name of a machine type: records and submissions name it.
const maxMachineTypeNameBytes = 128

// usable tells whether the cloud describes a machine that something can run on.
func (f *wireMachineType) usable() bool {
	return f.Name != "" && len(f.Name) <= maxMachineTypeNameBytes && f.CPUs > 0 && f.MemoryGB > 0 && f.GPUs >= 0 &&
		!math.IsInf(f.CPUs+f.MemoryGB+f.GPUs, 0)
}

func usableMachineTypes(frames []wireMachineType) []*fleet.MachineType {
	var out []*fleet.MachineType
	for _, f := range frames {
		if !f.usable() {
			continue
		}
		out = append(out, &fleet.MachineType{Name: ident.MachineType(f.Name),
			Capacity: jobs.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemoryGB: f.MemoryGB},
			CacheGB:  f.CacheGB, FetchGBps: f.FetchGBps, HourlyPrice: f.HourlyPrice, HourlySpotPrice: f.HourlySpotPrice,
			BootTime: clock.Seconds(f.BootSeconds), Zones: f.Zones})
	}
	return out
}

// Provision asks for machines under a name that makes a repeat harmless.
func (c *Client) Provision(ctx context.Context, name string, o Offer, count int) ([]ident.MachineID, error) {
	var w wireMachineIDs
	body := wireProvisionRequest{Name: name, MachineType: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count}
	if err := c.call(ctx, http.MethodPost, "/hosts", body, &w); err != nil {
		return nil, fmt.Errorf("hire %s: %w", name, err)
	}
	return w.Machines, nil
}

// Deprovision returns machines. Once it has succeeded they are gone.
func (c *Client) Deprovision(ctx context.Context, ids []ident.MachineID) error {
	return c.call(ctx, http.MethodPost, "/hosts/release", wireMachineIDs{Machines: ids}, nil)
}

// ListMachines reads one page of the machine list.
func (c *Client) ListMachines(ctx context.Context, since ident.MachineID) ([]Machine, bool, error) {
	q := url.Values{"page": {strconv.Itoa(listPageSize)}}
	if since != "" {
		q.Set("since", string(since))
	}
	var w wireMachineList
	if err := c.call(ctx, http.MethodGet, "/hosts?"+q.Encode(), nil, &w); err != nil {
		return nil, false, fmt.Errorf("list: %w", err)
	}
	return w.Machines, w.More && len(w.Machines) > 0, nil
}
