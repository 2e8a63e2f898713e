package controller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
	"badgerbay/internal/wire"
)

const (
	// askTimeout bounds the time a poll waits for the leader, so that enough
	// of the user's two seconds is left to read the record instead.
	askTimeout    = 500 * time.Millisecond
	cancelTimeout = 2 * time.Second
	pollBudget    = 1800 * time.Millisecond
	submitBudget  = 4 * time.Second
	reportBudget  = 3 * time.Second
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

func (n *Node) routes() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.PanicHandler = func(w http.ResponseWriter, _ *http.Request, v any) {
		n.log.Error("handler panicked", "panic", v)
		w.WriteHeader(http.StatusInternalServerError)
	}
	r.GET("/up", n.up)
	r.POST("/submissions", n.submit)
	r.GET("/submissions/:id", n.ask(userapi.QueryStatus))
	r.POST("/submissions/:id/withdraw", n.ask(userapi.Cancel))
	r.POST(beatPath, n.beat)
	r.GET("/standby", n.showStandby)
	r.GET("/quota", n.showQuotas)
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

// stateReachable tells whether the state service has answered within d.
func (n *Node) stateReachable(d time.Duration) bool {
	return n.clock.Now().Sub(unit.Instant(n.health.lastState.Load())) < d
}

func (n *Node) answer(w http.ResponseWriter, id unit.JobID, a userapi.Response) {
	n.met.UserResponses.WithLabelValues(strconv.Itoa(a.Code)).Inc()
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(userapi.RetryAfterSeconds(a.RetryAfter)))
	}
	if a.Code != http.StatusOK && a.Code != http.StatusCreated {
		w.WriteHeader(a.Code)
		return
	}
	body, err := userapi.EncodeStatus(id, a.Status)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(a.Code)
	w.Write(body)
}
