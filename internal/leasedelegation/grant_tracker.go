package leasedelegation

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// GrantTracker tracks, on the leader, the grants that other nodes may be using.
type GrantTracker struct {
	grantDuration time.Duration
	peers         map[string]*peerGrant // by node name
}

type peerGrant struct {
	zone    ident.Zone
	renewal fleet.DelegatedRenewal
}

// NewGrantTracker returns the tracker of a leader that acquired its epoch at acquiredAt. Earlier leaders gave their
// grants before acquiredAt, while they were entitled to do so, so these grants may be in use for up to a full grant
// duration after acquiredAt.
func NewGrantTracker(settings *config.Settings, acquiredAt clock.Instant) *GrantTracker {
	t := &GrantTracker{grantDuration: GrantDuration(settings.Params.Workers), peers: map[string]*peerGrant{}}
	for _, p := range settings.Peers {
		t.peers[p.NodeName] = &peerGrant{
			zone:    ident.Zone(p.Zone),
			renewal: fleet.DelegatedRenewal{LastRenewal: acquiredAt, NoRenewalUntil: acquiredAt, GrantsExpireAt: t.latestExpiry(acquiredAt)},
		}
	}
	return t
}

// latestExpiry returns the time by which a grant given at now has expired on every node, allowing for clock drift.
func (t *GrantTracker) latestExpiry(now clock.Instant) clock.Instant {
	return now.Add(time.Duration(float64(t.grantDuration) * (1 + 2*fleet.MaxClockDriftRatio)))
}

// Grant records that a grant is given to a peer at now and returns its duration. It returns 0 if no grant is given.
func (t *GrantTracker) Grant(now clock.Instant, node string) time.Duration {
	p := t.peers[node]
	if p == nil {
		return 0
	}
	p.renewal.GrantsExpireAt = max(p.renewal.GrantsExpireAt, t.latestExpiry(now))
	return t.grantDuration
}

// ConfirmIdle records that a peer, in response to a request sent at sentAt and answered at receivedAt, reported that it
// has renewed no lease for idleFor.
func (t *GrantTracker) ConfirmIdle(node string, sentAt, receivedAt clock.Instant, idleFor time.Duration) {
	p := t.peers[node]
	if p == nil {
		return
	}
	p.renewal.NoRenewalUntil = max(p.renewal.NoRenewalUntil, sentAt)
	p.renewal.LastRenewal = max(p.renewal.LastRenewal, receivedAt.Add(-idleFor))
}

// RenewalIn returns the combined bounds on lease renewals under grants by the nodes of a zone, or by all nodes if zone
// is empty. It returns false if no node there can have used a grant.
func (t *GrantTracker) RenewalIn(zone ident.Zone) (combined fleet.DelegatedRenewal, found bool) {
	if t.grantDuration == 0 {
		return combined, false
	}
	for _, p := range t.peers {
		if zone != "" && p.zone != zone {
			continue
		}
		if !found {
			combined, found = p.renewal, true
			continue
		}
		combined.LastRenewal = max(combined.LastRenewal, p.renewal.LastRenewal)
		combined.NoRenewalUntil = min(combined.NoRenewalUntil, p.renewal.NoRenewalUntil)
		combined.GrantsExpireAt = max(combined.GrantsExpireAt, p.renewal.GrantsExpireAt)
	}
	return combined, found
}
