// Package node runs a controller node. It runs the side-effect-free core as an actor, serves workers, users and other
// nodes, and carries out the calls to the state service, the cloud and the workers that the core requests. It owns all
// goroutines, connections and listeners of the process. All decisions are made by the core and by the state machines of
// the packages that it drives.
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

// Node is one controller node. Its components share only the dependencies that newNode passes to them.
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
	standby     *standbyActor     // nil if warm standby is disabled
	quotaHolder *quotaHolderActor // nil if team quotas are disabled

	blockingEffects sync.WaitGroup // effects that run in goroutines of their own
}

// dependencies holds the clock of a node and the transports to the services that it calls.
type dependencies struct {
	clock  clock.Clock
	state  http.RoundTripper // to the state service
	cloud  http.RoundTripper
	worker http.RoundTripper // for direct commands
}

// Maximum idle connections per host, by the service that they lead to.
const (
	stateConnsPerHost  = 16
	cloudConnsPerHost  = 4
	workerConnsPerHost = 1
)

// New assembles a node from its settings and policy. It opens no listener or connection. The caller must call Run once:
// Run closes what the node has opened.
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

// Run serves until ctx ends and then returns nil. It returns an error if a listener cannot be opened or fails, or if
// the core reports that the node must stop. All goroutines of the node have ended when Run returns.
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
	n.blockingEffects.Wait() // the core has stopped, so no further effects are started
	return err
}

// actors returns the functions that run beside the core and the servers until their context ends.
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

// servePeers serves the calls of other nodes until ctx ends.
func (n *Node) servePeers(ctx context.Context, listener net.Listener) error {
	connections := max(2*len(n.settings.Peers)+2, socketShare(n.settings, peerSocketShare))
	err := peer.Serve(ctx, netutil.LimitListener(listener, connections), n.newPeerServer(), maxQueuedRequests(n.settings))
	if err != nil {
		return fmt.Errorf("serving other nodes: %w", err)
	}
	return nil
}

func (n *Node) newPeerServer() *peerServer {
	return &peerServer{metrics: n.metrics, core: n.core, store: n.store, batches: n.batches, users: n.users}
}

// limitConnections returns a listener that keeps the connections of workers and users within their share of the
// sockets. Every machine holds one connection to the leader, and there may be more machines than the share has sockets.
// A listener that stopped accepting at its limit left the remaining machines, users and the load balancer's probes
// without a response.
func (n *Node) limitConnections(listener net.Listener) *connlimit.Listener {
	limits := connlimit.Limits{
		MaxConnections: socketShare(n.settings, listenerSocketShare),
		IdleTimeout:    2*n.settings.Params.Workers.HeartbeatInterval() + time.Second,
	}
	limited := connlimit.NewListener(listener, limits, n.clock.Now)
	n.metrics.RegisterConnections(limited)
	return limited
}

// serveHTTP serves until the listener fails or ctx ends. The end of ctx closes all connections.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving workers and users: %w", err)
	}
	return nil
}
