package node

import (
	"net"
	"net/http"
	"time"

	"badgerbay/internal/config"
)

// Shares of the sockets that the process may open. The listener serves workers and users; every machine holds one of
// its connections at the leader. Each direct command holds one socket while it is in flight, and some connections to
// workers stay open for a while afterwards. The rest is for the other nodes, the state service and the cloud.
const (
	listenerSocketShare    = 0.78
	peerSocketShare        = 0.05
	commandSocketShare     = 0.12
	idleCommandSocketShare = 0.03
)

// socketShare returns the number of sockets in a share of those that the process may open; at least one.
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

// newTransport returns a transport that keeps at most connsPerHost idle connections to each host.
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

// newWorkerTransport returns a transport that keeps at most idleConns idle connections to workers in total, and for a
// short time: one idle connection to each of 1,300 machines would use most of the sockets.
func newWorkerTransport(idleConns int) *http.Transport {
	t := newTransport(workerConnsPerHost)
	t.MaxIdleConns, t.IdleConnTimeout = idleConns, workerIdleConnTimeout
	return t
}
