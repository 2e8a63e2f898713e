package leasedelegation

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// GrantTracker is what a leader knows of the grants that other nodes may be using.
type GrantTracker struct {
	grantDuration time.Duration
	peers         map[string]*peerGrant // by node name
}

type peerGrant struct {
	zone    ident.Zone
	renewal fleet.DelegatedRenewal
}

// NewGrantTracker returns the tracker of a leader that acquired its epoch at acquiredAt.
// Grants of earlier leaders may be in use for their whole duration from then on: they were
// given before, by a leader that was entitled then.
func NewGrantTracker(settings *config.Settings, acquiredAt clock.Instant) *GrantTracker {
	t := &GrantTracker{grantDuration: GrantDuration(settings.Params.Workers), peers: map[string]*peerGrant{}}
	for _, p := range settings.Peers {
		t.peers[p.NodeName] = &peerGrant{
			zone:    ident.Zone(p.Zone),
			renewal: fleet.DelegatedRenewal{LastRenewal: acquiredAt, NoneUntil: acquiredAt, GrantsExpireAt: t.latestExpiry(acquiredAt)},
		}
	}
	return t
}

// latestExpiry is when a grant given at now has surely expired by the clock of any node.
func (t *GrantTracker) latestExpiry(now clock.Instant) clock.Instant {
	return now.Add(time.Duration(float64(t.grantDuration) * (1 + 2*fleet.MaxClockDrift)))
}

// Grant notes that a grant is given to a peer now, and returns its duration; 0: none is
// given.
func (t *GrantTracker) Grant(now clock.Instant, node string) time.Duration {
	p := t.peers[node]
	if p == nil {
		return 0
	}
	p.renewal.GrantsExpireAt = max(p.renewal.GrantsExpireAt, t.latestExpiry(now))
	return t.grantDuration
}

// ConfirmIdle notes that a peer, asked at sentAt, answered at receivedAt that it has
// renewed no lease for idleFor.
func (t *GrantTracker) ConfirmIdle(node string, sentAt, receivedAt clock.Instant, idleFor time.Duration) {
	p := t.peers[node]
	if p == nil {
		return
	}
	p.renewal.NoneUntil = max(p.renewal.NoneUntil, sentAt)
	p.renewal.LastRenewal = max(p.renewal.LastRenewal, receivedAt.Add(-idleFor))
}

// RenewalIn sums up what may have been done under grants in a zone or, if that is empty, in
// any. It returns false where no grant can have been used.
func (t *GrantTracker) RenewalIn(zone ident.Zone) (sum fleet.DelegatedRenewal, found bool) {
	if t.grantDuration == 0 {
		return sum, false
	}
	for _, p := range t.peers {
		if zone != "" && p.zone != zone {
			continue
		}
		if !found {
			sum, found = p.renewal, true
			continue
		}
		sum.LastRenewal = max(sum.LastRenewal, p.renewal.LastRenewal)
		sum.NoneUntil = min(sum.NoneUntil, p.renewal.NoneUntil)
		sum.GrantsExpireAt = max(sum.GrantsExpireAt, p.renewal.GrantsExpireAt)
	}
	return sum, found
}
