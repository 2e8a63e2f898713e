package controller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/intake"
	"badgerbay/internal/mesh/meshpb"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

const (
	// askTimeout bounds the time a poll waits for the leader, so that enough
	// of the user's two seconds is left to read the record instead.
	askTimeout      = 500 * time.Millisecond
	withdrawTimeout = 2 * time.Second
	pollBudget      = 1800 * time.Millisecond
	submitBudget    = 4 * time.Second
	reportBudget    = 3 * time.Second
)

// health tells what this node can reach.
type health struct {
	lastState atomic.Int64
	alone     atomic.Bool  // the others reach the state service and we don't
	hint      atomic.Value // string: who leads, by what the others say
}

func (h *health) stateOK(now unit.Instant) { h.lastState.Store(int64(now)) }

const (
	// stateQuiet: after so long without an answer of the state service a node
	// asks the others whether they have one.
	stateQuiet  = 2 * time.Second
	healthEvery = time.Second
)

// beatPath is where workers report.
const beatPath = "/agent/beat"

func (n *Node) routes() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.PanicHandler = func(w http.ResponseWriter, _ *http.Request, v any) {
		n.log.Error("handler panicked", "panic", v)
		w.WriteHeader(http.StatusInternalServerError)
	}
	r.GET("/up", n.up)
	r.POST("/submissions", n.submit)
	r.GET("/submissions/:id", n.ask(intake.Poll))
	r.POST("/submissions/:id/withdraw", n.ask(intake.Withdraw))
	r.POST(beatPath, n.beat)
	r.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(n.met.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2}))
	return r
}

func (n *Node) up(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	// In an outage of the state service all nodes stay up: users get their
	// 503 at once, and no node needs to become healthy again after it.
	if n.health.lastState.Load() == 0 || n.health.alone.Load() || n.view.Load().types == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errors.New("body too large")
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

func (n *Node) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(w, r, intake.MaxBody)
	if err != nil {
		w.Header().Set("Connection", "close")
		n.answer(w, "", intake.Answer{Code: http.StatusBadRequest})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitBudget)
	defer cancel()
	begun := n.clock.Now()
	id, ans := n.runSubmit(ctx, data, true)
	if took := n.clock.Now().Sub(begun); ans.Code >= http.StatusTooManyRequests || took > slowSubmit {
		n.log.Debug("submission not taken soon", "job", id, "status", ans.Code, "took", took, "retry", ans.RetryAfter, "state_reached", n.stateReachable(time.Second))
	}
	n.answer(w, id, ans)
}

// hedgeAfter is how long a submission waits for the state service before
// another node is asked to store it as well.
const hedgeAfter = 250 * time.Millisecond

// hedgeLast is how long a submission that this node refuses waits for another
// to take it, at most: a refusal must come at once.
const hedgeLast = 400 * time.Millisecond

// runSubmit decides a submission. One that this node can't store at once, for
// want of the state service or of its share of the writes, is handed to the
// others too: a job is stored only if it does not exist, so whichever node
// comes first stores it, and the rest find it there.
func (n *Node) runSubmit(ctx context.Context, data []byte, forward bool) (unit.JobID, intake.Answer) {
	sub, err := intake.DecodeSubmission(data)
	if err != nil {
		n.log.Debug("submission refused", "err", err)
		return "", intake.Answer{Code: http.StatusBadRequest}
	}
	req := intake.NewSubmit(sub, n.rules(), n.clock.Wall().UnixMilli())
	if !forward {
		return sub.ID, n.drive(ctx, sub.ID, req)
	}
	own := make(chan intake.Answer, 1)
	go func() { own <- n.drive(ctx, sub.ID, req) }()
	wait := hedgeAfter
	if !n.stateReachable(time.Second) {
		wait = 0
	}
	select {
	case ans := <-own:
		if ans.Code != http.StatusServiceUnavailable {
			return sub.ID, ans
		}
		own <- ans
	case <-time.After(wait):
	}
	return sub.ID, n.hedge(ctx, data, own)
}

// hedge hands a submission to the others and answers with what comes first
// that accepts it; a refusal counts only once nobody is left to ask.
func (n *Node) hedge(ctx context.Context, data []byte, own <-chan intake.Answer) intake.Answer {
	others := make(chan intake.Answer, 1)
	go func() { others <- n.handOver(ctx, data) }()
	refusal := intake.Answer{Code: http.StatusServiceUnavailable, RetryAfter: time.Second}
	var last <-chan time.Time
	for range 2 {
		select {
		case ans := <-own:
			if ans.Code != http.StatusServiceUnavailable {
				return ans
			}
			refusal, last = ans, time.After(hedgeLast)
		case ans := <-others:
			if ans.Code == http.StatusOK || ans.Code == http.StatusCreated {
				return ans
			}
		case <-last:
			return refusal
		case <-ctx.Done():
			return refusal
		}
	}
	return refusal
}

// stateReachable tells whether the state service has answered within d.
func (n *Node) stateReachable(d time.Duration) bool {
	return n.clock.Now().Sub(unit.Instant(n.health.lastState.Load())) < d
}

// slowSubmit is how long a submission may take without being logged.
const slowSubmit = 500 * time.Millisecond

// maxHandOver bounds how many others are asked to store a submission.
const maxHandOver = 2

// takers are the nodes that may store a submission that this one can't: the
// others, beginning with a different one each time, so that none gets them all.
// In a flood only one is asked. All users may have come to one node, and what is
// left at the others must not go to waste: some ran out of the minute for which
// they try.
func (n *Node) takers() []string {
	names := n.peers.Names()
	if len(names) == 0 {
		return nil
	}
	first := int(n.asked.Add(1)) % len(names)
	out := append(slices.Clone(names[first:]), names[:first]...)
	if n.pace.Flooded() {
		return out[:1]
	}
	return out
}

// handOver asks others that the mesh reaches to store a submission.
func (n *Node) handOver(ctx context.Context, data []byte) intake.Answer {
	asked := 0
	for _, name := range n.takers() {
		if asked == maxHandOver || !n.meshWorks(name) {
			continue
		}
		asked++
		reply, err := n.peers.Accept(ctx, name, data)
		if ctx.Err() == nil {
			n.noteMesh(name, err)
		}
		if err == nil && (reply.Status == http.StatusOK || reply.Status == http.StatusCreated) {
			return intake.Answer{Code: int(reply.Status), Status: intake.Status{Standing: intake.Standing(reply.Body)}}
		}
	}
	return intake.Answer{Code: http.StatusServiceUnavailable}
}

func (n *Node) rules() *intake.Rules {
	return &intake.Rules{Teams: n.teams, Zones: n.set.Params.Zones, Types: n.view.Load().types, State: n.set.Params.State.Tight()}
}

func (n *Node) ask(kind intake.Kind) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		id, err := unit.ParseJobID(ps.ByName("id"))
		if err != nil {
			n.answer(w, "", intake.Answer{Code: http.StatusNotFound})
			return
		}
		budget := pollBudget
		if kind == intake.Withdraw {
			budget = submitBudget
		}
		ctx, cancel := context.WithTimeout(r.Context(), budget)
		defer cancel()
		begun := n.clock.Now()
		ans := n.drive(ctx, id, intake.NewAsk(kind))
		// A node that stood still meanwhile may hold an answer that is older
		// than what another node has said since.
		if n.clock.Now().Sub(begun) > budget {
			ans = intake.Answer{Code: http.StatusServiceUnavailable, RetryAfter: time.Second}
		}
		n.answer(w, id, ans)
	}
}

// drive carries out what a request's machine asks for until it answers.
func (n *Node) drive(ctx context.Context, id unit.JobID, req *intake.Request) intake.Answer {
	var in intake.Input = intake.Begin{}
	for {
		switch act := req.Step(in).(type) {
		case intake.Answer:
			return act
		case intake.Create:
			in = intake.Created{Result: n.create(ctx, id, req, act.Record)}
		case intake.Load:
			in = n.loadJob(ctx, id)
		case intake.AskLeader:
			in = n.askLeader(ctx, id, act.Withdraw)
		}
	}
}

// create stores a job if it does not exist. Only refusals for want of changes
// count for the pace: others may store what the state service refuses this node.
func (n *Node) create(ctx context.Context, id unit.JobID, req *intake.Request, rec *checkpoint.Record) intake.CreateResult {
	if now := n.clock.Now(); !n.budget.TakeWrites(now, statestore.UseSubmit, 1) {
		req.SetRetry(n.budget.WriteWait(now, statestore.UseSubmit) + n.pace.Refused())
		return intake.Refused
	}
	n.pace.Took()
	key := checkpoint.Key(id)
	_, err := n.store.Commit(ctx, statestore.Txn{
		Guards: []statestore.Guard{{Key: key, Stamp: 0}},
		Writes: []statestore.Write{{Set: key, Value: rec}},
	})
	var conflict *statestore.ConflictError
	switch n.note(err); {
	case err == nil:
		go n.notify(id)
		return intake.Stored
	case errors.As(err, &conflict):
		return intake.Exists
	case errors.Is(err, statestore.ErrUncertain):
		return intake.Uncertain
	}
	return intake.Refused
}

// notify tells the leader of a new job. If the notice is lost, the leader's
// watch finds the job a moment later.
func (n *Node) notify(id unit.JobID) {
	v := n.view.Load()
	if v.epoch != 0 {
		n.offer(Noticed{Job: id})
		return
	}
	if v.leader == "" || v.leader == n.set.Label {
		return
	}
	if err := n.peers.Notice(context.Background(), v.leader, string(id)); err != nil {
		n.log.Debug("notice lost", "job", id, "err", err)
	}
}

func (n *Node) loadJob(ctx context.Context, id unit.JobID) intake.Loaded {
	if !n.budget.TakeRequest(n.clock.Now()) {
		return intake.Loaded{}
	}
	item, err := n.store.Get(ctx, checkpoint.Key(id))
	if n.note(err) != nil {
		return intake.Loaded{}
	}
	if item.Stamp == 0 {
		return intake.Loaded{OK: true}
	}
	rec, err := checkpoint.Decode(item.Value)
	if err != nil {
		n.log.Error("job record can't be read", "job", id, "err", err)
		return intake.Loaded{}
	}
	return intake.Loaded{OK: true, Record: rec}
}

// askLeader asks the core if this node leads, and the leader's node otherwise.
func (n *Node) askLeader(ctx context.Context, id unit.JobID, withdraw bool) intake.Told {
	v := n.view.Load()
	leader := n.leader()
	if v.epoch != 0 {
		t := n.askCore(ctx, id, withdraw)
		if t.Outcome != intake.NoLeader || leader == n.set.Label {
			return t
		}
	}
	if leader == "" || leader == n.set.Label {
		return intake.Told{Outcome: intake.NoLeader}
	}
	if n.meshWorks(leader) {
		timeout := askTimeout
		if withdraw {
			timeout = withdrawTimeout
		}
		reply, err := n.peers.Ask(ctx, leader, &meshpb.AskRequest{Job: string(id), Withdraw: withdraw}, timeout)
		n.noteMesh(leader, err)
		if err == nil {
			return told(reply)
		}
		n.log.Debug("leader not reached", "leader", leader, "err", err)
	}
	if withdraw {
		return n.relayAsk(ctx, id)
	}
	return intake.Told{Outcome: intake.NoLeader}
}

// leader is the node that leads, as far as this one knows: by the state
// service, or by the others while that does not answer.
func (n *Node) leader() string {
	if hint := n.health.hint.Load().(string); hint != "" {
		return hint
	}
	return n.view.Load().leader
}

func told(r *meshpb.AskReply) intake.Told {
	switch r.Outcome {
	case meshpb.Outcome_OUTCOME_KNOWN:
		return intake.Told{Outcome: intake.Known, Status: intake.Status{
			Standing: intake.Standing(r.Standing), Done: int(r.Done), Running: int(r.Running)}}
	case meshpb.Outcome_OUTCOME_ABSENT:
		return intake.Told{Outcome: intake.Absent}
	case meshpb.Outcome_OUTCOME_BUSY:
		return intake.Told{Outcome: intake.Busy}
	}
	return intake.Told{Outcome: intake.NoLeader}
}

// askCore asks the core of this node. What it answers counts only as long as
// the node is entitled, so that is checked once more as the answer leaves.
func (n *Node) askCore(ctx context.Context, id unit.JobID, withdraw bool) intake.Told {
	ticket := make(chan ReplyAsk, 1)
	if !n.offer(Asked{Ticket: ticket, Job: id, Withdraw: withdraw}) {
		return intake.Told{Outcome: intake.Busy}
	}
	select {
	case reply := <-ticket:
		if reply.Outcome == intake.Known && !n.clock.Now().Before(reply.Until) {
			return intake.Told{Outcome: intake.NoLeader}
		}
		return intake.Told{Outcome: reply.Outcome, Status: reply.Status}
	case <-ctx.Done():
		return intake.Told{Outcome: intake.Busy}
	}
}

func (n *Node) answer(w http.ResponseWriter, id unit.JobID, a intake.Answer) {
	n.met.Submissions.WithLabelValues(strconv.Itoa(a.Code)).Inc()
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(intake.RetrySeconds(a.RetryAfter)))
	}
	if a.Code != http.StatusOK && a.Code != http.StatusCreated {
		w.WriteHeader(a.Code)
		return
	}
	body, err := intake.EncodeStatus(id, a.Status)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(a.Code)
	w.Write(body)
}

// beat answers a worker's report.
func (n *Node) beat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(w, r, fleet.MaxBody)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	report, err := fleet.DecodeReport(data)
	if err != nil {
		n.log.Warn("report can't be read", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if report.Strange > 0 {
		n.log.Warn("tasks in a report can't be read", "machine", report.Machine, "tasks", report.Strange)
	}
	ctx, cancel := context.WithTimeout(r.Context(), reportBudget)
	defer cancel()
	ticket := make(chan ReplyReport, 1)
	reply := ReplyReport{Code: http.StatusServiceUnavailable}
	if n.offer(Reported{Ticket: ticket, Report: report}) {
		select {
		case reply = <-ticket:
		case <-ctx.Done():
		}
	}
	if !reply.Final && (reply.Code == http.StatusMisdirectedRequest || reply.Code == http.StatusServiceUnavailable && n.health.hint.Load() != "") {
		reply = n.sendOn(ctx, report, reply)
	}
	n.answerReport(w, reply)
}

// sendOn sends a worker to the leader, or relays its report if it has just
// come back from there without having reached it.
func (n *Node) sendOn(ctx context.Context, r *fleet.Report, reply ReplyReport) ReplyReport {
	leader := n.leader()
	if leader == "" || leader == n.set.Label {
		reply.Leader = ""
		return reply
	}
	reply.Code, reply.Leader = http.StatusMisdirectedRequest, leader
	// Where the mesh does not reach the leader, the worker hardly will; but a
	// filter that refuses connections between nodes lets workers through, and
	// relaying them all took the changes that submissions need.
	works := func() bool { return n.meshWorks(leader) || n.peers.Refused(leader) }
	if works() && n.relays.direct(n.clock.Now(), r.Machine, leader, works) {
		return reply
	}
	return n.relayReport(ctx, leader, r)
}

func (n *Node) answerReport(w http.ResponseWriter, reply ReplyReport) {
	var body []byte
	var err error
	switch reply.Code {
	case http.StatusOK:
		body, err = fleet.EncodeAnswer(reply.Epoch, reply.Orders)
	case http.StatusMisdirectedRequest:
		leader := reply.Leader
		if leader == n.set.Label {
			leader = ""
		}
		body, err = fleet.EncodeRedirect(leader)
	}
	// The last moment before the answer leaves: a process that was starved
	// must not renew a worker's lease after its own entitlement has ended.
	if err != nil || reply.Code == http.StatusOK && !reply.Relayed && !n.clock.Now().Before(reply.Until) {
		reply.Code, body = http.StatusServiceUnavailable, nil
	}
	n.met.Reports.WithLabelValues(strconv.Itoa(reply.Code)).Inc()
	if body != nil {
		w.Header().Set("Content-Type", wire.ContentType)
	}
	w.WriteHeader(reply.Code)
	w.Write(body)
}
