package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// spec is what a worker needs to know of a job. Users upload it before they submit the job.
type spec struct {
	entries        int
	cpus, memoryGB float64
	bundle         string
	imageGB        float64
	service, gang  bool
	mistaken       bool          // each task fails on every machine at the end of its run time
	runTime        time.Duration // of one task, unless it is a service
}

// jobBook holds the descriptions that users have uploaded.
type jobBook struct {
	mu    sync.Mutex
	specs map[string]spec
}

func (b *jobBook) upload(id string, s spec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.specs[id] = s
}

func (b *jobBook) find(task string) (spec, bool) {
	job, _, _ := strings.Cut(task, "/")
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.specs[job]
	return s, ok
}

type task struct {
	id      string
	attempt uint64
	state   string
	cause   string
	spec    spec
	until   time.Time // end of the run, or of the wait for the gang; zero for a replica that runs
}

// onMachine reports whether the task has its image and has not ended.
func (t *task) onMachine() bool { return t.state == "running" || t.state == "gathering" }

type order struct {
	Verb   string  `msgpack:"verb"`
	Entry  string  `msgpack:"entry"`
	Try    uint64  `msgpack:"try"`
	LeaveS float64 `msgpack:"leaveS"`
}

type orders struct {
	Seal   uint64  `msgpack:"seal"`
	Shift  uint64  `msgpack:"shift"`
	Clerk  string  `msgpack:"clerk"`
	Orders []order `msgpack:"orders"`
}

// gangBook knows which tasks of each attempt of a gang wait or run.
type gangBook struct {
	wait time.Duration // how long a task waits for the others

	mu      sync.Mutex
	members map[string]map[string]bool
	begun   map[string]bool
}

func gangKey(t *task) string {
	job, _, _ := strings.Cut(t.id, "/")
	return fmt.Sprintf("%s try %d", job, t.attempt)
}

func (g *gangBook) join(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(t)
	if g.members[key] == nil {
		g.members[key] = map[string]bool{}
	}
	g.members[key][t.id] = true
	g.begun[key] = g.begun[key] || len(g.members[key]) == t.spec.entries
}

func (g *gangBook) leave(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members[gangKey(t)], t.id)
}

// complete reports whether all tasks of the attempt have waited at the same time.
func (g *gangBook) complete(t *task) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.begun[gangKey(t)]
}

// taskObserver is told when a task starts or ends on a machine.
type taskObserver func(machine, task string, attempt uint64, event string)

// worker is the stand-in of the worker of one machine.
type worker struct {
	mu      sync.Mutex
	m       *machine
	addr    string
	nodes   []nodeAddr
	book    *jobBook
	gangs   *gangBook
	observe taskObserver
	rec     *recorder
	report  time.Duration
	lease   time.Duration
	stop    context.CancelFunc

	dead               bool // the machine has died or was deleted
	shift, tally, seal uint64
	renewed            time.Time // when the last answered report was sent
	tasks              []*task
	images             map[string]bool
	fetches            map[string]time.Time // when the fetch of an image will end
	doneTasks          map[string]bool
	dirty              chan struct{} // holds an element if something has changed since the last report
}

type nodeAddr struct{ name, addr string }

// startWorker starts the worker of a machine that is up.
func startWorker(ctx context.Context, m *machine, w *worker) error {
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	serving := ctx
	ctx, cancel := context.WithCancel(ctx)
	w.m, w.addr, w.stop = m, listener.Addr().String(), cancel
	w.shift, w.renewed = 1, time.Now()
	w.doneTasks, w.dirty = map[string]bool{}, make(chan struct{}, 1)
	w.images, w.fetches = map[string]bool{}, map[string]time.Time{}
	m.worker = w
	server := &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	go server.Serve(listener)
	context.AfterFunc(serving, func() { server.Close() })
	go w.runTasks(ctx)
	go w.sendReports(ctx)
	return nil
}

// runTasks advances the tasks and the lease until ctx ends.
func (w *worker) runTasks(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.mu.Lock()
			w.advance(time.Now())
			w.mu.Unlock()
		case <-ctx.Done():
			w.mu.Lock()
			w.killAll("machine gone")
			w.mu.Unlock()
			return
		}
	}
}

func (w *worker) markChanged() {
	select {
	case w.dirty <- struct{}{}:
	default:
	}
}

func (w *worker) advance(now time.Time) {
	if now.Sub(w.renewed) > w.lease {
		w.rec.logf("worker %s: lease expired in session %d with %d tasks", w.m.id, w.shift, w.running())
		w.killAll("lease expired")
		w.shift++
		w.renewed = now
		w.markChanged()
	}
	w.advanceFetches(now)
	for _, t := range w.tasks {
		switch {
		case t.state == "fetching" && w.images[t.spec.bundle]:
			w.begin(now, t)
		case t.state == "gathering":
			w.gather(now, t)
		case t.state == "running" && !t.until.IsZero() && now.After(t.until):
			w.finish(t)
		}
	}
}

// advanceFetches begins the fetches of the images that tasks wait for, ends those that are complete, and
// gives up those that no task waits for any more.
func (w *worker) advanceFetches(now time.Time) {
	waiting := map[string]float64{}
	for _, t := range w.tasks {
		if t.state == "fetching" && !w.images[t.spec.bundle] {
			waiting[t.spec.bundle] = t.spec.imageGB
		}
	}
	for bundle, gb := range waiting {
		if ends, known := w.fetches[bundle]; !known {
			w.fetches[bundle] = now.Add(time.Duration(gb / w.m.typ.fetchGBs * float64(time.Second)))
		} else if now.After(ends) {
			w.images[bundle] = true
			w.rec.logf("worker %s: has fetched %s", w.m.id, bundle)
		}
	}
	for bundle := range w.fetches {
		if _, wanted := waiting[bundle]; !wanted || w.images[bundle] {
			if !w.images[bundle] {
				w.rec.logf("worker %s: gives up the fetch of %s, no task waits for it", w.m.id, bundle)
			}
			delete(w.fetches, bundle)
		}
	}
}

// begin runs a task that has its image, or makes a task of a gang wait for the others.
func (w *worker) begin(now time.Time, t *task) {
	if t.spec.gang && !w.doneTasks[t.id] {
		w.observe(w.m.id, t.id, t.attempt, "waits for its gang")
		t.state, t.until = "gathering", now.Add(w.gangs.wait)
		w.gangs.join(t)
		w.markChanged()
		return
	}
	w.observe(w.m.id, t.id, t.attempt, "starts")
	t.state, t.until = "running", time.Time{}
	switch {
	case w.doneTasks[t.id]:
		t.until = now
	case !t.spec.service:
		t.until = now.Add(t.spec.runTime)
	}
	w.markChanged()
}

// gather runs a task of a gang that is complete, or ends it when it has waited too long.
func (w *worker) gather(now time.Time, t *task) {
	if w.gangs.complete(t) {
		w.observe(w.m.id, t.id, t.attempt, "starts")
		t.state, t.until = "running", now.Add(t.spec.runTime)
		w.markChanged()
	} else if now.After(t.until) {
		w.exit(t, "incomplete")
	}
}

func (w *worker) finish(t *task) {
	if t.spec.mistaken {
		w.exit(t, "error")
		return
	}
	w.doneTasks[t.id] = true
	w.exit(t, "done")
}

func (w *worker) exit(t *task, cause string) {
	if t.onMachine() {
		w.observe(w.m.id, t.id, t.attempt, "ends ("+cause+")")
	}
	t.state, t.cause = "exited", cause
	w.gangs.leave(t)
	w.markChanged()
}

func (w *worker) running() int {
	n := 0
	for _, t := range w.tasks {
		if t.onMachine() {
			n++
		}
	}
	return n
}

func (w *worker) killAll(why string) {
	for _, t := range w.tasks {
		if t.onMachine() {
			w.observe(w.m.id, t.id, t.attempt, "ends ("+why+")")
		}
		w.gangs.leave(t)
	}
	w.tasks = nil
}

// encodeReport returns the next report. The caller must hold mu.
func (w *worker) encodeReport() []byte {
	w.advance(time.Now())
	w.tally++
	entries := []map[string]any{}
	for _, t := range w.tasks {
		entry := map[string]any{"entry": t.id, "try": t.attempt, "standing": t.state}
		if t.cause != "" {
			entry["cause"] = t.cause
		}
		entries = append(entries, entry)
	}
	data, err := msgpack.Marshal(map[string]any{"shamba": w.m.id, "addr": w.addr, "frame": w.m.typ.name, "hall": w.m.zone,
		"loaner": w.m.spot, "shift": w.shift, "tally": w.tally, "seal": w.seal, "recallS": nil, "entries": entries})
	if err != nil {
		panic(err)
	}
	return data
}

// sendReports reports to one node at a time until ctx ends.
func (w *worker) sendReports(ctx context.Context) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	at := rand.IntN(len(w.nodes))
	for ctx.Err() == nil {
		next, wait := w.sendReport(ctx, client, at)
		changed := w.dirty
		if wait < w.report/2 {
			changed = nil
		}
		at = next
		timer := time.NewTimer(wait)
		least := time.After(500 * time.Millisecond)
		select {
		case <-timer.C:
		case <-changed:
			select {
			case <-least:
			case <-ctx.Done():
			}
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// sendReport sends one report. It returns the node for the next one and the time until then.
func (w *worker) sendReport(ctx context.Context, client *http.Client, at int) (int, time.Duration) {
	other := (at + 1) % len(w.nodes)
	w.mu.Lock()
	body, shift := w.encodeReport(), w.shift
	w.mu.Unlock()
	sent := time.Now()
	status, data, err := exchange(ctx, client, http.MethodPost, w.nodes[at].addr, "/agent/beat", body)
	if err != nil {
		return other, time.Second
	}
	var in orders
	if len(data) > 0 && msgpack.Unmarshal(data, &in) != nil {
		return other, time.Second
	}
	switch status {
	case http.StatusOK:
		w.mu.Lock()
		defer w.mu.Unlock()
		if shift == w.shift && in.Seal >= w.seal {
			w.learn(in.Seal)
			w.renewed = sent
			w.execute(in.Orders)
		}
		return at, time.Duration(float64(w.report) * (0.75 + 0.5*rand.Float64()))
	case http.StatusMisdirectedRequest:
		client.CloseIdleConnections()
		named := slices.IndexFunc(w.nodes, func(n nodeAddr) bool { return n.name == in.Clerk })
		if named >= 0 && named != at {
			return named, time.Duration(rand.Int64N(int64(500 * time.Millisecond)))
		}
	}
	return other, time.Second
}

func (w *worker) learn(seal uint64) {
	if seal > w.seal {
		w.seal = seal
		w.markChanged()
	}
}

func (w *worker) execute(list []order) {
	for _, o := range list {
		at := slices.IndexFunc(w.tasks, func(t *task) bool { return t.id == o.Entry && t.attempt == o.Try })
		switch {
		case o.Verb == "launch" && at < 0:
			w.launch(o)
		case o.Verb == "halt" && at >= 0 && w.tasks[at].state != "exited":
			w.exit(w.tasks[at], "stopped")
		case o.Verb == "reap" && at >= 0 && w.tasks[at].state == "exited":
			w.tasks = slices.Delete(w.tasks, at, at+1)
			w.markChanged()
		}
	}
}

func (w *worker) launch(o order) {
	t := &task{id: o.Entry, attempt: o.Try, state: "fetching"}
	s, known := w.book.find(o.Entry)
	t.spec = s
	cpus, memory, busy := w.m.typ.cpus, w.m.typ.memoryGB, false
	for _, other := range w.tasks {
		if other.state != "exited" {
			cpus, memory = cpus-other.spec.cpus, memory-other.spec.memoryGB
			busy = busy || other.id == t.id
		}
	}
	refusal := ""
	switch {
	case !known:
		refusal = "unknown"
	case busy:
		refusal = "busy"
	case s.cpus > cpus+1e-9 || s.memoryGB > memory+1e-9:
		refusal = "no_room"
	}
	w.tasks = append(w.tasks, t)
	if refusal != "" {
		w.exit(t, refusal)
		return
	}
	w.markChanged()
}

// die ends everything on the machine. Requests to it are not answered any more.
func (w *worker) die() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	w.stop()
}

// ServeHTTP serves direct commands and status requests.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	dead := w.dead
	w.mu.Unlock()
	if dead {
		<-r.Context().Done()
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTxnBytes))
	if err != nil {
		return
	}
	var in orders
	if r.URL.Path == "/do" && (msgpack.Unmarshal(body, &in) != nil || in.Seal == 0 || in.Shift == 0) {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	code := http.StatusOK
	if r.URL.Path == "/do" {
		w.advance(time.Now())
		if in.Seal < w.seal || in.Shift != w.shift {
			code = http.StatusConflict
		} else {
			w.learn(in.Seal)
			w.execute(in.Orders)
		}
	}
	rw.WriteHeader(code)
	rw.Write(w.encodeReport())
}

// exchange sends a request and returns the status and the body of the response.
func exchange(ctx context.Context, client *http.Client, method, addr, path string, body []byte) (int, []byte, error) {
	req, err := newRequest(ctx, method, addr, path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxTxnBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("response of %s: %w", addr, err)
	}
	return resp.StatusCode, data, nil
}

// listenLoopback listens on a free port of the loopback address.
func listenLoopback() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }
