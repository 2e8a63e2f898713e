package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"

	"badgerbay/internal/unit"
)

// Listener is a listener that keeps its connections within a limit.
type Listener struct {
	net.Listener
	now     func() unit.Instant
	mu      sync.Mutex
	limiter *Limiter
}

// New limits the connections of a listener.
func New(listener net.Listener, limits Limits, now func() unit.Instant) *Listener {
	return &Listener{Listener: listener, now: now, limiter: NewLimiter(limits)}
}

// conn is a connection that leaves the limiter when it is closed.
type conn struct {
	net.Conn
	listener *Listener
	entry    *Conn
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.listener.limiter.Close(c.entry)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Accept implements net.Listener. A connection that finds no room is closed at
// once, so that its owner need not wait to find out.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		v, evict := l.limiter.Open(l.now(), func() { c.Close() })
		l.mu.Unlock()
		if evict != nil {
			evict.end()
		}
		if v == nil {
			c.Close()
			continue
		}
		return &conn{Conn: c, listener: l, entry: v}, nil
	}
}

type connKey struct{}

// Context is the ConnContext of the server on the listener.
func (l *Listener) Context(ctx context.Context, c net.Conn) context.Context {
	if v, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, v.entry)
	}
	return ctx
}

// Handler notes the requests that kind tells the users of, and has connections
// closed after the answer that are more than their part.
func (l *Listener) Handler(kind func(*http.Request) Kind, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		l.mu.Lock()
		keep := l.limiter.Begin(v, kind(r))
		l.mu.Unlock()
		if !keep {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		l.mu.Lock()
		l.limiter.End(l.now(), v)
		l.mu.Unlock()
	})
}

// Stats are the figures of a limited listener.
type Stats struct{ Open, Users, Workers, Evicted, Refused int }

// Stats returns the present figures.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiter
	return Stats{Open: limiter.open, Users: limiter.count[User], Workers: limiter.count[Worker], Evicted: limiter.Evicted, Refused: limiter.Refused}
}
