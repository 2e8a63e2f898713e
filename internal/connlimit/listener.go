package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"

	"badgerbay/internal/clock"
)

// Listener is a net.Listener whose connections are limited by a Limiter. The HTTP server
// that uses it must set ConnContext and wrap its handler with Handler. It is safe for
// concurrent use.
type Listener struct {
	net.Listener
	now     func() clock.Instant
	mu      sync.Mutex
	limiter *Limiter
}

// NewListener returns a Listener that limits the connections of the given listener.
func NewListener(listener net.Listener, limits Limits, now func() clock.Instant) *Listener {
	return &Listener{Listener: listener, now: now, limiter: NewLimiter(limits)}
}

// limitedConn is a connection that removes its entry from the limiter when it is closed.
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
// so that its client does not wait for a timeout.
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

// admit returns the entry of a new connection, or nil if it is not admitted. It closes
// the connection that is evicted, if any.
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

// ConnContext returns a context that carries the connection's entry for Handler. It must
// be the ConnContext of the http.Server that uses the listener.
func (*Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if limited, ok := c.(*limitedConn); ok {
		return context.WithValue(ctx, entryContextKey{}, limited.entry)
	}
	return ctx
}

// Handler wraps the handler of the http.Server that uses the listener. It records the kind
// of client on each connection, which kindOf returns, and closes a connection after the
// response if the limiter does not keep it.
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

// Stats counts connections: Open, Users and Workers those that are open now, Evicted and
// Rejected those that were closed since the start.
type Stats struct{ Open, Users, Workers, Evicted, Rejected int }

// Stats returns the current counts.
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
