// Package connlimit limits the open connections of a listener. A new connection is never
// queued: it is admitted, if necessary by evicting a connection that has been idle for
// long, or it is closed at once. The package counts connections by kind of client; the
// caller determines the kind from a request.
package connlimit

import (
	"container/list"
	"time"

	"badgerbay/internal/clock"
)

// ClientKind is the kind of client that uses a connection. The connection's latest
// request determines it.
type ClientKind int

// The kinds of clients. A connection is Unidentified until its first request.
const (
	Unidentified ClientKind = iota
	User
	Worker
	kindCount
)

// Limits are the connection limits of a listener.
type Limits struct {
	MaxConnections int
	// IdleTimeout is the time for which a connection of a user or worker must be idle
	// before it may be evicted.
	IdleTimeout time.Duration
}

const (
	// pressureThreshold is the fraction of MaxConnections above which workerShare and
	// userShare are enforced: a connection that exceeds the share of its kind is closed
	// after its next response.
	pressureThreshold = 0.9
	// workerShare and userShare are fractions of MaxConnections. Together they are less
	// than 1, which leaves room for connections that have not sent a request yet.
	workerShare = 0.75
	userShare   = 0.15
	// firstRequestTimeout is the time for which a connection may be open without a
	// request before it may be evicted.
	firstRequestTimeout = time.Second
)

// Entry is the limiter's record of an open connection.
type Entry struct {
	kind            ClientKind
	idleSince       clock.Instant
	idleElement     *list.Element // in the idle list of its kind; nil during a request and after removal
	closeConnection func()
	removed         bool
}

// Limiter decides which connections are admitted, kept and evicted. It does no I/O, and
// callers pass it the current time. It is not safe for concurrent use.
type Limiter struct {
	limits      Limits
	openCount   int
	countByKind [kindCount]int
	idleByKind  [kindCount]*list.List // of *Entry, the longest-idle first
	// Evicted counts the connections that were evicted to admit another one, Rejected
	// those that were not admitted.
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

// Admit registers a new connection, which closeConnection closes, and returns its entry.
// If the limit is reached, it removes the entry that evictionCandidate selects and returns
// it as evict; the caller must close its connection. If no entry may be evicted, Admit
// returns nil and the caller must close the new connection.
func (l *Limiter) Admit(now clock.Instant, closeConnection func()) (entry, evict *Entry) {
	if l.openCount >= l.limits.MaxConnections {
		if evict = l.evictionCandidate(now); evict == nil {
			l.Rejected++
			return nil, nil
		}
		l.Evicted++
		l.Remove(evict)
	}
	entry = &Entry{closeConnection: closeConnection}
	l.openCount++
	l.countByKind[Unidentified]++
	l.markIdle(now, entry)
	return entry, evict
}

// evictionCandidate returns the entry to evict, or nil if none has been idle for long
// enough. Unidentified connections are evicted first, so that a flood of them does not
// displace workers.
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

// BeginRequest records the start of a request, and reports whether the connection may be
// kept open after the response.
func (l *Limiter) BeginRequest(entry *Entry, kind ClientKind) (keep bool) {
	if entry.removed {
		return false // evicted while its request arrived
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

// exceeds reports whether a count exceeds a share of MaxConnections.
func (l *Limiter) exceeds(count int, share float64) bool {
	return float64(count) > share*float64(l.limits.MaxConnections)
}

// EndRequest records that the request was answered, which makes the connection idle.
func (l *Limiter) EndRequest(now clock.Instant, entry *Entry) {
	if !entry.removed && entry.idleElement == nil {
		l.markIdle(now, entry)
	}
}

// Remove removes the entry of a closed connection. Calls after the first have no effect.
func (l *Limiter) Remove(entry *Entry) {
	if entry.removed {
		return
	}
	l.clearIdle(entry)
	l.openCount--
	l.countByKind[entry.kind]--
	entry.removed = true
}

// OpenCount returns the number of open connections.
func (l *Limiter) OpenCount() int { return l.openCount }

// Count returns the number of open connections of a kind.
func (l *Limiter) Count(kind ClientKind) int { return l.countByKind[kind] }
