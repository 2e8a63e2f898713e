package peer

import (
	"errors"
	"net"
	"testing"

	"badgerbay/internal/config"
)

// TestConnectionRefused checks that ConnectionRefused reports a refused
// connection attempt, and nothing before the first attempt. This distinguishes the peer
// from one behind a network partition, because its workers may still be reachable.
func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	p, err := Dial([]config.Peer{{NodeName: "n1", Addr: addr}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	if p.ConnectionRefused("n1") || p.ConnectionRefused("unknown-peer") {
		t.Error("connection reported as refused before the first attempt")
	}
	l.Close()
	if _, err := p.Health(t.Context(), "n1"); err == nil || !p.ConnectionRefused("n1") {
		t.Errorf("Health: error %v, connection refused %v", err, p.ConnectionRefused("n1"))
	}
}

// TestUnknownPeer checks that a call to a node that is not in the settings fails with
// ErrUnknownPeer.
func TestUnknownPeer(t *testing.T) {
	clients, err := Dial(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(clients.Close)
	if _, err := clients.RelayBatch(t.Context(), "n1", nil); !errors.Is(err, ErrUnknownPeer) {
		t.Errorf("error %v, want %v", err, ErrUnknownPeer)
	}
}
