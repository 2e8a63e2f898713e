package door

import (
	"context"
	"net"
	"net/http"
	"sync"

	"badgerbay/internal/unit"
)

// Door is a listener that keeps its connections within a limit.
type Door struct {
	net.Listener
	now  func() unit.Instant
	mu   sync.Mutex
	book *Book
}

// New returns a door in front of the listener.
func New(l net.Listener, limits Limits, now func() unit.Instant) *Door {
	return &Door{Listener: l, now: now, book: NewBook(limits)}
}

// conn is a connection that leaves the book when it is closed.
type conn struct {
	net.Conn
	door  *Door
	visit *Visit
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.door.mu.Lock()
	c.door.book.Leave(c.visit)
	c.door.mu.Unlock()
	return c.Conn.Close()
}

// Accept implements net.Listener. A connection that finds no room is closed at
// once, so that its owner need not wait to find out.
func (d *Door) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		d.mu.Lock()
		v, evict := d.book.Enter(d.now(), func() { c.Close() })
		d.mu.Unlock()
		if evict != nil {
			evict.end()
		}
		if v == nil {
			c.Close()
			continue
		}
		return &conn{Conn: c, door: d, visit: v}, nil
	}
}

type visitKey struct{}

// Context is the ConnContext of the server behind the door.
func (d *Door) Context(ctx context.Context, c net.Conn) context.Context {
	if v, ok := c.(*conn); ok {
		return context.WithValue(ctx, visitKey{}, v.visit)
	}
	return ctx
}

// Handler notes the requests that kind tells the users of, and has connections
// closed after the answer that are more than their part.
func (d *Door) Handler(kind func(*http.Request) Kind, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, ok := r.Context().Value(visitKey{}).(*Visit)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		d.mu.Lock()
		keep := d.book.Begin(v, kind(r))
		d.mu.Unlock()
		if !keep {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		d.mu.Lock()
		d.book.End(d.now(), v)
		d.mu.Unlock()
	})
}

// Stats are the figures of a door.
type Stats struct{ Open, Users, Workers, Evicted, Refused int }

// Stats returns the present figures.
func (d *Door) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.book
	return Stats{Open: b.open, Users: b.count[User], Workers: b.count[Worker], Evicted: b.Evicted, Refused: b.Refused}
}
