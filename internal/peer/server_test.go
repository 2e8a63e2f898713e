package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/peer/meshpb"
)

// healthServer implements only the Health method.
type healthServer struct{ meshpb.UnimplementedMeshServer }

// Health implements meshpb.MeshServer.
func (healthServer) Health(context.Context, *meshpb.HealthRequest) (*meshpb.HealthReply, error) {
	return &meshpb.HealthReply{StateReached: true, Leader: "n1"}, nil
}

// TestServeStopsWithContext checks that Serve serves calls until its context is cancelled,
// and then returns nil, and that later calls fail.
func TestServeStopsWithContext(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, l, healthServer{}, 1) }()
	clients, err := Dial([]config.Peer{{NodeName: "n1", Addr: l.Addr().String()}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(clients.Close)
	reply, err := clients.Health(ctx, "n1")
	if err != nil || !reply.StateReached || reply.Leader != "n1" {
		t.Fatalf("%v, %v", reply, err)
	}
	stop()
	select {
	case err := <-served:
		if err != nil {
			t.Errorf("Serve returned %v after its context was cancelled, want nil", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Serve did not return after its context was cancelled")
	}
	if reply, err := clients.Health(t.Context(), "n1"); err == nil {
		t.Errorf("got reply %v after Serve returned", reply)
	}
}
