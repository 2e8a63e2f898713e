package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// machineType is a machine type of the site file.
type machineType struct {
	name              string
	cpus, memoryGB    float64
	hourly, spotPrice float64
	cacheGB, fetchGBs float64
	boot              time.Duration
	zones             []string
}

// machine is a rented machine with its worker, once that has started.
type machine struct {
	id      string
	typ     *machineType
	zone    string
	spot    bool
	rented  time.Time
	upSince time.Time // zero until it is up
	gone    time.Time // zero while it exists
	worker  *worker
	died    time.Time // when it stopped by itself; zero if it did not
}

// deadListed is how long a machine that has died is listed as running.
const deadListed = 30 * time.Second

// cloud is the stand-in of the cloud.
type cloud struct {
	mu       sync.Mutex
	rec      *recorder
	calls    *bucket
	listLag  time.Duration
	types    []*machineType
	capacity map[string]int // by type, zone and kind: machines that can still be rented
	machines []*machine     // in the order of creation
	hires    map[string][]string
	nextID   int
	boot     func(*machine) // starts the worker of a machine that is up
}

func offerKey(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%t", typ, zone, spot) }

// add rents a machine that comes up after its type's boot time, or at once. The caller must hold mu.
func (c *cloud) add(typ *machineType, zone string, spot, up bool) *machine {
	m := &machine{id: fmt.Sprintf("host-%06d", c.nextID), typ: typ, zone: zone, spot: spot, rented: time.Now()}
	c.nextID++
	c.machines = append(c.machines, m)
	wait := typ.boot
	if up {
		wait = 0
		m.rented = m.rented.Add(-time.Hour)
	}
	time.AfterFunc(wait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.gone.IsZero() {
			m.upSince = time.Now()
			c.boot(m)
		}
	})
	return m
}

// kill stops a machine with all that is on it. Nothing on it answers any more.
func (c *cloud) kill(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.died = time.Now()
	m.worker.die()
}

func (c *cloud) typeOf(name string) *machineType {
	at := slices.IndexFunc(c.types, func(t *machineType) bool { return t.name == name })
	if at < 0 {
		return nil
	}
	return c.types[at]
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTxnBytes))
	if err != nil {
		return
	}
	if !c.calls.take(1) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /flavors":
		c.serveTypes(w)
	case "POST /hosts":
		c.serveRent(w, body)
	case "POST /hosts/release":
		c.serveRelease(w, body)
	case "GET /hosts":
		c.serveList(w, r.URL.Query().Get("since"))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (c *cloud) serveTypes(w http.ResponseWriter) {
	var frames []map[string]any
	for _, t := range c.types {
		frames = append(frames, map[string]any{"label": t.name, "cpus": t.cpus, "accelerators": 0.0, "memoryGb": t.memoryGB,
			"localGb": t.cacheGB, "fetchGbPerS": t.fetchGBs, "hourly": t.hourly, "marketPrice": t.spotPrice,
			"readyS": t.boot.Seconds(), "halls": t.zones})
	}
	writeBody(w, http.StatusOK, map[string]any{"frames": frames})
}

func (c *cloud) serveRent(w http.ResponseWriter, body []byte) {
	var in struct {
		Hire  string `msgpack:"hire"`
		Frame string `msgpack:"frame"`
		Hall  string `msgpack:"hall"`
		Spot  bool   `msgpack:"loaner"`
		Count int    `msgpack:"count"`
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if msgpack.Unmarshal(body, &in) != nil || c.typeOf(in.Frame) == nil || in.Count < 1 || in.Count > 50 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ids, known := c.hires[in.Hire]
	if !known {
		key := offerKey(in.Frame, in.Hall, in.Spot)
		for range min(in.Count, c.capacity[key]) {
			c.capacity[key]--
			ids = append(ids, c.add(c.typeOf(in.Frame), in.Hall, in.Spot, false).id)
		}
		if len(ids) == 0 {
			writeBody(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
			return
		}
		c.hires[in.Hire] = ids
		c.rec.logf("cloud: %s rented as %s", ids, in.Hire)
	}
	writeBody(w, http.StatusOK, map[string]any{"shambas": ids})
}

func (c *cloud) serveRelease(w http.ResponseWriter, body []byte) {
	var in struct {
		Shambas []string `msgpack:"shambas"`
	}
	if msgpack.Unmarshal(body, &in) != nil || len(in.Shambas) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.gone.IsZero() && slices.Contains(in.Shambas, m.id) {
			m.gone = time.Now()
			if m.died.IsZero() {
				c.capacity[offerKey(m.typ.name, m.zone, m.spot)]++
			}
			c.rec.logf("cloud: %s deleted", m.id)
			if m.worker != nil {
				m.worker.die()
			}
		}
	}
	w.WriteHeader(http.StatusOK)
}

// serveList lists the machines as they were listLag ago.
func (c *cloud) serveList(w http.ResponseWriter, since string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.listLag)
	list := []map[string]any{}
	for _, m := range c.machines {
		if m.id <= since || m.rented.After(at) || !m.gone.IsZero() && m.gone.Before(at) {
			continue
		}
		entry := map[string]any{"id": m.id, "addr": nil, "frame": m.typ.name, "hall": m.zone, "loaner": m.spot,
			"standing": "starting", "ageS": at.Sub(m.rented).Seconds()}
		if m.worker != nil && m.upSince.Before(at) {
			entry["standing"], entry["addr"] = "running", m.worker.addr
		}
		if !m.died.IsZero() && at.Sub(m.died) > deadListed {
			entry["standing"] = "failed"
		}
		list = append(list, entry)
	}
	writeBody(w, http.StatusOK, map[string]any{"shambas": list, "more": false})
}
