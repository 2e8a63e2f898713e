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
	minKeepaliveInterval = 5 * time.Second // that clients may use
)

// Serve answers the calls of other nodes on the listener, up to maxCalls of each at the
// same time. It returns nil once ctx is done, after it has closed the listener and all
// connections, and otherwise the error that ended it.
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
