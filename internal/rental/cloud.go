// Package rental rents machines, returns them, and keeps track of what the
// cloud says it has.
package rental

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// Errors of the cloud. ErrUncertain: the request may have been executed, or
// may still be.
var (
	ErrNoCapacity = errors.New("the cloud has no capacity of that kind")
	ErrBusy       = errors.New("the cloud is in trouble or throttles us")
	ErrUncertain  = errors.New("the cloud did not answer")
	ErrMalformed  = errors.New("the cloud refused the request as malformed")
)

const (
	maxAnswer   = 2 << 20
	callTimeout = 4 * time.Second
	listPage    = 500
	// MaxHire and MaxRelease are the cloud's limits on one request.
	MaxHire    = 50
	MaxRelease = 100
)

// Offer is what a rental request asks for.
type Offer struct {
	Type unit.MachineType `msgpack:"ty" json:"ty"`
	Zone unit.Zone        `msgpack:"z" json:"z"`
	Spot bool             `msgpack:"sp,omitempty" json:"sp,omitempty"`
}

// Standing of a machine in the cloud's list.
type Standing string

// Standings.
const (
	Starting Standing = "starting"
	Running  Standing = "running"
	Failed   Standing = "failed"
)

// Listed is a machine as the cloud lists it.
type Listed struct {
	ID       unit.MachineID   `msgpack:"id"`
	Addr     string           `msgpack:"addr"`
	Type     unit.MachineType `msgpack:"frame"`
	Zone     unit.Zone        `msgpack:"hall"`
	Spot     bool             `msgpack:"loaner"`
	Standing Standing         `msgpack:"standing"`
	AgeS     float64          `msgpack:"ageS"`
}

type wireFlavor struct {
	Label        string                      `msgpack:"label"`
	CPUs         float64                     `msgpack:"cpus"`
	Accelerators float64                     `msgpack:"accelerators"`
	MemoryGB     float64                     `msgpack:"memoryGb"`
	LocalGB      float64                     `msgpack:"localGb"`
	FetchGBps    float64                     `msgpack:"fetchGbPerS"`
	Hourly       float64                     `msgpack:"hourly"`
	MarketPrice  float64                     `msgpack:"marketPrice"`
	ReadyS       float64                     `msgpack:"readyS"`
	Halls        wire.BoundedList[unit.Zone] `msgpack:"halls"`
}

type wireHire struct {
	Hire   string           `msgpack:"hire"`
	Frame  unit.MachineType `msgpack:"frame"`
	Hall   unit.Zone        `msgpack:"hall"`
	Loaner bool             `msgpack:"loaner"`
	Count  int              `msgpack:"count"`
}

type wireNames struct {
	Shambas wire.BoundedList[unit.MachineID] `msgpack:"shambas"`
}

type wireCloud struct {
	Frames wire.BoundedList[wireFlavor] `msgpack:"frames"`
	Error  string                       `msgpack:"error"`
}

type wireList struct {
	Shambas wire.BoundedList[Listed] `msgpack:"shambas"`
	More    bool                     `msgpack:"more"`
}

// Cloud speaks to the cloud.
type Cloud struct {
	base string
	http *http.Client
}

// NewCloud returns a client of the cloud at addr.
func NewCloud(addr string, rt http.RoundTripper) *Cloud {
	return &Cloud{base: "http://" + addr, http: &http.Client{Transport: rt, Timeout: callTimeout}}
}

func (c *Cloud) call(ctx context.Context, method, path string, body, out any) error {
	req, err := wire.NewRequest(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	status, data, err := wire.Do(c.http, req, maxAnswer)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUncertain, err)
	}
	return sortAnswer(status, data, out)
}

func sortAnswer(status int, data []byte, out any) error {
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if err := msgpack.Unmarshal(data, out); err != nil {
			return fmt.Errorf("%w: %v", ErrUncertain, err)
		}
		return nil
	case http.StatusServiceUnavailable:
		var w wireCloud
		if msgpack.Unmarshal(data, &w) == nil && w.Error == "no capacity" {
			return ErrNoCapacity
		}
		return ErrBusy
	case http.StatusTooManyRequests:
		return ErrBusy
	case http.StatusBadRequest:
		return ErrMalformed
	}
	return fmt.Errorf("%w: status %d", ErrUncertain, status)
}

// Flavors reads the machine types and their present prices.
func (c *Cloud) Flavors(ctx context.Context) ([]*fleet.Type, error) {
	var w wireCloud
	if err := c.call(ctx, http.MethodGet, "/flavors", nil, &w); err != nil {
		return nil, fmt.Errorf("flavors: %w", err)
	}
	out := typesOf(w.Frames)
	if len(out) == 0 {
		return nil, fmt.Errorf("flavors: %w: none that can be used", ErrUncertain)
	}
	return out, nil
}

// EncodeTypes makes the value in which machine types are kept: the cloud's own
// form.
func EncodeTypes(types []*fleet.Type) any {
	out := make([]wireFlavor, 0, len(types))
	for _, t := range types {
		out = append(out, wireFlavor{Label: string(t.Name), CPUs: t.Capacity.CPUs, Accelerators: t.Capacity.GPUs,
			MemoryGB: t.Capacity.MemoryGB, LocalGB: t.CacheGB, FetchGBps: t.FetchGBps, Hourly: t.Price,
			MarketPrice: t.SpotPrice, ReadyS: t.Boot.Seconds(), Halls: t.Zones})
	}
	return out
}

// DecodeTypes reads what EncodeTypes makes.
func DecodeTypes(data []byte) ([]*fleet.Type, error) {
	var w wire.BoundedList[wireFlavor]
	if err := msgpack.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("decoding machine types: %w", err)
	}
	out := typesOf(w)
	if len(out) == 0 {
		return nil, errors.New("no machine types that can be used")
	}
	return out, nil
}

// maxLabel bounds the name of a machine type: records and submissions name it.
const maxLabel = 128

// usable tells whether the cloud describes a machine that something can run on.
func (f *wireFlavor) usable() bool {
	return f.Label != "" && len(f.Label) <= maxLabel && f.CPUs > 0 && f.MemoryGB > 0 && f.Accelerators >= 0 &&
		!math.IsInf(f.CPUs+f.MemoryGB+f.Accelerators, 0)
}

func typesOf(frames []wireFlavor) []*fleet.Type {
	var out []*fleet.Type
	for _, f := range frames {
		if !f.usable() {
			continue
		}
		out = append(out, &fleet.Type{Name: unit.MachineType(f.Label),
			Capacity: checkpoint.Resources{CPUs: f.CPUs, GPUs: f.Accelerators, MemoryGB: f.MemoryGB},
			CacheGB:  f.LocalGB, FetchGBps: f.FetchGBps, Price: f.Hourly, SpotPrice: f.MarketPrice,
			Boot: unit.Seconds(f.ReadyS), Zones: f.Halls})
	}
	return out
}

// Hire asks for machines under a name that makes a repeat harmless.
func (c *Cloud) Hire(ctx context.Context, name string, o Offer, count int) ([]unit.MachineID, error) {
	var w wireNames
	body := wireHire{Hire: name, Frame: o.Type, Hall: o.Zone, Loaner: o.Spot, Count: count}
	if err := c.call(ctx, http.MethodPost, "/hosts", body, &w); err != nil {
		return nil, fmt.Errorf("hire %s: %w", name, err)
	}
	return w.Shambas, nil
}

// Release returns machines. Once it has succeeded they are gone.
func (c *Cloud) Release(ctx context.Context, ids []unit.MachineID) error {
	return c.call(ctx, http.MethodPost, "/hosts/release", wireNames{Shambas: ids}, nil)
}

// List reads one page of the machine list.
func (c *Cloud) List(ctx context.Context, since unit.MachineID) ([]Listed, bool, error) {
	q := url.Values{"page": {strconv.Itoa(listPage)}}
	if since != "" {
		q.Set("since", string(since))
	}
	var w wireList
	if err := c.call(ctx, http.MethodGet, "/hosts?"+q.Encode(), nil, &w); err != nil {
		return nil, false, fmt.Errorf("list: %w", err)
	}
	return w.Shambas, w.More && len(w.Shambas) > 0, nil
}
