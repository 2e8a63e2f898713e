package cloud

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

const (
	maxResponseBytes = 2 << 20
	callTimeout      = 4 * time.Second
	listPageSize     = 500
)

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
}

type wireMachineList struct {
	Machines wire.BoundedList[Machine] `msgpack:"shambas"`
	More     bool                      `msgpack:"more"`
}

type wireError struct {
	Error string `msgpack:"error"`
}

// noCapacityErrorText is the error text that distinguishes a lack of capacity from other reasons for a status of 503.
const noCapacityErrorText = "no capacity"

// Client calls the cloud's API. Each of its errors wraps one of this package's errors; the error of a cancelled call
// wraps ErrOutcomeUnknown.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the cloud whose API is served at addr, a host and port.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + addr, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// MachineTypes returns the machine types that the cloud offers, with their current prices. It omits types on which no
// task can run, or whose names do not fit into records.
func (c *Client) MachineTypes(ctx context.Context) ([]*fleet.MachineType, error) {
	var response wireMachineTypes
	if err := c.call(ctx, http.MethodGet, "/flavors", nil, &response); err != nil {
		return nil, fmt.Errorf("reading machine types: %w", err)
	}
	types, err := usableMachineTypes(response.MachineTypes)
	if err != nil {
		return nil, fmt.Errorf("reading machine types: %w", err)
	}
	return types, nil
}

// Provision requests machines of an offer and returns their IDs. The name makes the request idempotent: a retry returns
// the machines that the first request provisioned.
func (c *Client) Provision(ctx context.Context, name string, offer Offer, count int) ([]ident.MachineID, error) {
	request := wireProvisionRequest{Name: name, MachineType: offer.Type, Zone: offer.Zone, Spot: offer.Spot, Count: count}
	var response wireMachineIDs
	if err := c.call(ctx, http.MethodPost, "/hosts", request, &response); err != nil {
		return nil, fmt.Errorf("provisioning %s: %w", name, err)
	}
	return response.Machines, nil
}

// Deprovision deletes machines: once it has succeeded, they no longer exist. It is idempotent.
func (c *Client) Deprovision(ctx context.Context, ids []ident.MachineID) error {
	if err := c.call(ctx, http.MethodPost, "/hosts/release", wireMachineIDs{Machines: ids}, nil); err != nil {
		return fmt.Errorf("deprovisioning %d machines: %w", len(ids), err)
	}
	return nil
}

// ListMachines returns one page of the machine list. The page begins after the machine whose ID is given in the
// argument after, or at the start of the list if that is empty. It also reports whether more pages follow.
func (c *Client) ListMachines(ctx context.Context, after ident.MachineID) (machines []Machine, more bool, err error) {
	query := url.Values{"page": {strconv.Itoa(listPageSize)}}
	if after != "" {
		query.Set("since", string(after))
	}
	var response wireMachineList
	if err = c.call(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &response); err != nil {
		return nil, false, fmt.Errorf("listing machines: %w", err)
	}
	return response.Machines, response.More && len(response.Machines) > 0, nil
}

// call sends a request and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	req, err := wire.NewRequest(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	status, data, err := wire.Do(c.http, req, maxResponseBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return decodeResponse(status, data, out)
}

func decodeResponse(status int, data []byte, out any) error {
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if err := msgpack.Unmarshal(data, out); err != nil {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return nil
	case http.StatusServiceUnavailable:
		var refusal wireError
		if msgpack.Unmarshal(data, &refusal) == nil && refusal.Error == noCapacityErrorText {
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
