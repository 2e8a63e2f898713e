// Package peer is the protocol that the controller nodes speak with one another: gRPC
// calls, and batches of heartbeats and cancel requests that travel in a call or in a
// value of the key-value store. It owns the clients, the server set-up and the
// messages; the generated code is in meshpb. What a call means is left to package
// node, and who is relayed and when to package relay.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"badgerbay/internal/config"
	"badgerbay/internal/peer/meshpb"
)

const (
	maxMessageBytes = 256 << 10
	bufferBytes     = 8 << 10 // of each connection, each way

	// callTimeout bounds a call that is answered from memory, storeCallTimeout one for
	// which the peer waits for its leader loop or the key-value store.
	callTimeout      = 600 * time.Millisecond
	storeCallTimeout = 2 * callTimeout

	minConnectTimeout = time.Second
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
)

var reconnectBackoff = backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second}

// ErrUnknownPeer says that the settings name no such node.
var ErrUnknownPeer = errors.New("unknown peer")

// Clients are the gRPC clients of the other nodes, by node name. They are safe for
// concurrent use. Errors of their calls wrap gRPC's status errors, or ErrUnknownPeer.
type Clients struct {
	connections       map[string]*grpc.ClientConn
	names             []string
	connectionRefused map[string]*atomic.Bool // the last connection attempt was
}

// Dial returns clients for the peers. Connections are made when first used.
func Dial(peers []config.Peer) (*Clients, error) {
	c := &Clients{connections: map[string]*grpc.ClientConn{}, connectionRefused: map[string]*atomic.Bool{}}
	for _, p := range peers {
		refused := new(atomic.Bool)
		conn, err := newConnection(p.Addr, refused)
		if err != nil {
			c.Close()
			return nil, fmt.Errorf("connecting to peer %s: %w", p.NodeName, err)
		}
		c.connections[p.NodeName] = conn
		c.connectionRefused[p.NodeName] = refused
		c.names = append(c.names, p.NodeName)
	}
	return c, nil
}

func newConnection(addr string, refused *atomic.Bool) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(newDialer(refused)),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minConnectTimeout, Backoff: reconnectBackoff}),
	)
}

// newDialer returns a dialer that records whether its last attempt was refused.
func newDialer(refused *atomic.Bool) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp4", addr)
		refused.Store(errors.Is(err, syscall.ECONNREFUSED))
		return conn, err
	}
}

// ConnectionRefused reports whether the last attempt to connect to the peer was
// refused. Then something answered: a packet filter between the nodes, or a machine
// whose process is down. In a network partition nothing answers.
func (c *Clients) ConnectionRefused(name string) bool {
	refused := c.connectionRefused[name]
	return refused != nil && refused.Load()
}

// Close closes all connections.
func (c *Clients) Close() {
	for _, conn := range c.connections {
		_ = conn.Close() // it fails only if it is closed already
	}
}

// Names lists the peers in the order of the settings. The caller must not change it.
func (c *Clients) Names() []string { return c.names }

// QueryJob sends a status query or a cancel request to the peer.
func (c *Clients) QueryJob(ctx context.Context, name string, req *meshpb.AskRequest, timeout time.Duration) (*meshpb.AskReply, error) {
	return call(ctx, c, name, timeout, req, meshpb.MeshClient.Ask)
}

// NotifyJobChanged tells the peer that a job was stored.
func (c *Clients) NotifyJobChanged(ctx context.Context, name, job string) error {
	_, err := call(ctx, c, name, callTimeout, &meshpb.NoticeRequest{Job: job}, meshpb.MeshClient.Notice)
	return err
}

// ForwardSubmission sends the body of a user's submission to the peer, which stores
// the job if it can.
func (c *Clients) ForwardSubmission(ctx context.Context, name string, submission []byte) (*meshpb.AcceptReply, error) {
	return call(ctx, c, name, storeCallTimeout, &meshpb.AcceptRequest{Submission: submission}, meshpb.MeshClient.Accept)
}

// RelayBatch sends an encoded Batch to the peer and returns the encoded BatchReply.
func (c *Clients) RelayBatch(ctx context.Context, name string, batch []byte) ([]byte, error) {
	reply, err := call(ctx, c, name, storeCallTimeout, &meshpb.RelayRequest{Batch: batch}, meshpb.MeshClient.Relay)
	return reply.GetAnswers(), err
}

// Health asks the peer what it can reach.
func (c *Clients) Health(ctx context.Context, name string) (*meshpb.HealthReply, error) {
	return call(ctx, c, name, callTimeout, &meshpb.HealthRequest{}, meshpb.MeshClient.Health)
}

// method is a method of the gRPC client.
type method[Request, Reply any] func(meshpb.MeshClient, context.Context, *Request, ...grpc.CallOption) (*Reply, error)

// call calls a method of the peer. The reply is nil if there is an error.
func call[Request, Reply any](ctx context.Context, c *Clients, name string, timeout time.Duration, req *Request, invoke method[Request, Reply]) (*Reply, error) {
	conn := c.connections[name]
	if conn == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownPeer, name)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := invoke(meshpb.NewMeshClient(conn), ctx, req)
	if err != nil {
		return nil, fmt.Errorf("calling peer %s: %w", name, err)
	}
	return reply, nil
}
