package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/cloud"
	"badgerbay/internal/ident"
)

// listSnapshot is the machine list as it was at an instant.
type listSnapshot struct {
	at       time.Time
	machines []cloud.Machine
}

// cloudService serves the project's fake of the cloud over HTTP, with a delayed machine list.
type cloudService struct {
	w         *world
	addr      string
	down      bool
	snapshots []listSnapshot
	// neverUp, if set, reports whether the machines of a request never come up.
	neverUp func(cloud.Offer) bool
}

func startCloud(ctx context.Context, w *world) (*cloudService, error) {
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return nil, err
	}
	c := &cloudService{w: w, addr: listener.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(c.serve)}
	go server.Serve(listener)
	context.AfterFunc(ctx, func() { server.Close() })
	return c, nil
}

// snapshot records the machine list; the caller holds the lock of the world.
func (c *cloudService) snapshot() {
	machines, err := c.w.machines.List(c.w.clock.Now())
	if err != nil {
		return
	}
	c.snapshots = append(c.snapshots, listSnapshot{time.Now(), machines})
	if len(c.snapshots) > 1000 {
		c.snapshots = c.snapshots[500:]
	}
}

// listed returns the list as of a lag ago: the usual one, or now and then up to twice as long.
func (c *cloudService) listed() []cloud.Machine {
	lag := c.w.params.Cloud.ListLagS
	if rand.IntN(5) == 0 {
		lag *= 1 + rand.Float64()
	}
	at := time.Now().Add(-time.Duration(lag * float64(time.Second)))
	for _, s := range slices.Backward(c.snapshots) {
		if !s.at.After(at) {
			return s.machines
		}
	}
	return nil
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	w.Write(data)
}

func (c *cloudService) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		return
	}
	time.Sleep(50 * time.Millisecond)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.down {
		reply(w, http.StatusServiceUnavailable, map[string]any{"error": "trouble"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /flavors":
		var frames []map[string]any
		for _, t := range c.w.machines.Types {
			frames = append(frames, map[string]any{"label": t.Name, "cpus": t.Capacity.CPUs, "accelerators": 0.0,
				"memoryGb": t.Capacity.MemoryGB, "localGb": t.CacheGB, "fetchGbPerS": t.FetchGBps, "hourly": t.HourlyPrice,
				"marketPrice": t.HourlySpotPrice, "readyS": t.BootTime.Seconds(), "halls": t.Zones})
		}
		reply(w, http.StatusOK, map[string]any{"frames": frames})
	case "POST /hosts":
		c.hire(w, body)
	case "POST /hosts/release":
		var in struct {
			Machines []ident.MachineID `msgpack:"shambas"`
		}
		if msgpack.Unmarshal(body, &in) != nil || len(in.Machines) > cloud.MaxDeprovisionCount {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.w.log.add("cloud: release %v", in.Machines)
		for _, id := range in.Machines {
			c.w.removeMachine(id)
		}
		w.WriteHeader(http.StatusOK)
	case "GET /hosts":
		c.list(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloudService) hire(w http.ResponseWriter, body []byte) {
	var in struct {
		Name  string            `msgpack:"hire"`
		Type  ident.MachineType `msgpack:"frame"`
		Zone  ident.Zone        `msgpack:"hall"`
		Spot  bool              `msgpack:"loaner"`
		Count int               `msgpack:"count"`
	}
	if msgpack.Unmarshal(body, &in) != nil || in.Name == "" || in.Count < 1 || in.Count > cloud.MaxProvisionCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	offer := cloud.Offer{Type: in.Type, Zone: in.Zone, Spot: in.Spot}
	c.w.machines.BootTime = c.bootTime(offer)
	ids, err := c.w.machines.Provision(c.w.clock.Now(), in.Name, offer, in.Count)
	c.w.log.add("cloud: hire %s %s %s loaner=%v count=%d: %v %v", in.Name, in.Type, in.Zone, in.Spot, in.Count, ids, err)
	if err != nil {
		reply(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
		return
	}
	reply(w, http.StatusOK, map[string]any{"shambas": ids})
}

// bootTime returns the function that draws the boot times of the machines of one request.
func (c *cloudService) bootTime(offer cloud.Offer) func() time.Duration {
	t := c.w.machines.Type(offer.Type)
	if c.neverUp != nil && c.neverUp(offer) {
		c.w.log.add("cloud: the machines of this request never come up")
		return func() time.Duration { return time.Hour }
	}
	return func() time.Duration {
		if t == nil {
			return 0
		}
		return time.Duration(float64(t.BootTime) * (0.9 + 0.2*rand.Float64()))
	}
}

func (c *cloudService) list(w http.ResponseWriter, r *http.Request) {
	since := ident.MachineID(r.URL.Query().Get("since"))
	size, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || size < 1 || size > 500 {
		size = 500
	}
	page := []cloud.Machine{}
	more := false
	for _, m := range c.listed() {
		if m.ID <= since {
			continue
		}
		if len(page) == size {
			more = true
			break
		}
		page = append(page, m)
	}
	reply(w, http.StatusOK, map[string]any{"shambas": page, "more": more})
}
