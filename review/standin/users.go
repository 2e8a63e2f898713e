package main

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Times that the protocol page gives for users.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	pollInterval  = 5 * time.Second
	retryFor      = 60 * time.Second
	probeTimeout  = time.Second
)

// users are the stand-ins of the users and of their load balancer.
type users struct {
	rec   *recorder
	book  *jobBook
	nodes []*node
	http  *http.Client

	mu      sync.Mutex
	healthy map[string]bool
	jobs    map[string]*userJob
}

// userJob is what a user knows of a job.
type userJob struct {
	accepted time.Time // zero if no node has accepted it
	state    string    // last one told
	doneAt   time.Time // when a node first called it done or cancelled
	answered time.Time // last poll that was answered
}

func newUsers(rec *recorder, book *jobBook, nodes []*node) *users {
	return &users{rec: rec, book: book, nodes: nodes, healthy: map[string]bool{}, jobs: map[string]*userJob{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// probe probes the nodes once a second until ctx ends, as the load balancer does.
func (u *users) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range u.nodes {
			go func() {
				probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				status, _, err := exchange(probeCtx, u.http, http.MethodGet, n.client, "/up", nil)
				u.mu.Lock()
				defer u.mu.Unlock()
				u.healthy[n.name] = err == nil && status == http.StatusOK
			}()
		}
		sleep(ctx, time.Second)
	}
}

// candidates returns the nodes in a random order, healthy ones only if there are any.
func (u *users) candidates() []*node {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []*node
	for _, i := range rand.Perm(len(u.nodes)) {
		if u.healthy[u.nodes[i].name] {
			list = append(list, u.nodes[i])
		}
	}
	if len(list) == 0 {
		return u.nodes
	}
	return list
}

// reply is the answer to a user's request. The status is 0 if there was none.
type reply struct {
	status     int
	body       map[string]any
	retryAfter time.Duration
}

// request sends a request through the load balancer, which tries another node if one refuses the connection.
func (u *users) request(ctx context.Context, timeout time.Duration, method, path string, body []byte) reply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, n := range u.candidates() {
		if r, err := u.ask(ctx, n, method, path, body); err == nil || ctx.Err() != nil {
			return r
		}
	}
	return reply{}
}

// ask sends a request to a node.
func (u *users) ask(ctx context.Context, n *node, method, path string, body []byte) (reply, error) {
	req, err := newRequest(ctx, method, n.client, path, body)
	if err != nil {
		return reply{}, err
	}
	resp, err := u.http.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode}
	if msgpack.NewDecoder(resp.Body).Decode(&r.body) != nil {
		r.body = nil
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	r.retryAfter = time.Duration(seconds) * time.Second
	return r, nil
}

// submit submits a job, with retries for a minute, and reports whether it was accepted.
func (u *users) submit(ctx context.Context, id string, s spec, fields map[string]any) bool {
	u.book.upload(id, s)
	body, err := msgpack.Marshal(fields)
	if err != nil {
		panic(err)
	}
	for deadline := time.Now().Add(retryFor); time.Now().Before(deadline) && ctx.Err() == nil; {
		r := u.request(ctx, submitTimeout, http.MethodPost, "/submissions", body)
		u.rec.logf("user: submit %s: %d", id, r.status)
		switch r.status {
		case http.StatusOK, http.StatusCreated:
			u.mu.Lock()
			u.jobs[id] = &userJob{accepted: time.Now(), state: "queued"}
			u.mu.Unlock()
			go u.poll(ctx, id)
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		sleep(ctx, max(time.Second, r.retryAfter))
	}
	return false
}

// withdraw cancels a job, with retries for a minute, and reports whether that was answered.
func (u *users) withdraw(ctx context.Context, id string) bool {
	for deadline := time.Now().Add(retryFor); time.Now().Before(deadline) && ctx.Err() == nil; {
		r := u.request(ctx, submitTimeout, http.MethodPost, "/submissions/"+id+"/withdraw", nil)
		u.rec.logf("user: withdraw %s: %d %v", id, r.status, r.body)
		if r.status == http.StatusOK {
			return true
		}
		sleep(ctx, max(time.Second, r.retryAfter))
	}
	return false
}

// poll asks for the state of a job until it is done or ctx ends.
func (u *users) poll(ctx context.Context, id string) {
	for ctx.Err() == nil {
		r := u.request(ctx, pollTimeout, http.MethodGet, "/submissions/"+id, nil)
		u.rec.logf("user: poll %s: %d %v", id, r.status, r.body)
		if state, ok := r.body["standing"].(string); ok && r.status == http.StatusOK {
			u.mu.Lock()
			j := u.jobs[id]
			j.state, j.answered = state, time.Now()
			final := state == "done" || state == "cancelled"
			if final {
				j.doneAt = time.Now()
			}
			u.mu.Unlock()
			if final {
				return
			}
		}
		sleep(ctx, pollInterval)
	}
}

// stateOf returns the last state that a user was told of a job.
func (u *users) stateOf(id string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if j := u.jobs[id]; j != nil {
		return j.state
	}
	return ""
}

func newRequest(ctx context.Context, method, addr, path string, body []byte) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
