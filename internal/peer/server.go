package peer

import (
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

// Serve answers the calls of other nodes on the listener until it is closed. It runs
// up to maxCalls calls of each node at the same time. The error is never nil.
func Serve(l net.Listener, impl meshpb.MeshServer, maxCalls int) error {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxConcurrentStreams(uint32(maxCalls)),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
	)
	meshpb.RegisterMeshServer(s, impl)
	return s.Serve(l)
}
