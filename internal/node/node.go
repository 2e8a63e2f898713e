// Package node runs a controller node: the pure core as an actor, the servers for
// workers, users and other nodes, and the calls to the state service, the cloud and the
// workers that the core asks for. It owns all goroutines, connections and listeners of
// the process. What is decided, it leaves to the core and to the state machines of the
// packages that it drives.
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
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/connlimit"
	"badgerbay/internal/controller"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/metrics"
	"badgerbay/internal/peer"
	"badgerbay/internal/policy"
)

// Node is one controller node. Its parts share nothing but what they are given here.
type Node struct {
	*environment
	core        *coreActor
	store       *stateService
	peers       *peerNetwork
	reach       *reachability
	election    *electionCalls
	records     *recordLoader
	commands    *commandSender
	cloud       *cloudCalls
	users       *userAPI
	workers     *heartbeatHandler
	uplink      *relayUplink
	batches     *batchServer
	standby     *standbyActor     // nil: there is no warm standby
	quotaHolder *quotaHolderActor // nil: there are no team quotas

	blockingEffects sync.WaitGroup // the calls that effects have started
}

// dependencies are what a node reaches the outside with.
type dependencies struct {
	clock  clock.Clock
	state  http.RoundTripper // to the state service
	cloud  http.RoundTripper
	worker http.RoundTripper // for direct commands
}

// Connections kept for each host, by the service that they lead to.
const (
	stateConnsPerHost  = 16
	cloudConnsPerHost  = 4
	workerConnsPerHost = 1
)

// New composes a node from its settings and policy. It opens nothing yet. Run is to be
// called once: it closes what the node has opened.
func New(settings *config.Settings, pol *policy.Policy, log *slog.Logger) (*Node, error) {
	return newNode(settings, pol, log, dependencies{
		clock:  clock.NewSystem(),
		state:  newTransport(stateConnsPerHost),
		cloud:  newTransport(cloudConnsPerHost),
		worker: newWorkerTransport(socketShare(settings, idleCommandSocketShare)),
	})
}

func newNode(settings *config.Settings, pol *policy.Policy, log *slog.Logger, deps dependencies) (*Node, error) {
	clients, err := peer.Dial(settings.Peers)
	if err != nil {
		return nil, err
	}
	limits := settings.Params.StateService
	budget := kvstore.NewBudget(len(settings.Peers)+1, limits.RPS, limits.Strictest().WriteRPS)
	env := &environment{settings: settings, clock: deps.clock, log: log, metrics: metrics.New()}
	core := controller.NewCore(settings, pol, deps.clock, budget, newRand(), log, env.metrics)

	n := &Node{environment: env, peers: newPeerNetwork(clients, deps.clock)}
	n.core = newCoreActor(core, deps.clock, maxQueuedRequests(settings))
	n.core.execute = n.execute
	n.store = &stateService{environment: env, client: kvstore.NewClient(settings.External.StateService, deps.state), budget: budget}
	n.reach = &reachability{environment: env, core: n.core, store: n.store, peers: n.peers}
	cloudClient := cloud.NewClient(settings.External.Cloud, deps.cloud)
	n.cloud = &cloudCalls{environment: env, core: n.core, store: n.store, client: cloudClient}
	n.commands = newCommandSender(env, n.core, deps.worker)
	if w := pol.Features.WarmStandby; w != nil {
		n.standby = newStandbyActor(env, n.core, n.store, cloudClient, w)
	}
	if pol.Features.TeamQuotas {
		n.quotaHolder = newQuotaHolderActor(env, n.core, n.store, n.peers, n.reach)
	}
	n.election = &electionCalls{environment: env, core: n.core, store: n.store, readsHeartbeat: n.standby != nil}
	n.batches = &batchServer{environment: env, core: n.core, store: n.store}
	n.records = &recordLoader{environment: env, core: n.core, store: n.store, batches: n.batches, standby: n.standby}
	n.uplink = newRelayUplink(env, n.core, n.store)
	n.workers = &heartbeatHandler{environment: env, core: n.core, peers: n.peers, reach: n.reach, uplink: n.uplink}
	n.users = &userAPI{environment: env, core: n.core, store: n.store, peers: n.peers, reach: n.reach, uplink: n.uplink,
		quotaHolder: n.quotaHolder, teams: settings.Params.TeamsByName(), retryPacer: api.NewRetryPacer(newRand())}
	return n, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Run serves until ctx ends, and returns nil then. It returns an error if a listener
// can't be opened or fails, or if the core can't go on. All goroutines have ended when
// it returns.
func (n *Node) Run(ctx context.Context) error {
	defer n.peers.Close()
	listener, err := net.Listen("tcp4", n.settings.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	defer listener.Close()
	peerListener, err := net.Listen("tcp4", n.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	defer peerListener.Close()
	limited := n.limitConnections(listener)

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serveHTTP(ctx, n.newHTTPServer(limited), limited) })
	group.Go(func() error { return n.servePeers(ctx, peerListener) })
	group.Go(func() error { return n.core.run(ctx) })
	for _, run := range n.actors(limited) {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	n.log.Info("node started", "node", n.settings.NodeName, "zone", n.settings.Zone)
	err = group.Wait()
	n.blockingEffects.Wait() // nobody starts calls any more
	return err
}

// actors are what runs beside the core and the servers until its context ends.
func (n *Node) actors(limited *connlimit.Listener) []func(context.Context) {
	actors := []func(context.Context){
		n.uplink.run,
		n.reach.run,
		func(ctx context.Context) { n.logLoad(ctx, limited) },
	}
	if n.standby != nil {
		actors = append(actors, n.standby.run, n.standby.pollMachineList)
	}
	if n.quotaHolder != nil {
		actors = append(actors, n.quotaHolder.run)
	}
	return actors
}

// servePeers answers the other nodes until ctx ends.
func (n *Node) servePeers(ctx context.Context, listener net.Listener) error {
	connections := max(2*len(n.settings.Peers)+2, socketShare(n.settings, peerSocketShare))
	err := peer.Serve(ctx, netutil.LimitListener(listener, connections), n.newPeerServer(), maxQueuedRequests(n.settings))
	if err != nil {
		return fmt.Errorf("serving the other nodes: %w", err)
	}
	return nil
}

func (n *Node) newPeerServer() *peerServer {
	return &peerServer{metrics: n.metrics, core: n.core, store: n.store, batches: n.batches, users: n.users}
}

// limitConnections keeps the connections of workers and users within their share of the
// sockets. At the leader every machine holds one; there may be more machines
// than that. A listener that stopped accepting left them, and with them users
// and the load balancer's probes, without an answer.
func (n *Node) limitConnections(listener net.Listener) *connlimit.Listener {
	limits := connlimit.Limits{
		MaxConnections: socketShare(n.settings, listenerSocketShare),
		IdleTimeout:    2*n.settings.Params.Workers.HeartbeatInterval() + time.Second,
	}
	limited := connlimit.NewListener(listener, limits, n.clock.Now)
	n.metrics.RegisterConnections(limited)
	return limited
}

// serveHTTP serves until ctx ends, which closes all connections, or the listener fails.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving workers and users: %w", err)
	}
	return nil
}
