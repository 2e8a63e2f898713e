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
	// maxMetricsRequests bounds the number of concurrent metrics scrapes.
	maxMetricsRequests = 2
)

// errBodyTooLarge is returned when the Content-Length of a request exceeds the limit for its body.
var errBodyTooLarge = errors.New("request body exceeds the size limit")

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

// clientKind returns whether a request comes from a worker or a user, judged by its path.
func clientKind(r *http.Request) connlimit.ClientKind {
	if r.URL.Path == heartbeatPath {
		return connlimit.Worker
	}
	return connlimit.User
}

// routes returns the handler for the requests of workers, users, operators and the load balancer.
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

// handleUp answers the health check of the load balancer. A node is healthy once the state service has answered it and
// it knows the machine types, unless it is isolated. During an outage of the state service all nodes stay healthy:
// users get status 503 from them at once, and no node has to pass the health check again after the outage.
func (n *Node) handleUp(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !n.store.hasResponded() || n.reach.isolated.Load() || n.core.view().machineTypes == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readBody reads a request body of at most limit bytes. The error is errBodyTooLarge if the declared length exceeds
// the limit, a *http.MaxBytesError if the body itself does, or an error of the connection.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// writeMsgpack writes a value to the response in MessagePack encoding.
func writeMsgpack(w http.ResponseWriter, value any) {
	data, err := msgpack.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Write(data) // an error means that the client has disconnected and needs no response
}
