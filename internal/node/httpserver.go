package node

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/api"
	"badgerbay/internal/connlimit"
	"badgerbay/internal/wire"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 10 * time.Second
	keepAliveTimeout  = 2 * time.Minute
	maxHeaderBytes    = 8 << 10
	// maxMetricsRequests bounds the scrapes that are answered at the same time.
	maxMetricsRequests = 2
)

// errBodyTooLarge says that the body of a request exceeds its limit.
var errBodyTooLarge = errors.New("body too large")

func (n *Node) newHTTPServer(limited *connlimit.Listener) *http.Server {
	return &http.Server{
		Handler:           limited.Handler(clientKind, n.routes()),
		ConnContext:       limited.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// clientKind tells who makes a request.
func clientKind(r *http.Request) connlimit.ClientKind {
	if r.URL.Path == heartbeatPath {
		return connlimit.Worker
	}
	return connlimit.User
}

// routes serves workers, users, operators and the load balancer.
func (n *Node) routes() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.PanicHandler = func(w http.ResponseWriter, _ *http.Request, v any) {
		n.log.Error("handler panicked", "panic", v)
		w.WriteHeader(http.StatusInternalServerError)
	}
	r.GET("/up", n.handleUp)
	r.POST("/submissions", n.users.handleSubmit)
	r.GET("/submissions/:id", n.users.handleJobRequest(api.QueryStatus))
	r.POST("/submissions/:id/withdraw", n.users.handleJobRequest(api.Cancel))
	r.POST(heartbeatPath, n.workers.handle)
	r.GET("/standby", n.handleStandby)
	r.GET("/quota", n.handleQuotas)
	metricsOptions := promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}
	r.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(n.metrics.Registry, metricsOptions))
	return r
}

// handleUp answers the load balancer. In an outage of the state service all nodes stay
// up: users get their 503 at once, and no node needs to become healthy again after it.
func (n *Node) handleUp(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !n.store.everAnswered() || n.reach.isolated.Load() || n.core.view().machineTypes == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readBody reads a body of at most limit bytes. The error is errBodyTooLarge, a
// *http.MaxBytesError, or that of the connection.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// writeMsgpack answers with a value in MessagePack.
func writeMsgpack(w http.ResponseWriter, value any) {
	data, err := msgpack.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Write(data) // a client that has gone needs no answer
}
