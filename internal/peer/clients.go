// Package peer implements the protocol between the controller nodes: gRPC calls, and
// batches of heartbeats and cancel requests that are sent in a call or through a value of
// the state service. It provides the clients, the server setup and the messages; package
// meshpb contains the generated code. Package node implements the calls, and package relay
// decides which workers are relayed and when.
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
	bufferBytes     = 8 << 10 // per connection and direction

	// callTimeout is the timeout of calls that the peer answers from memory;
	// storeCallTimeout is the timeout of calls for which the peer waits for its leader
	// loop or the state service.
	callTimeout      = 600 * time.Millisecond
	storeCallTimeout = 2 * callTimeout

	minConnectTimeout = time.Second
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
)

var reconnectBackoff = backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second}

// ErrUnknownPeer is returned when the settings contain no peer of the given name.
var ErrUnknownPeer = errors.New("unknown peer")

// Clients holds the gRPC clients for the other nodes, by node name. It is safe for
// concurrent use. Errors of calls wrap gRPC status errors or ErrUnknownPeer.
type Clients struct {
	connections       map[string]*grpc.ClientConn
	names             []string
	connectionRefused map[string]*atomic.Bool // whether the last connection attempt was refused
}

// Dial returns clients for the peers. Connections are established on first use.
func Dial(peers []config.Peer) (*Clients, error) {
	c := &Clients{connections: map[string]*grpc.ClientConn{}, connectionRefused: map[string]*atomic.Bool{}}
	for _, p := range peers {
		refused := new(atomic.Bool)
		conn, err := newConnection(p.Addr, refused)
		if err != nil {
			c.Close()
			return nil, fmt.Errorf("creating the client for peer %s: %w", p.NodeName, err)
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

// ConnectionRefused reports whether the last attempt to connect to the peer was refused.
// A refusal means that the attempt got a reply: from a packet filter between the nodes, or
// from a machine whose process is down. In a network partition there is no reply.
func (c *Clients) ConnectionRefused(name string) bool {
	refused := c.connectionRefused[name]
	return refused != nil && refused.Load()
}

// Close closes all connections.
func (c *Clients) Close() {
	for _, conn := range c.connections {
		_ = conn.Close() // fails only if it is already closed
	}
}

// Names returns the names of the peers in the order of the settings. The caller must not
// modify the slice.
func (c *Clients) Names() []string { return c.names }

// QueryJob sends a status query or a cancel request to the peer.
func (c *Clients) QueryJob(ctx context.Context, name string, req *meshpb.AskRequest, timeout time.Duration) (*meshpb.AskReply, error) {
	return call(ctx, c, name, timeout, req, meshpb.MeshClient.Ask)
}

// NotifyJobChanged notifies the peer that a job was stored.
func (c *Clients) NotifyJobChanged(ctx context.Context, name, job string) error {
	_, err := call(ctx, c, name, callTimeout, &meshpb.NoticeRequest{Job: job}, meshpb.MeshClient.Notice)
	return err
}

// ForwardSubmission sends the body of a user's submission to the peer, which tries to
// store the job.
func (c *Clients) ForwardSubmission(ctx context.Context, name string, submission []byte) (*meshpb.AcceptReply, error) {
	return call(ctx, c, name, storeCallTimeout, &meshpb.AcceptRequest{Submission: submission}, meshpb.MeshClient.Accept)
}

// RelayBatch sends an encoded Batch to the peer and returns the encoded BatchReply.
func (c *Clients) RelayBatch(ctx context.Context, name string, batch []byte) ([]byte, error) {
	reply, err := call(ctx, c, name, storeCallTimeout, &meshpb.RelayRequest{Batch: batch}, meshpb.MeshClient.Relay)
	return reply.GetAnswers(), err
}

// Health queries whether the peer reaches the state service, and which leader it knows.
func (c *Clients) Health(ctx context.Context, name string) (*meshpb.HealthReply, error) {
	return call(ctx, c, name, callTimeout, &meshpb.HealthRequest{}, meshpb.MeshClient.Health)
}

// method is a method of the generated gRPC client.
type method[Request, Reply any] func(meshpb.MeshClient, context.Context, *Request, ...grpc.CallOption) (*Reply, error)

// call calls a method of the peer with a timeout. If it returns an error, the reply is nil.
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
