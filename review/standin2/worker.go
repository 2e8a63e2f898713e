package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

const (
	reportTimeout = 4 * time.Second
	nextNodeDelay = time.Second
	minReportGap  = 500 * time.Millisecond
)

// machine is a machine with its worker: the project's fake of a worker, served over HTTP.
type machine struct {
	w      *world
	worker *fake.Worker
	link   *link // to everything else
	node   int   // the controller that it reports to
	hung   bool
	// takenAt is when the cloud takes the machine, if it has given notice.
	takenAt time.Time
	gone    chan struct{} // closed when the machine no longer exists

	server    *http.Server
	lastState string // of the last report
}

// orders is the answer to a report, or a message of direct commands.
type orders struct {
	Token    uint64 `msgpack:"seal"`
	Session  uint64 `msgpack:"shift"`
	Leader   string `msgpack:"clerk"`
	Commands []struct {
		Kind         string  `msgpack:"verb"`
		Task         string  `msgpack:"entry"`
		Attempt      uint64  `msgpack:"try"`
		GraceSeconds float64 `msgpack:"leaveS"`
	} `msgpack:"orders"`
}

func (o *orders) decode() []fleet.Command {
	var out []fleet.Command
	for _, c := range o.Commands {
		if id, err := ident.ParseTaskID(c.Task); err == nil {
			out = append(out, fleet.Command{Kind: fleet.CommandKind(c.Kind), Task: id, Attempt: ident.Attempt(c.Attempt), GracePeriod: clock.Seconds(c.GraceSeconds)})
		}
	}
	return out
}

// startMachine starts the worker of a machine; the caller holds the lock of the world.
func (w *world) startMachine(ctx context.Context, worker *fake.Worker) error {
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return err
	}
	worker.Addr = listener.Addr().String()
	m := &machine{w: w, worker: worker, link: newLink(), node: rand.IntN(len(w.nodes)), gone: make(chan struct{})}
	w.running[worker.ID] = m
	m.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { m.serve(ctx, rw, r) })}
	go m.server.Serve(listener)
	context.AfterFunc(ctx, func() { m.server.Close() })
	go m.run(ctx)
	w.log.add("machine %s up: %s %s loaner=%v", worker.ID, worker.Type.Name, worker.Zone, worker.Spot)
	return nil
}

// removeMachine ends a machine with all that is on it; the caller holds the lock of the world.
func (w *world) removeMachine(id ident.MachineID) {
	if m := w.running[id]; m != nil {
		m.worker.KillAll(w.clock.Now())
		close(m.gone)
		delete(w.running, id)
		w.log.add("machine %s gone", id)
	}
	w.machines.Reclaim(id)
}

func (m *machine) isGone() bool {
	select {
	case <-m.gone:
		return true
	default:
		return false
	}
}

// encode returns the next report; the caller holds the lock of the world.
func (m *machine) encode() []byte {
	hb := m.worker.Heartbeat()
	entries := []map[string]any{}
	for _, t := range hb.Tasks {
		entry := map[string]any{"entry": t.Task.String(), "try": t.Attempt, "standing": t.State}
		if t.State == fleet.TaskExited {
			entry["cause"] = t.Cause
		}
		if t.CheckpointStored {
			entry["stored"] = true
		}
		entries = append(entries, entry)
	}
	data, err := msgpack.Marshal(map[string]any{"shamba": hb.Machine, "addr": hb.Addr, "frame": hb.Type, "hall": hb.Zone, "loaner": hb.Spot,
		"shift": hb.Session, "tally": hb.HeartbeatSeq, "seal": hb.FencingToken, "recallS": m.notice(), "entries": entries})
	if err != nil {
		panic(err)
	}
	return data
}

// notice returns the time until the cloud takes the machine, or nil.
func (m *machine) notice() any {
	if m.takenAt.IsZero() {
		return nil
	}
	return max(0, time.Until(m.takenAt).Seconds())
}

// state describes what counts as a change for the reports; the caller holds the lock of the world.
func (m *machine) state() string {
	hb := m.worker.Heartbeat()
	m.worker.HeartbeatSeq--
	out := fmt.Sprint(hb.Session, hb.FencingToken, m.takenAt.IsZero())
	for _, t := range hb.Tasks {
		out += fmt.Sprint(t.Task, t.Attempt, t.State)
	}
	return out
}

// run sends reports until the machine is gone.
func (m *machine) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	lastSent := time.Time{}
	next := time.Now()
	for ctx.Err() == nil && !m.isGone() {
		m.w.mu.Lock()
		changed := !m.hung && time.Since(lastSent) >= minReportGap && m.state() != m.lastState
		due := !m.hung && (changed || !time.Now().Before(next))
		m.w.mu.Unlock()
		if !due {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		lastSent = time.Now()
		pause := m.report(ctx, client)
		interval := m.w.params.Workers.ReportS * (0.75 + 0.5*rand.Float64())
		next = lastSent.Add(time.Duration(interval * float64(time.Second)))
		if pause >= 0 {
			next = time.Now().Add(pause)
			time.Sleep(pause)
		}
	}
}

// report sends a report. It returns the pause before the next one, or -1 if the next one is sent at the usual time.
func (m *machine) report(ctx context.Context, client *http.Client) time.Duration {
	m.w.mu.Lock()
	m.worker.Advance(m.w.clock.Now())
	m.lastState = m.state()
	data := m.encode()
	session, sent, node := m.worker.Session, m.w.clock.Now(), m.node
	m.w.mu.Unlock()
	if m.w.repeats != nil && m.w.repeats() {
		later(ctx, func() { deliver(ctx, m.w.nodes[rand.IntN(len(m.w.nodes))].clientAddr, data) })
	}
	status, body, err := m.post(ctx, client, node, data)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.hung { // the machine hangs: it goes on when it does
		return nextNodeDelay
	}
	var in orders
	switch {
	case err != nil:
	case status == http.StatusOK && msgpack.Unmarshal(body, &in) == nil:
		commands := in.decode()
		m.worker.Advance(m.w.clock.Now())
		accepted := m.worker.HandleHeartbeatReply(m.w.clock.Now(), sent, session, ident.Epoch(in.Token), commands)
		if len(commands) > 0 {
			m.w.log.add("machine %s: answer of %s seal %d accepted=%v %v", m.worker.ID, m.w.nodes[node].label, in.Token, accepted, describe(commands))
		}
		return -1
	case status == http.StatusMisdirectedRequest && msgpack.Unmarshal(body, &in) == nil:
		if other := m.w.nodeIndex(in.Leader); other >= 0 && other != node {
			m.node = other
			return time.Duration(rand.IntN(500)) * time.Millisecond
		}
	}
	if status != http.StatusOK && status != http.StatusMisdirectedRequest && status != http.StatusServiceUnavailable && err == nil {
		m.w.log.add("machine %s: report of %d bytes answered %d by %s", m.worker.ID, len(data), status, m.w.nodes[node].label)
	}
	m.node = (node + 1) % len(m.w.nodes)
	return nextNodeDelay
}

func describe(commands []fleet.Command) string {
	if len(commands) > 8 {
		return fmt.Sprintf("%d orders from %v", len(commands), commands[0])
	}
	return fmt.Sprint(commands)
}

// post sends a report over the links of the machine and of the controller. A report that a link holds is delivered when
// the link is up again, although the worker has given up.
func (m *machine) post(ctx context.Context, client *http.Client, node int, data []byte) (int, []byte, error) {
	n := m.w.nodes[node]
	started := time.Now()
	waitOut := func() {
		time.Sleep(max(0, reportTimeout-time.Since(started)))
	}
	for _, l := range []*link{m.link, n.workerLink} {
		switch l.current() {
		case linkHeld:
			go func() {
				if m.link.await(ctx) == linkUp && n.workerLink.await(ctx) == linkUp {
					deliver(ctx, n.clientAddr, data)
				}
			}()
			waitOut()
			return 0, nil, context.DeadlineExceeded
		case linkReset, linkRefuse:
			return 0, nil, net.ErrClosed
		}
	}
	requestCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(requestCtx, http.MethodPost, "http://"+n.clientAddr+"/agent/beat", bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 256<<10))
	for _, l := range []*link{m.link, n.workerLink} {
		if l.current() != linkUp {
			waitOut()
			return 0, nil, context.DeadlineExceeded
		}
	}
	return response.StatusCode, body, err
}

func deliver(ctx context.Context, addr string, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/agent/beat", bytes.NewReader(data))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(r); err == nil {
		response.Body.Close()
	}
}

// serve executes direct commands. While the machine hangs or its link holds messages, they wait, and are executed
// afterwards although the sender has given up.
func (m *machine) serve(ctx context.Context, rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 256<<10))
	var in orders
	if err != nil || r.URL.Path == "/do" && msgpack.Unmarshal(body, &in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !m.reach(ctx, in.Token) {
		panic(http.ErrAbortHandler)
	}
	m.w.mu.Lock()
	code := http.StatusOK
	m.worker.Advance(m.w.clock.Now())
	if r.URL.Path == "/do" {
		if ident.Epoch(in.Token) < m.worker.FencingToken || ident.Session(in.Session) != m.worker.Session {
			code = http.StatusConflict
		}
		commands := in.decode()
		if len(commands) > 0 {
			m.w.log.add("machine %s: /do seal %d shift %d: %d %s", m.worker.ID, in.Token, in.Session, code, describe(commands))
		}
		m.worker.HandleCommand(m.w.clock.Now(), ident.Epoch(in.Token), ident.Session(in.Session), commands)
	}
	data := m.encode()
	m.w.mu.Unlock()
	if m.w.repeats != nil && m.w.repeats() {
		later(ctx, func() {
			if m.reach(ctx, in.Token) {
				m.w.mu.Lock()
				defer m.w.mu.Unlock()
				m.w.log.add("machine %s: repeat of /do seal %d shift %d %s", m.worker.ID, in.Token, in.Session, describe(in.decode()))
				m.worker.Advance(m.w.clock.Now())
				m.worker.HandleCommand(m.w.clock.Now(), ident.Epoch(in.Token), ident.Session(in.Session), in.decode())
			}
		})
	}
	if !m.reach(ctx, in.Token) {
		panic(http.ErrAbortHandler)
	}
	rw.WriteHeader(code)
	rw.Write(data)
}

// reach waits until a message of the controller with the token reaches the machine, or the machine's answer the
// controller. It returns false if it never does.
func (m *machine) reach(ctx context.Context, token uint64) bool {
	for ctx.Err() == nil && !m.isGone() {
		m.w.mu.Lock()
		hung := m.hung
		m.w.mu.Unlock()
		sender := linkUp
		if i := m.w.nodeIndex(m.w.state.leaderOfEpoch(token)); i >= 0 {
			sender = m.w.nodes[i].workerLink.current()
		}
		own := m.link.current()
		if own == linkReset || sender == linkReset {
			return false
		}
		if !hung && own == linkUp && sender == linkUp {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
