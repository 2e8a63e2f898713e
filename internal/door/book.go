// Package door keeps the connections of a listener within their number. It
// never lets one wait for a place: a connection is taken in, or closed at once.
package door

import (
	"container/list"
	"time"

	"badgerbay/internal/unit"
)

// Kind says who uses a connection, as its last request tells.
type Kind int

// Kinds. A connection that has made no request is of a Stranger.
const (
	Stranger Kind = iota
	User
	Worker
	kinds
)

// Limits bound the connections. Parts of All bind only under pressure.
type Limits struct {
	All int
	// Patience is how long a connection whose owner is known may send nothing
	// before it is closed to make room for another.
	Patience time.Duration
}

const (
	// crowded is the part of all connections from which the parts of users and
	// workers bind: what is kept beyond them is closed after its next answer.
	crowded = 0.9
	// workersPart and usersPart leave a rest to those that have just come.
	workersPart = 0.75
	usersPart   = 0.15
	// strangerPatience is how long a connection may be open without a request
	// before it makes room for another.
	strangerPatience = time.Second
)

// Visit is one connection in the book.
type Visit struct {
	kind  Kind
	since unit.Instant  // it waits for the next request since
	waits *list.Element // nil: a request is being served, or it is gone
	end   func()        // closes the connection
	gone  bool
}

// Book is the state of a door: who is in, and who has waited longest. It is
// pure; time comes in with every call.
type Book struct {
	limits  Limits
	open    int
	count   [kinds]int
	waiting [kinds]*list.List // of *Visit, the longest first
	// Evicted and Refused count connections closed to make room, and those for
	// which there was none.
	Evicted, Refused int
}

// NewBook returns the book of an empty house.
func NewBook(l Limits) *Book {
	b := &Book{limits: l}
	for k := range b.waiting {
		b.waiting[k] = list.New()
	}
	return b
}

// Enter takes in a new connection, which end closes, if there is room. To make
// some, it returns another that has to be closed. Strangers that say nothing go
// first: a flood of them must not push out workers.
func (b *Book) Enter(now unit.Instant, end func()) (v, evict *Visit) {
	if b.open >= b.limits.All {
		if evict = b.idlest(now); evict == nil {
			b.Refused++
			return nil, nil
		}
		b.Evicted++
		b.Leave(evict)
	}
	v = &Visit{end: end}
	b.open++
	b.count[Stranger]++
	b.wait(now, v)
	return v, evict
}

// idlest is the connection that is missed least, or nil.
func (b *Book) idlest(now unit.Instant) *Visit {
	for _, k := range []Kind{Stranger, Worker, User} {
		patience := b.limits.Patience
		if k == Stranger {
			patience = strangerPatience
		}
		if e := b.waiting[k].Front(); e != nil && now.Sub(e.Value.(*Visit).since) >= patience {
			return e.Value.(*Visit)
		}
	}
	return nil
}

func (b *Book) wait(now unit.Instant, v *Visit) {
	v.since = now
	v.waits = b.waiting[v.kind].PushBack(v)
}

func (b *Book) unwait(v *Visit) {
	if v.waits != nil {
		b.waiting[v.kind].Remove(v.waits)
		v.waits = nil
	}
}

// Begin notes a request on a connection, and tells whether the connection may
// be kept after the answer.
func (b *Book) Begin(v *Visit, k Kind) (keep bool) {
	if v.gone {
		return false // it was evicted as its request came
	}
	b.unwait(v)
	b.count[v.kind]--
	v.kind = k
	b.count[k]++
	if float64(b.open) <= crowded*float64(b.limits.All) {
		return true
	}
	part := workersPart
	if k == User {
		part = usersPart
	}
	return float64(b.count[k]) <= part*float64(b.limits.All)
}

// End notes that the request was answered.
func (b *Book) End(now unit.Instant, v *Visit) {
	if !v.gone && v.waits == nil {
		b.wait(now, v)
	}
}

// Leave notes that a connection is closed. It may be called again.
func (b *Book) Leave(v *Visit) {
	if v.gone {
		return
	}
	b.unwait(v)
	b.open--
	b.count[v.kind]--
	v.gone = true
}

// Open counts the connections, and those of a kind.
func (b *Book) Open() int { return b.open }

// Count counts the connections of a kind.
func (b *Book) Count(k Kind) int { return b.count[k] }
