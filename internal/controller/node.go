package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"badgerbay/internal/config"
	"badgerbay/internal/connlimit"
	"badgerbay/internal/fleet"
	"badgerbay/internal/leadership"
	"badgerbay/internal/mesh"
	"badgerbay/internal/policy"
	"badgerbay/internal/relay"
	"badgerbay/internal/rental"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

const tickEvery = 50 * time.Millisecond

// leastQueued is how many requests may wait for the core, or to be relayed, at
// least.
const leastQueued = 1024

// mostQueued is how many requests of workers and users may wait for the core, or to
// be relayed. A connection has one request under way at a time, so all that can be
// open fit, however many machines reconnect at once.
func mostQueued(set *config.Settings) int {
	return max(leastQueued, set.Params.MachineLimits.MaxSockets)
}

// view is what the handlers may know of the core without asking it.
type view struct {
	leader string
	types  []*fleet.MachineType
	epoch  unit.Epoch // of this node, 0 if it does not lead
	// standby is how this node stands to the leader.
	standby leadership.StandbyStatus
}

// equal tells whether nothing that the handlers may know has changed.
func (v *view) equal(o *view) bool {
	return v.leader == o.leader && v.epoch == o.epoch && len(v.types) == len(o.types) && v.standby == o.standby
}

// Node runs a core and carries out its effects.
type Node struct {
	set    *config.Settings
	pol    *policy.Policy
	log    *slog.Logger
	met    *Metrics
	teams  map[unit.Team]config.Team
	clock  unit.Clock
	budget *statestore.Budget
	store  *statestore.Client
	cloud  *rental.Client
	worker *http.Client
	doing  chan struct{} // holds one for each direct command under way
	peers  *mesh.Clients
	core   *Core
	stop   chan error
	inbox  chan Input
	view   atomic.Pointer[view]
	health health
	pace   *userapi.RetryPacer
	asked  atomic.Uint32 // submissions that others were asked to store

	kept            atomic.Bool  // the machine types are stored
	keeperIdleSince atomic.Int64 // see delegation.Keeper
	router          relay.Router
	relayOut        chan relay.PendingRequest
	meshFailed      sync.Map      // peer to the Instant of its last failure
	standby         *standbyActor // nil: there is no warm standby
	holder          *holderActor  // nil: there are no team quotas
}

// dependencies are what a node reaches the outside with.
type dependencies struct {
	clock  unit.Clock
	state  http.RoundTripper // to the state service
	cloud  http.RoundTripper
	worker http.RoundTripper // for direct commands
}

// NewNode composes a node from its settings.
func NewNode(set *config.Settings, pol *policy.Policy, log *slog.Logger) (*Node, error) {
	return newNode(set, pol, log, dependencies{
		clock:  unit.NewSystem(),
		state:  transport(16),
		cloud:  transport(4),
		worker: workerTransport(sockets(set, idleShare)),
	})
}

func newNode(set *config.Settings, pol *policy.Policy, log *slog.Logger, deps dependencies) (*Node, error) {
	peers, err := mesh.Dial(set.Peers)
	if err != nil {
		return nil, err
	}
	p := set.Params
	n := &Node{set: set, pol: pol, log: log, met: NewMetrics(), teams: p.TeamsByName(), clock: deps.clock, peers: peers,
		budget: statestore.NewBudget(len(set.Peers)+1, p.StateService.RPS, p.StateService.Strictest().WriteRPS),
		store:  statestore.NewClient(set.External.StateService, deps.state),
		cloud:  rental.NewClient(set.External.Cloud, deps.cloud),
		worker: &http.Client{Transport: deps.worker, Timeout: doTimeout},
		doing:  make(chan struct{}, sockets(set, doShare)),
		stop:   make(chan error, 1),
		inbox:  make(chan Input, mostQueued(set)), relayOut: make(chan relay.PendingRequest, mostQueued(set))}
	n.health.hint.Store("")
	n.pace = userapi.NewRetryPacer(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.core = NewCore(set, pol, deps.clock, n.budget, rng, log, n.met)
	n.view.Store(&view{})
	n.keeperIdleSince.Store(int64(n.core.DelegateIdleSince()))
	if w := pol.Features.WarmStandby; w != nil {
		n.standby = newStandbyActor(n, w)
	}
	if pol.Features.TeamQuotas {
		n.holder = newHolderActor(n)
	}
	return n, nil
}

// Shares of the process's sockets. Workers and users come to the listener: at
// the leader, every machine holds one of its connections. Direct commands hold
// one each while they are under way, and some for a while after; the rest is for
// the other nodes, the state service and the cloud.
const (
	listenShare = 0.78
	meshShare   = 0.05
	doShare     = 0.12
	idleShare   = 0.03
)

func sockets(set *config.Settings, share float64) int {
	return max(1, int(share*float64(set.Params.MachineLimits.MaxSockets)))
}

// workerTransport keeps few connections to workers, and those not for long: one
// kept for each of 1,300 machines would take most of the sockets.
func workerTransport(idle int) *http.Transport {
	t := transport(1)
	t.MaxIdleConns, t.IdleConnTimeout = idle, 10*time.Second
	return t
}

// transport returns a round tripper that keeps few connections for each host.
func transport(perHost int) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost:   perHost,
		IdleConnTimeout:       60 * time.Second,
		ResponseHeaderTimeout: 65 * time.Second,
		DisableCompression:    true,
		ReadBufferSize:        4 << 10,
		WriteBufferSize:       4 << 10,
	}
}

// Run serves until the context ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	users, err := net.Listen("tcp4", n.set.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := net.Listen("tcp4", n.set.PeerListen)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	limited := n.limitConnections(users)
	server := n.newServer(limited)
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(limited) }()
	go func() {
		failed <- mesh.Serve(netutil.LimitListener(peers, max(2*len(n.set.Peers)+2, sockets(n.set, meshShare))), &meshServer{n: n}, mostQueued(n.set))
	}()
	go n.act(ctx)
	go n.relayUp(ctx)
	go n.watchHealth(ctx)
	go n.watchLoad(ctx, limited)
	if n.standby != nil {
		go n.standby.run(ctx)
		go n.standby.listMachines(ctx)
	}
	if n.holder != nil {
		go n.holder.run(ctx)
	}
	n.log.Info("serving", "node", n.set.NodeName, "zone", n.set.Zone)
	select {
	case <-ctx.Done():
		server.Close()
		return nil
	case err := <-n.stop:
		server.Close()
		return err
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}

// limitConnections keeps the connections of workers and users within their share of the
// sockets. At the leader every machine holds one; there may be more machines
// than that. A listener that stopped accepting left them, and with them users
// and the load balancer's probes, without an answer.
func (n *Node) limitConnections(l net.Listener) *connlimit.Listener {
	limited := connlimit.NewListener(l, connlimit.Limits{MaxConnections: sockets(n.set, listenShare), IdleTimeout: 2*n.set.Params.Workers.HeartbeatInterval() + time.Second}, n.clock.Now)
	n.met.RegisterConnections(limited)
	return limited
}

func (n *Node) newServer(limited *connlimit.Listener) *http.Server {
	return &http.Server{Handler: limited.Handler(clientKind, n.routes()), ConnContext: limited.ConnContext,
		ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
}

// clientKind tells who makes a request.
func clientKind(r *http.Request) connlimit.ClientKind {
	if r.URL.Path == beatPath {
		return connlimit.Worker
	}
	return connlimit.User
}

// act is the actor: it alone touches the core.
func (n *Node) act(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	n.step(ctx, Tick{})
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-n.inbox:
			n.step(ctx, in)
		case <-tick.C:
			n.step(ctx, Tick{})
		}
	}
}

func (n *Node) step(ctx context.Context, in Input) {
	effects := n.core.Step(n.clock.Now(), in)
	n.keeperIdleSince.Store(int64(n.core.DelegateIdleSince()))
	old := n.view.Load()
	if v := (view{leader: n.core.Leader(), types: n.core.MachineTypes(), epoch: n.core.Epoch(), standby: n.core.Standby()}); !v.equal(old) {
		n.view.Store(&v)
	}
	for _, e := range effects {
		n.carryOut(ctx, e)
	}
}

// offer hands an input from outside to the core, unless it is overloaded.
func (n *Node) offer(in Input) bool {
	select {
	case n.inbox <- in:
		return true
	default:
		return false
	}
}

// post hands the answer to an effect to the core. The core waits for it, so it
// is never dropped; the number of calls under way is bounded.
func (n *Node) post(ctx context.Context, in Input) {
	select {
	case n.inbox <- in:
	case <-ctx.Done():
	}
}
