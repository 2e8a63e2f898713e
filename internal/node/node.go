// Package node runs the controller's core as an actor and carries out its effects: it serves
// users, workers and the other nodes, and calls the state service, the cloud and the workers.
// What is decided, and when, is the core's.
package node

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

	"badgerbay/internal/clock"
	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"golang.org/x/net/netutil"

	"badgerbay/internal/api"
	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/connlimit"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/peer"
	"badgerbay/internal/policy"
	"badgerbay/internal/relay"
)

const tickInterval = 50 * time.Millisecond

// minQueuedRequests is how many requests may wait for the core, or to be relayed, at
// least.
const minQueuedRequests = 1024

// maxQueuedRequests is how many requests of workers and users may wait for the core, or to
// be relayed. A connection has one request under way at a time, so all that can be
// open fit, however many machines reconnect at once.
func maxQueuedRequests(set *config.Settings) int {
	return max(minQueuedRequests, set.Params.MachineLimits.MaxSockets)
}

// coreView is what the handlers may know of the core without asking it.
type coreView struct {
	leader       string
	machineTypes []*fleet.MachineType
	epoch        ident.Epoch // of this node, 0 if it does not lead
	// standby is how this node stands to the leader.
	standby election.StandbyStatus
}

// equal tells whether nothing that the handlers may know has changed.
func (v *coreView) equal(o *coreView) bool {
	return v.leader == o.leader && v.epoch == o.epoch && len(v.machineTypes) == len(o.machineTypes) && v.standby == o.standby
}

// Node runs a core and carries out its effects.
type Node struct {
	settings     *config.Settings
	policy       *policy.Policy
	log          *slog.Logger
	metrics      *controller.Metrics
	teams        map[ident.Team]config.Team
	clock        clock.Clock
	budget       *kvstore.Budget
	store        *kvstore.Client
	cloud        *cloud.Client
	workerClient *http.Client
	commandSlots chan struct{} // holds one for each direct command under way
	peers        *peer.Clients
	core         *controller.Core
	fatal        chan error
	inbox        chan controller.Input
	view         atomic.Pointer[coreView]
	health       reachability
	retryPacer   *api.RetryPacer
	forwardCount atomic.Uint32 // submissions that others were asked to store

	machineTypesStored atomic.Bool  // the machine types are stored
	delegateIdleSince  atomic.Int64 // see delegation.Keeper
	router             relay.Router
	relayQueue         chan relay.PendingRequest
	peerFailures       sync.Map          // peer to the Instant of its last failure
	standby            *standbyActor     // nil: there is no warm standby
	quotaHolder        *quotaHolderActor // nil: there are no team quotas
}

// dependencies are what a node reaches the outside with.
type dependencies struct {
	clock  clock.Clock
	state  http.RoundTripper // to the state service
	cloud  http.RoundTripper
	worker http.RoundTripper // for direct commands
}

// NewNode composes a node from its settings.
func NewNode(set *config.Settings, pol *policy.Policy, log *slog.Logger) (*Node, error) {
	return newNode(set, pol, log, dependencies{
		clock:  clock.NewSystem(),
		state:  newTransport(16),
		cloud:  newTransport(4),
		worker: newWorkerTransport(socketShare(set, idleCommandSocketShare)),
	})
}

func newNode(set *config.Settings, pol *policy.Policy, log *slog.Logger, deps dependencies) (*Node, error) {
	peers, err := peer.Dial(set.Peers)
	if err != nil {
		return nil, err
	}
	p := set.Params
	n := &Node{settings: set, policy: pol, log: log, metrics: controller.NewMetrics(), teams: p.TeamsByName(), clock: deps.clock, peers: peers,
		budget:       kvstore.NewBudget(len(set.Peers)+1, p.StateService.RPS, p.StateService.Strictest().WriteRPS),
		store:        kvstore.NewClient(set.External.StateService, deps.state),
		cloud:        cloud.NewClient(set.External.Cloud, deps.cloud),
		workerClient: &http.Client{Transport: deps.worker, Timeout: commandTimeout},
		commandSlots: make(chan struct{}, socketShare(set, commandSocketShare)),
		fatal:        make(chan error, 1),
		inbox:        make(chan controller.Input, maxQueuedRequests(set)), relayQueue: make(chan relay.PendingRequest, maxQueuedRequests(set))}
	n.health.leaderHint.Store("")
	n.retryPacer = api.NewRetryPacer(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.core = controller.NewCore(set, pol, deps.clock, n.budget, rng, log, n.metrics)
	n.view.Store(&coreView{})
	n.delegateIdleSince.Store(int64(n.core.DelegateIdleSince()))
	if w := pol.Features.WarmStandby; w != nil {
		n.standby = newStandbyActor(n, w)
	}
	if pol.Features.TeamQuotas {
		n.quotaHolder = newHolderActor(n)
	}
	return n, nil
}

// Shares of the process's sockets. Workers and users come to the listener: at
// the leader, every machine holds one of its connections. Direct commands hold
// one each while they are under way, and some for a while after; the rest is for
// the other nodes, the state service and the cloud.
const (
	listenerSocketShare    = 0.78
	peerSocketShare        = 0.05
	commandSocketShare     = 0.12
	idleCommandSocketShare = 0.03
)

func socketShare(set *config.Settings, share float64) int {
	return max(1, int(share*float64(set.Params.MachineLimits.MaxSockets)))
}

// newWorkerTransport keeps few connections to workers, and those not for long: one
// kept for each of 1,300 machines would take most of the sockets.
func newWorkerTransport(idle int) *http.Transport {
	t := newTransport(1)
	t.MaxIdleConns, t.IdleConnTimeout = idle, 10*time.Second
	return t
}

// newTransport returns a round tripper that keeps few connections for each host.
func newTransport(perHost int) *http.Transport {
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
	users, err := net.Listen("tcp4", n.settings.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := net.Listen("tcp4", n.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	limited := n.limitConnections(users)
	server := n.newHTTPServer(limited)
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(limited) }()
	go func() {
		failed <- peer.Serve(ctx, netutil.LimitListener(peers, max(2*len(n.settings.Peers)+2, socketShare(n.settings, peerSocketShare))), &peerServer{n: n}, maxQueuedRequests(n.settings))
	}()
	go n.runCore(ctx)
	go n.runRelayUplink(ctx)
	go n.watchReachability(ctx)
	go n.logLoad(ctx, limited)
	if n.standby != nil {
		go n.standby.run(ctx)
		go n.standby.listMachines(ctx)
	}
	if n.quotaHolder != nil {
		go n.quotaHolder.run(ctx)
	}
	n.log.Info("serving", "node", n.settings.NodeName, "zone", n.settings.Zone)
	select {
	case <-ctx.Done():
		server.Close()
		return nil
	case err := <-n.fatal:
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
	limited := connlimit.NewListener(l, connlimit.Limits{MaxConnections: socketShare(n.settings, listenerSocketShare), IdleTimeout: 2*n.settings.Params.Workers.HeartbeatInterval() + time.Second}, n.clock.Now)
	n.metrics.RegisterConnections(limited)
	return limited
}

func (n *Node) newHTTPServer(limited *connlimit.Listener) *http.Server {
	return &http.Server{Handler: limited.Handler(clientKind, n.routes()), ConnContext: limited.ConnContext,
		ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
}

// clientKind tells who makes a request.
func clientKind(r *http.Request) connlimit.ClientKind {
	if r.URL.Path == heartbeatPath {
		return connlimit.Worker
	}
	return connlimit.User
}

// runCore is the actor: it alone touches the core.
func (n *Node) runCore(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	n.step(ctx, controller.Tick{})
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-n.inbox:
			n.step(ctx, in)
		case <-tick.C:
			n.step(ctx, controller.Tick{})
		}
	}
}

func (n *Node) step(ctx context.Context, in controller.Input) {
	effects := n.core.Step(n.clock.Now(), in)
	n.delegateIdleSince.Store(int64(n.core.DelegateIdleSince()))
	old := n.view.Load()
	if v := (coreView{leader: n.core.Leader(), machineTypes: n.core.MachineTypes(), epoch: n.core.Epoch(), standby: n.core.Standby()}); !v.equal(old) {
		n.view.Store(&v)
	}
	for _, e := range effects {
		n.execute(ctx, e)
	}
}

// tryEnqueue hands an input from outside to the core, unless it is overloaded.
func (n *Node) tryEnqueue(in controller.Input) bool {
	select {
	case n.inbox <- in:
		return true
	default:
		return false
	}
}

// enqueue hands the answer to an effect to the core. The core waits for it, so it
// is never dropped; the number of calls under way is bounded.
func (n *Node) enqueue(ctx context.Context, in controller.Input) {
	select {
	case n.inbox <- in:
	case <-ctx.Done():
	}
}
