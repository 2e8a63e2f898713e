package node

import (
	"net"
	"net/http"
	"time"

	"badgerbay/internal/config"
)

// Shares of the process's sockets. Workers and users come to the listener: at
// the leader, every machine holds one of its connections. Direct commands hold
// one each while they are under way, and some for a while after; the rest is for
// the other nodes, the state service and the cloud.
const (
	listenerSocketShare    = 0.78
	peerSocketShare        = 0.05
	commandSocketShare     = 0.12
	idleCommandSocketShare = 0.03
)

// socketShare is a share of the sockets that the process may open, at least one.
func socketShare(settings *config.Settings, share float64) int {
	return max(1, int(share*float64(settings.Params.MachineLimits.MaxSockets)))
}

const (
	dialTimeout           = time.Second
	idleConnTimeout       = 60 * time.Second
	workerIdleConnTimeout = 10 * time.Second
	responseHeaderTimeout = 65 * time.Second
	transportBufferBytes  = 4 << 10
)

// newTransport returns a round tripper that keeps few connections for each host.
func newTransport(connsPerHost int) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost:   connsPerHost,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: responseHeaderTimeout,
		DisableCompression:    true,
		ReadBufferSize:        transportBufferBytes,
		WriteBufferSize:       transportBufferBytes,
	}
}

// newWorkerTransport keeps few connections to workers, and those not for long: one
// kept for each of 1,300 machines would take most of the sockets.
func newWorkerTransport(idleConns int) *http.Transport {
	t := newTransport(workerConnsPerHost)
	t.MaxIdleConns, t.IdleConnTimeout = idleConns, workerIdleConnTimeout
	return t
}
