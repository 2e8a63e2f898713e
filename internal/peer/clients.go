// Package peer carries what the controller nodes say to one another over gRPC.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"badgerbay/internal/ident"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"badgerbay/internal/config"
	"badgerbay/internal/peer/meshpb"
)

const (
	maxMessageBytes = 256 << 10
	bufferBytes     = 8 << 10
	callTimeout     = 600 * time.Millisecond
)

// Clients are the connections to the other nodes.
type Clients struct {
	connections       map[string]*grpc.ClientConn
	names             []string
	connectionRefused map[string]*atomic.Bool // the last connection was refused
}

// Dial prepares connections to the peers; they are made when first used.
func Dial(peers []config.Peer) (*Clients, error) {
	p := &Clients{connections: map[string]*grpc.ClientConn{}, connectionRefused: map[string]*atomic.Bool{}}
	for _, peer := range peers {
		refused := new(atomic.Bool)
		p.connectionRefused[peer.NodeName] = refused
		conn, err := grpc.NewClient("passthrough:///"+peer.Addr,
			grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
			grpc.WithContextDialer(newDialer(refused)),
			grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
				Backoff: backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second}}))
		if err != nil {
			p.Close()
			return nil, fmt.Errorf("peer %s: %w", peer.NodeName, err)
		}
		p.connections[peer.NodeName] = conn
		p.names = append(p.names, peer.NodeName)
	}
	return p, nil
}

// newDialer connects, and notes whether the connection was refused.
func newDialer(refused *atomic.Bool) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp4", addr)
		refused.Store(errors.Is(err, syscall.ECONNREFUSED))
		return conn, err
	}
}

// ConnectionRefused tells whether the last attempt to connect to the peer was refused.
// Something answers there then: a packet filter between the nodes, or a machine
// whose process is down. A network that is cut says nothing.
func (p *Clients) ConnectionRefused(name string) bool {
	r := p.connectionRefused[name]
	return r != nil && r.Load()
}

// Close ends all connections.
func (p *Clients) Close() {
	for _, c := range p.connections {
		c.Close()
	}
}

// Names lists the peers.
func (p *Clients) Names() []string { return p.names }

func (p *Clients) client(name string) (meshpb.MeshClient, error) {
	conn := p.connections[name]
	if conn == nil {
		return nil, fmt.Errorf("no peer %q", name)
	}
	return meshpb.NewMeshClient(conn), nil
}

// QueryJob polls or cancels a job at the peer.
func (p *Clients) QueryJob(ctx context.Context, name string, req *meshpb.AskRequest, timeout time.Duration) (*meshpb.AskReply, error) {
	c, err := p.client(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Ask(ctx, req)
}

// NotifyJobChanged tells the peer of a job.
func (p *Clients) NotifyJobChanged(ctx context.Context, name, job string) error {
	c, err := p.client(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = c.Notice(ctx, &meshpb.NoticeRequest{Job: job})
	return err
}

// ForwardSubmission hands a submission to the peer.
func (p *Clients) ForwardSubmission(ctx context.Context, name string, submission []byte) (*meshpb.AcceptReply, error) {
	c, err := p.client(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return c.Accept(ctx, &meshpb.AcceptRequest{Submission: submission})
}

// RelayBatch hands a batch of reports to the peer.
func (p *Clients) RelayBatch(ctx context.Context, name string, batch []byte) ([]byte, error) {
	c, err := p.client(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	reply, err := c.Relay(ctx, &meshpb.RelayRequest{Batch: batch})
	if err != nil {
		return nil, err
	}
	return reply.Answers, nil
}

// Health asks what the peer can reach.
func (p *Clients) Health(ctx context.Context, name string) (*meshpb.HealthReply, error) {
	c, err := p.client(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Health(ctx, &meshpb.HealthRequest{})
}

// MachineIDsFit tells whether the names of machines fit into one message, beside what
// else it holds.
func MachineIDsFit(names []ident.MachineID) bool {
	const head = 3 // of a text of up to 64 KiB
	size := 0
	for _, name := range names {
		size += len(name) + head
	}
	return size <= maxMessageBytes/2
}

// Serve answers peers on the listener until it is closed, up to calls of each at
// the same time.
func Serve(l net.Listener, impl meshpb.MeshServer, calls int) error {
	s := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.MaxConcurrentStreams(uint32(calls)), grpc.ConnectionTimeout(5*time.Second),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}))
	meshpb.RegisterMeshServer(s, impl)
	return s.Serve(l)
}
