package leasedelegation

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
)

// GrantTracker is what a leader knows of the grants that others may be using.
type GrantTracker struct {
	grantDuration time.Duration
	peers         map[string]*peerGrant
}

type peerGrant struct {
	zone    ident.Zone
	renewal fleet.DelegatedRenewal
}

// maxClockDrift is what the steady clocks of two nodes may differ by.
const maxClockDrift = 0.001

// NewGrantTracker returns the ledger of a leader that acquired its epoch at acquired.
// Grants of those before it may be in use for their whole life from then on:
// they were given before, by a leader that was entitled then.
func NewGrantTracker(set *config.Settings, acquired clock.Instant) *GrantTracker {
	l := &GrantTracker{grantDuration: GrantDuration(set.Params.Workers), peers: map[string]*peerGrant{}}
	for _, p := range set.Peers {
		l.peers[p.NodeName] = &peerGrant{ident.Zone(p.Zone), fleet.DelegatedRenewal{LastRenewal: acquired, NoneUntil: acquired, GrantsExpireAt: l.expiry(acquired)}}
	}
	return l
}

func (l *GrantTracker) expiry(now clock.Instant) clock.Instant {
	return now.Add(time.Duration(float64(l.grantDuration) * (1 + maxClockDrift)))
}

// Grant notes that a grant is given to a peer now, and returns its life.
func (l *GrantTracker) Grant(now clock.Instant, name string) time.Duration {
	p := l.peers[name]
	if p == nil {
		return 0
	}
	p.renewal.GrantsExpireAt = max(p.renewal.GrantsExpireAt, l.expiry(now))
	return l.grantDuration
}

// ConfirmIdle takes in that a peer, asked at sent, said at received that it has kept
// no worker for the time quiet.
func (l *GrantTracker) ConfirmIdle(name string, sent, received clock.Instant, quiet time.Duration) {
	p := l.peers[name]
	if p == nil {
		return
	}
	p.renewal.NoneUntil = max(p.renewal.NoneUntil, sent)
	p.renewal.LastRenewal = max(p.renewal.LastRenewal, received.Add(-quiet))
}

// RenewalIn sums up what may have been done by grants in a zone, or, if it is not
// known, in any. It returns false where no grant can have been used.
func (l *GrantTracker) RenewalIn(z ident.Zone) (fleet.DelegatedRenewal, bool) {
	var sum fleet.DelegatedRenewal
	found := false
	if l.grantDuration == 0 {
		return sum, false
	}
	for _, p := range l.peers {
		if z != "" && p.zone != z {
			continue
		}
		if !found {
			sum, found = p.renewal, true
			continue
		}
		sum.LastRenewal, sum.GrantsExpireAt = max(sum.LastRenewal, p.renewal.LastRenewal), max(sum.GrantsExpireAt, p.renewal.GrantsExpireAt)
		sum.NoneUntil = min(sum.NoneUntil, p.renewal.NoneUntil)
	}
	return sum, found
}
