package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"badgerbay/internal/peer/meshpb"
)

const (
	handshakeTimeout     = 5 * time.Second
	minKeepaliveInterval = 5 * time.Second // the shortest that clients may use
)

// Serve serves the calls of other nodes on the listener, with at most maxCalls concurrent
// calls per connection. Once ctx is done, it closes the listener and all connections and
// returns nil. Otherwise it returns the error that stopped it.
func Serve(ctx context.Context, l net.Listener, impl meshpb.MeshServer, maxCalls int) error {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxConcurrentStreams(uint32(maxCalls)),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
	)
	meshpb.RegisterMeshServer(s, impl)
	cancelStop := context.AfterFunc(ctx, s.Stop)
	defer cancelStop()
	err := s.Serve(l)
	if ctx.Err() != nil && (err == nil || errors.Is(err, grpc.ErrServerStopped)) {
		return nil
	}
	return err
}
