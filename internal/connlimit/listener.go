package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"

	"badgerbay/internal/clock"
)

// Listener is a net.Listener whose connections a Limiter bounds. The HTTP server on it
// must use ConnContext and Handler. It is safe for concurrent use.
type Listener struct {
	net.Listener
	now     func() clock.Instant
	mu      sync.Mutex
	limiter *Limiter
}

// NewListener bounds the connections of a listener.
func NewListener(listener net.Listener, limits Limits, now func() clock.Instant) *Listener {
	return &Listener{Listener: listener, now: now, limiter: NewLimiter(limits)}
}

// limitedConn is a connection that leaves the limiter when it is closed.
type limitedConn struct {
	net.Conn
	listener *Listener
	entry    *Entry
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.listener.remove(c.entry)
	return c.Conn.Close()
}

// Accept implements net.Listener. A connection that is not admitted is closed at once,
// so that its client need not wait to find out.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if entry := l.admit(conn); entry != nil {
			return &limitedConn{Conn: conn, listener: l, entry: entry}, nil
		}
		conn.Close()
	}
}

// admit returns nil if there is no room for the connection.
func (l *Listener) admit(conn net.Conn) *Entry {
	l.mu.Lock()
	entry, evict := l.limiter.Admit(l.now(), func() { conn.Close() })
	l.mu.Unlock()
	if evict != nil {
		evict.closeConnection()
	}
	return entry
}

func (l *Listener) remove(entry *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Remove(entry)
}

func (l *Listener) beginRequest(entry *Entry, kind ClientKind) (keep bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.BeginRequest(entry, kind)
}

func (l *Listener) endRequest(entry *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.EndRequest(l.now(), entry)
}

type entryContextKey struct{}

// ConnContext is the ConnContext of the http.Server on the listener.
func (*Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if limited, ok := c.(*limitedConn); ok {
		return context.WithValue(ctx, entryContextKey{}, limited.entry)
	}
	return ctx
}

// Handler wraps the handler of the http.Server on the listener. It records who uses each
// connection, as told by kindOf, and closes connections beyond the share of their kind
// after the response.
func (l *Listener) Handler(kindOf func(*http.Request) ClientKind, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entry, ok := r.Context().Value(entryContextKey{}).(*Entry)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if keep := l.beginRequest(entry, kindOf(r)); !keep {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		l.endRequest(entry)
	})
}

// Stats are counts of connections: the open ones, and those closed since the start.
type Stats struct{ Open, Users, Workers, Evicted, Rejected int }

// Stats returns the present counts.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{
		Open:     l.limiter.OpenCount(),
		Users:    l.limiter.Count(User),
		Workers:  l.limiter.Count(Worker),
		Evicted:  l.limiter.Evicted,
		Rejected: l.limiter.Rejected,
	}
}
