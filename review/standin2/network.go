package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
)

// linkMode is the state of a link between two parties.
type linkMode int

const (
	linkUp     linkMode = iota
	linkHeld            // messages are held, and delivered when the link is up again
	linkReset           // connections are reset
	linkRefuse          // the other party answers with status 503, or refuses connections
)

// link is a link between two parties whose state a case changes.
type link struct {
	mu      sync.Mutex
	mode    linkMode
	changed chan struct{}
}

func newLink() *link { return &link{changed: make(chan struct{})} }

func (l *link) set(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) get() (linkMode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

func (l *link) current() linkMode {
	m, _ := l.get()
	return m
}

// await blocks while the link holds messages, and returns its state afterwards. It returns linkHeld if ctx ends first.
func (l *link) await(ctx context.Context) linkMode {
	for {
		m, changed := l.get()
		if m != linkHeld {
			return m
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return linkHeld
		}
	}
}

// proxy forwards TCP connections over a link, in both directions.
type proxy struct {
	listener net.Listener
	target   string
	link     *link
}

func startProxy(ctx context.Context, target string, l *link) (*proxy, error) {
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, link: l}
	go p.run(ctx)
	context.AfterFunc(ctx, func() { listener.Close() })
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) run(ctx context.Context) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, conn.(*net.TCPConn))
	}
}

func (p *proxy) serve(ctx context.Context, client *net.TCPConn) {
	defer client.Close()
	if m := p.link.await(ctx); m != linkUp {
		client.SetLinger(0)
		return
	}
	conn, err := net.Dial("tcp4", p.target)
	if err != nil {
		client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { p.pump(ctx, client, server) })
	both.Go(func() { p.pump(ctx, server, client) })
	both.Wait()
}

// pump copies bytes in one direction. Bytes that arrive while the link holds messages are delivered afterwards, even if
// the sender has closed the connection.
func (p *proxy) pump(ctx context.Context, from, to *net.TCPConn) {
	defer to.CloseWrite()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if m := p.link.await(ctx); m != linkUp {
			from.SetLinger(0)
			to.SetLinger(0)
			from.Close()
			to.Close()
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// The stand-ins and the controllers listen on loopback addresses of their own, which differ from those of other cases
// that run at the same time and from the source address of connections. No port that was found free is taken meanwhile.
var (
	loopback           = loopbackOf(1)
	controllerLoopback = loopbackOf(129)
)

func loopbackOf(base int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", base+(pid>>16)%126, pid>>8&0xff, 1+(pid&0xff)%254)
}
