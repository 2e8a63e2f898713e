// Package connlimit keeps the connections of a listener within their number. It
// never lets one wait for a place: a connection is taken in, or closed at once.
package connlimit

import (
	"container/list"
	"time"

	"badgerbay/internal/clock"
)

// ClientKind says who uses a connection, as its last request tells.
type ClientKind int

// Kinds. A connection that has made no request is Unidentified.
const (
	Unidentified ClientKind = iota
	User
	Worker
	kindCount
)

// Limits bound the connections. Parts of All bind only under pressure.
type Limits struct {
	MaxConnections int
	// IdleTimeout is how long a connection whose owner is known may send nothing
	// before it is closed to make room for another.
	IdleTimeout time.Duration
}

const (
	// pressureThreshold is the part of all connections from which the parts of users and
	// workers bind: what is kept beyond them is closed after its next answer.
	pressureThreshold = 0.9
	// workerShare and usersPart leave a rest to those that have just come.
	workerShare = 0.75
	userShare   = 0.15
	// firstRequestTimeout is how long a connection may be open without a request
	// before it makes room for another.
	firstRequestTimeout = time.Second
)

// Entry is an open connection as the limiter knows it.
type Entry struct {
	kind        ClientKind
	idleSince   clock.Instant // it waits for the next request since
	idleElement *list.Element // nil: a request is being served, or it is gone
	closeConn   func()        // closes the connection
	removed     bool
}

// Limiter is the state of a limited listener: which connections are open, and
// which of them has waited longest. It is pure; time comes in with every call.
type Limiter struct {
	limits      Limits
	openCount   int
	countByKind [kindCount]int
	idleByKind  [kindCount]*list.List // of *Conn, the longest first
	// Evicted and Refused count connections closed to make room, and those for
	// which there was none.
	Evicted, Rejected int
}

// NewLimiter returns a limiter without connections.
func NewLimiter(limits Limits) *Limiter {
	l := &Limiter{limits: limits}
	for k := range l.idleByKind {
		l.idleByKind[k] = list.New()
	}
	return l
}

// Admit takes in a new connection, which end closes, if there is room. To make
// some, it returns another that has to be closed. Unidentified ones that say
// nothing go first: a flood of them must not push out workers.
func (l *Limiter) Admit(now clock.Instant, end func()) (conn, evict *Entry) {
	if l.openCount >= l.limits.MaxConnections {
		if evict = l.evictionCandidate(now); evict == nil {
			l.Rejected++
			return nil, nil
		}
		l.Evicted++
		l.Remove(evict)
	}
	conn = &Entry{closeConn: end}
	l.openCount++
	l.countByKind[Unidentified]++
	l.markIdle(now, conn)
	return conn, evict
}

// evictionCandidate is the connection that is missed least, or nil.
func (l *Limiter) evictionCandidate(now clock.Instant) *Entry {
	for _, k := range []ClientKind{Unidentified, Worker, User} {
		timeout := l.limits.IdleTimeout
		if k == Unidentified {
			timeout = firstRequestTimeout
		}
		if e := l.idleByKind[k].Front(); e != nil && now.Sub(e.Value.(*Entry).idleSince) >= timeout {
			return e.Value.(*Entry)
		}
	}
	return nil
}

func (l *Limiter) markIdle(now clock.Instant, conn *Entry) {
	conn.idleSince = now
	conn.idleElement = l.idleByKind[conn.kind].PushBack(conn)
}

func (l *Limiter) clearIdle(conn *Entry) {
	if conn.idleElement != nil {
		l.idleByKind[conn.kind].Remove(conn.idleElement)
		conn.idleElement = nil
	}
}

// BeginRequest notes a request on a connection, and tells whether the connection may
// be kept after the answer.
func (l *Limiter) BeginRequest(conn *Entry, k ClientKind) (keep bool) {
	if conn.removed {
		return false // it was evicted as its request came
	}
	l.clearIdle(conn)
	l.countByKind[conn.kind]--
	conn.kind = k
	l.countByKind[k]++
	if float64(l.openCount) <= pressureThreshold*float64(l.limits.MaxConnections) {
		return true
	}
	part := workerShare
	if k == User {
		part = userShare
	}
	return float64(l.countByKind[k]) <= part*float64(l.limits.MaxConnections)
}

// EndRequest notes that the request was answered.
func (l *Limiter) EndRequest(now clock.Instant, conn *Entry) {
	if !conn.removed && conn.idleElement == nil {
		l.markIdle(now, conn)
	}
}

// Remove notes that a connection is closed. It may be called again.
func (l *Limiter) Remove(conn *Entry) {
	if conn.removed {
		return
	}
	l.clearIdle(conn)
	l.openCount--
	l.countByKind[conn.kind]--
	conn.removed = true
}

// OpenCount counts the connections.
func (l *Limiter) OpenCount() int { return l.openCount }

// Count counts the connections of a kind.
func (l *Limiter) Count(k ClientKind) int { return l.countByKind[k] }
