// Package connlimit keeps the connections of a listener within their number. It
// never lets one wait for a place: a connection is taken in, or closed at once.
package connlimit

import (
	"container/list"
	"time"

	"badgerbay/internal/unit"
)

// Kind says who uses a connection, as its last request tells.
type Kind int

// Kinds. A connection that has made no request is Unidentified.
const (
	Unidentified Kind = iota
	User
	Worker
	kinds
)

// Limits bound the connections. Parts of All bind only under pressure.
type Limits struct {
	All int
	// IdleTimeout is how long a connection whose owner is known may send nothing
	// before it is closed to make room for another.
	IdleTimeout time.Duration
}

const (
	// crowded is the part of all connections from which the parts of users and
	// workers bind: what is kept beyond them is closed after its next answer.
	crowded = 0.9
	// workersPart and usersPart leave a rest to those that have just come.
	workersPart = 0.75
	usersPart   = 0.15
	// newTimeout is how long a connection may be open without a request
	// before it makes room for another.
	newTimeout = time.Second
)

// Conn is an open connection as the limiter knows it.
type Conn struct {
	kind  Kind
	since unit.Instant  // it waits for the next request since
	waits *list.Element // nil: a request is being served, or it is gone
	end   func()        // closes the connection
	gone  bool
}

// Limiter is the state of a limited listener: which connections are open, and
// which of them has waited longest. It is pure; time comes in with every call.
type Limiter struct {
	limits  Limits
	open    int
	count   [kinds]int
	waiting [kinds]*list.List // of *Conn, the longest first
	// Evicted and Refused count connections closed to make room, and those for
	// which there was none.
	Evicted, Refused int
}

// NewLimiter returns a limiter without connections.
func NewLimiter(limits Limits) *Limiter {
	l := &Limiter{limits: limits}
	for k := range l.waiting {
		l.waiting[k] = list.New()
	}
	return l
}

// Open takes in a new connection, which end closes, if there is room. To make
// some, it returns another that has to be closed. Unidentified ones that say
// nothing go first: a flood of them must not push out workers.
func (l *Limiter) Open(now unit.Instant, end func()) (conn, evict *Conn) {
	if l.open >= l.limits.All {
		if evict = l.idlest(now); evict == nil {
			l.Refused++
			return nil, nil
		}
		l.Evicted++
		l.Close(evict)
	}
	conn = &Conn{end: end}
	l.open++
	l.count[Unidentified]++
	l.wait(now, conn)
	return conn, evict
}

// idlest is the connection that is missed least, or nil.
func (l *Limiter) idlest(now unit.Instant) *Conn {
	for _, k := range []Kind{Unidentified, Worker, User} {
		timeout := l.limits.IdleTimeout
		if k == Unidentified {
			timeout = newTimeout
		}
		if e := l.waiting[k].Front(); e != nil && now.Sub(e.Value.(*Conn).since) >= timeout {
			return e.Value.(*Conn)
		}
	}
	return nil
}

func (l *Limiter) wait(now unit.Instant, conn *Conn) {
	conn.since = now
	conn.waits = l.waiting[conn.kind].PushBack(conn)
}

func (l *Limiter) unwait(conn *Conn) {
	if conn.waits != nil {
		l.waiting[conn.kind].Remove(conn.waits)
		conn.waits = nil
	}
}

// Begin notes a request on a connection, and tells whether the connection may
// be kept after the answer.
func (l *Limiter) Begin(conn *Conn, k Kind) (keep bool) {
	if conn.gone {
		return false // it was evicted as its request came
	}
	l.unwait(conn)
	l.count[conn.kind]--
	conn.kind = k
	l.count[k]++
	if float64(l.open) <= crowded*float64(l.limits.All) {
		return true
	}
	part := workersPart
	if k == User {
		part = usersPart
	}
	return float64(l.count[k]) <= part*float64(l.limits.All)
}

// End notes that the request was answered.
func (l *Limiter) End(now unit.Instant, conn *Conn) {
	if !conn.gone && conn.waits == nil {
		l.wait(now, conn)
	}
}

// Close notes that a connection is closed. It may be called again.
func (l *Limiter) Close(conn *Conn) {
	if conn.gone {
		return
	}
	l.unwait(conn)
	l.open--
	l.count[conn.kind]--
	conn.gone = true
}

// Len counts the connections.
func (l *Limiter) Len() int { return l.open }

// Count counts the connections of a kind.
func (l *Limiter) Count(k Kind) int { return l.count[k] }
