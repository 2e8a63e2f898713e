package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"

	"badgerbay/internal/clock"
)

// Listener is a listener that keeps its connections within a limit.
type Listener struct {
	net.Listener
	now     func() clock.Instant
	mu      sync.Mutex
	limiter *Limiter
}

// NewListener limits the connections of a listener.
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
	c.listener.mu.Lock()
	c.listener.limiter.Remove(c.entry)
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
		v, evict := l.limiter.Admit(l.now(), func() { c.Close() })
		l.mu.Unlock()
		if evict != nil {
			evict.closeConn()
		}
		if v == nil {
			c.Close()
			continue
		}
		return &limitedConn{Conn: c, listener: l, entry: v}, nil
	}
}

type entryContextKey struct{}

// ConnContext is the ConnContext of the server on the listener.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if v, ok := c.(*limitedConn); ok {
		return context.WithValue(ctx, entryContextKey{}, v.entry)
	}
	return ctx
}

// Handler notes the requests that kind tells the users of, and has connections
// closed after the answer that are more than their part.
func (l *Listener) Handler(kind func(*http.Request) ClientKind, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, ok := r.Context().Value(entryContextKey{}).(*Entry)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		l.mu.Lock()
		keep := l.limiter.BeginRequest(v, kind(r))
		l.mu.Unlock()
		if !keep {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		l.mu.Lock()
		l.limiter.EndRequest(l.now(), v)
		l.mu.Unlock()
	})
}

// Stats are the figures of a limited listener.
type Stats struct{ Open, Users, Workers, Evicted, Rejected int }

// Stats returns the present figures.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiter
	return Stats{Open: limiter.openCount, Users: limiter.countByKind[User], Workers: limiter.countByKind[Worker], Evicted: limiter.Evicted, Rejected: limiter.Rejected}
}
