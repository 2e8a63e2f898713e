// Package connlimit bounds the open connections of a listener. A connection never waits
// for a place: it is admitted, where necessary by evicting one that has been idle for
// long, or closed at once. The package owns the accounting of connections by kind of
// client; to tell the kind from a request is left to the caller.
package connlimit

import (
	"container/list"
	"time"

	"badgerbay/internal/clock"
)

// ClientKind tells who uses a connection, by its last request.
type ClientKind int

// The kinds of clients. A connection is Unidentified until its first request.
const (
	Unidentified ClientKind = iota
	User
	Worker
	kindCount
)

// Limits bound the connections of a listener.
type Limits struct {
	MaxConnections int
	// IdleTimeout is how long a connection of a user or worker must be idle before it
	// may be evicted.
	IdleTimeout time.Duration
}

const (
	// pressureThreshold is the share of MaxConnections from which the shares of users
	// and workers bind: a connection beyond them is closed after its next response.
	pressureThreshold = 0.9
	// workerShare and userShare leave a rest to connections without a request so far.
	workerShare = 0.75
	userShare   = 0.15
	// firstRequestTimeout is how long a connection may be open without a request
	// before it may be evicted.
	firstRequestTimeout = time.Second
)

// Entry is the limiter's record of an open connection.
type Entry struct {
	kind            ClientKind
	idleSince       clock.Instant
	idleElement     *list.Element // in the idle list of its kind; nil during a request
	closeConnection func()
	removed         bool
}

// Limiter decides which connections are admitted, kept and evicted. It does no I/O and
// reads no clock. It is not safe for concurrent use.
type Limiter struct {
	limits      Limits
	openCount   int
	countByKind [kindCount]int
	idleByKind  [kindCount]*list.List // of *Entry, the longest idle first
	// Evicted counts connections closed to make room, Rejected those for which there
	// was no room.
	Evicted, Rejected int
}

// NewLimiter returns a limiter without connections.
func NewLimiter(limits Limits) *Limiter {
	l := &Limiter{limits: limits}
	for kind := range l.idleByKind {
		l.idleByKind[kind] = list.New()
	}
	return l
}

// Admit registers a new connection, which closeConnection closes. If there is no room it
// makes some by removing the entry evict, whose connection the caller must close. If
// none can be evicted, it returns nil and the caller must close the new connection.
func (l *Limiter) Admit(now clock.Instant, closeConn func()) (entry, evict *Entry) {
	if l.openCount >= l.limits.MaxConnections {
		if evict = l.evictionCandidate(now); evict == nil {
			l.Rejected++
			return nil, nil
		}
		l.Evicted++
		l.Remove(evict)
	}
	entry = &Entry{closeConnection: closeConn}
	l.openCount++
	l.countByKind[Unidentified]++
	l.markIdle(now, entry)
	return entry, evict
}

// evictionCandidate returns the connection to evict, or nil if none has been idle for
// long enough. Unidentified ones go first: a flood of them must not push out workers.
func (l *Limiter) evictionCandidate(now clock.Instant) *Entry {
	for _, kind := range []ClientKind{Unidentified, Worker, User} {
		timeout := l.limits.IdleTimeout
		if kind == Unidentified {
			timeout = firstRequestTimeout
		}
		if entry := l.longestIdle(kind); entry != nil && now.Sub(entry.idleSince) >= timeout {
			return entry
		}
	}
	return nil
}

func (l *Limiter) longestIdle(kind ClientKind) *Entry {
	front := l.idleByKind[kind].Front()
	if front == nil {
		return nil
	}
	return front.Value.(*Entry)
}

func (l *Limiter) markIdle(now clock.Instant, entry *Entry) {
	entry.idleSince = now
	entry.idleElement = l.idleByKind[entry.kind].PushBack(entry)
}

func (l *Limiter) clearIdle(entry *Entry) {
	if entry.idleElement != nil {
		l.idleByKind[entry.kind].Remove(entry.idleElement)
		entry.idleElement = nil
	}
}

// BeginRequest notes the start of a request, and reports whether the connection may be
// kept after the response.
func (l *Limiter) BeginRequest(entry *Entry, kind ClientKind) (keep bool) {
	if entry.removed {
		return false // evicted just as its request came
	}
	l.clearIdle(entry)
	l.countByKind[entry.kind]--
	entry.kind = kind
	l.countByKind[kind]++
	if !l.exceeds(l.openCount, pressureThreshold) {
		return true
	}
	share := workerShare
	if kind == User {
		share = userShare
	}
	return !l.exceeds(l.countByKind[kind], share)
}

// exceeds reports whether a count is beyond a share of MaxConnections.
func (l *Limiter) exceeds(count int, share float64) bool {
	return float64(count) > share*float64(l.limits.MaxConnections)
}

// EndRequest notes that the request was answered.
func (l *Limiter) EndRequest(now clock.Instant, entry *Entry) {
	if !entry.removed && entry.idleElement == nil {
		l.markIdle(now, entry)
	}
}

// Remove notes that a connection is closed. Calls after the first have no effect.
func (l *Limiter) Remove(entry *Entry) {
	if entry.removed {
		return
	}
	l.clearIdle(entry)
	l.openCount--
	l.countByKind[entry.kind]--
	entry.removed = true
}

// OpenCount returns the number of connections.
func (l *Limiter) OpenCount() int { return l.openCount }

// Count returns the number of connections of a kind.
func (l *Limiter) Count(kind ClientKind) int { return l.countByKind[kind] }
