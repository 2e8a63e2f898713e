package peer

import (
	"errors"
	"net"
	"testing"

	"badgerbay/internal/config"
)

// TestConnectionRefusedIsReported: a peer that refuses connections is told from one
// behind a network partition: its workers may still be reached.
func TestConnectionRefusedIsReported(t *testing.T) {
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
	if p.ConnectionRefused("n1") || p.ConnectionRefused("unheard-of") {
		t.Error("refused before anything was tried")
	}
	l.Close()
	if _, err := p.Health(t.Context(), "n1"); err == nil || !p.ConnectionRefused("n1") {
		t.Errorf("%v, refused %v", err, p.ConnectionRefused("n1"))
	}
}

// TestUnknownPeer: a call of a node that the settings don't name fails at once.
func TestUnknownPeer(t *testing.T) {
	clients, err := Dial(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(clients.Close)
	if _, err := clients.RelayBatch(t.Context(), "n1", nil); !errors.Is(err, ErrUnknownPeer) {
		t.Errorf("%v, want %v", err, ErrUnknownPeer)
	}
}
