package delegation

import (
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/unit"
)

// Ledger is what a leader knows of the grants that others may be using.
type Ledger struct {
	life  time.Duration
	peers map[string]*peer
}

type peer struct {
	zone unit.Zone
	span fleet.Delegated
}

// drift is what the steady clocks of two nodes may differ by.
const drift = 0.001

// NewLedger returns the ledger of a leader that acquired its epoch at acquired.
// Grants of those before it may be in use for their whole life from then on:
// they were given before, by a leader that was entitled then.
func NewLedger(set *config.Settings, acquired unit.Instant) *Ledger {
	l := &Ledger{life: Life(set.Params.Workers), peers: map[string]*peer{}}
	for _, p := range set.Peers {
		l.peers[p.Label] = &peer{unit.Zone(p.Location), fleet.Delegated{Last: acquired, Free: acquired, End: l.end(acquired)}}
	}
	return l
}

func (l *Ledger) end(now unit.Instant) unit.Instant {
	return now.Add(time.Duration(float64(l.life) * (1 + drift)))
}

// Grant notes that a grant is given to a peer now, and returns its life.
func (l *Ledger) Grant(now unit.Instant, name string) time.Duration {
	p := l.peers[name]
	if p == nil {
		return 0
	}
	p.span.End = max(p.span.End, l.end(now))
	return l.life
}

// Attest takes in that a peer, asked at sent, said at received that it has kept
// no worker for the time quiet.
func (l *Ledger) Attest(name string, sent, received unit.Instant, quiet time.Duration) {
	p := l.peers[name]
	if p == nil {
		return
	}
	p.span.Free = max(p.span.Free, sent)
	p.span.Last = max(p.span.Last, received.Add(-quiet))
}

// Zone sums up what may have been done by grants in a zone, or, if it is not
// known, in any. It returns false where no grant can have been used.
func (l *Ledger) Zone(z unit.Zone) (fleet.Delegated, bool) {
	var sum fleet.Delegated
	found := false
	if l.life == 0 {
		return sum, false
	}
	for _, p := range l.peers {
		if z != "" && p.zone != z {
			continue
		}
		if !found {
			sum, found = p.span, true
			continue
		}
		sum.Last, sum.End = max(sum.Last, p.span.Last), max(sum.End, p.span.End)
		sum.Free = min(sum.Free, p.span.Free)
	}
	return sum, found
}
