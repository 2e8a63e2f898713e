package node

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"badgerbay/internal/api"
	"badgerbay/internal/wire"
)

const (
	// statusQueryTimeout bounds the time a poll waits for the leader, so that enough
	// of the user's two seconds is left to read the record instead.
	statusQueryTimeout   = 500 * time.Millisecond
	cancelRequestTimeout = 2 * time.Second
	statusBudget         = 1800 * time.Millisecond
	submitBudget         = 4 * time.Second
	heartbeatBudget      = 3 * time.Second
)

// reachability tells what this node can reach.
type reachability struct {
	lastStoreAnswer       atomic.Int64
	storeUnreachableAlone atomic.Bool  // the others reach the state service and we don't
	leaderHint            atomic.Value // string: who leads, by what the others say
}

func (h *reachability) noteStoreAnswer(now clock.Instant) { h.lastStoreAnswer.Store(int64(now)) }

const (
	// storeSilenceThreshold: after so long without an answer of the state service a node
	// asks the others whether they have one.
	storeSilenceThreshold = 2 * time.Second
	healthCheckInterval   = time.Second
)

func (n *Node) routes() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.PanicHandler = func(w http.ResponseWriter, _ *http.Request, v any) {
		n.log.Error("handler panicked", "panic", v)
		w.WriteHeader(http.StatusInternalServerError)
	}
	r.GET("/up", n.handleUp)
	r.POST("/submissions", n.handleSubmit)
	r.GET("/submissions/:id", n.handleJobRequest(api.QueryStatus))
	r.POST("/submissions/:id/withdraw", n.handleJobRequest(api.Cancel))
	r.POST(heartbeatPath, n.handleHeartbeat)
	r.GET("/standby", n.handleStandby)
	r.GET("/quota", n.handleQuotas)
	r.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(n.metrics.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2}))
	return r
}

func (n *Node) handleUp(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	// In an outage of the state service all nodes stay up: users get their
	// 503 at once, and no node needs to become healthy again after it.
	if n.health.lastStoreAnswer.Load() == 0 || n.health.storeUnreachableAlone.Load() || n.view.Load().machineTypes == nil {
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
	return n.clock.Now().Sub(clock.Instant(n.health.lastStoreAnswer.Load())) < d
}

func (n *Node) writeAnswer(w http.ResponseWriter, id ident.JobID, a api.Response) {
	n.metrics.UserResponses.WithLabelValues(strconv.Itoa(a.Code)).Inc()
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(api.RetryAfterSeconds(a.RetryAfter)))
	}
	if a.Code != http.StatusOK && a.Code != http.StatusCreated {
		w.WriteHeader(a.Code)
		return
	}
	body, err := api.EncodeStatus(id, a.Status)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(a.Code)
	w.Write(body)
}
