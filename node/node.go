package node

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"jacinthwind/common/metrics"
	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/event"
	"jacinthwind/core/membership"
	"jacinthwind/core/scheduler"
	"jacinthwind/io/caller"
	"jacinthwind/io/executor"
	"jacinthwind/io/operator"
	"jacinthwind/io/peer"
)

const (
	tickInterval       = 25 * time.Millisecond
	memberTickInterval = 100 * time.Millisecond
	readHeaderTimeout  = 10 * time.Second
	drainPollInterval  = 20 * time.Millisecond
)

// Dependencies are the parts that a node is given; nil ones are made from the
// settings.
type Dependencies struct {
	Store    core.Store
	Executor core.Executor
	Log      *zap.Logger
	// The listeners take precedence over the addresses in the settings.
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
	// Dial opens the connections to peers and executors.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Node is one entry VM's process.
type Node struct {
	settings Settings
	seed     uint64
	store    core.Store
	contact  *contactStore
	voter    voter
	changes  changeLog
	// followed is the store revision up to which this node knows everything.
	followed atomic.Int64
	// endWatch ends the waiting watch, so that the whole content is read anew.
	endWatch atomic.Pointer[context.CancelFunc]
	// forgotten holds the ids of nodes whose VMs are gone by an operator's word.
	forgotten sync.Map
	executor  core.Executor
	peers     *peer.Client
	log       eventLog
	metrics   *metrics.Metrics

	callerListener   net.Listener
	peerListener     net.Listener
	operatorListener net.Listener
	servers          []*http.Server

	system     *actor.ActorSystem
	membership *actor.PID
	dir        atomic.Pointer[directory]
	config     atomic.Pointer[configInForce]

	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	stopped   chan struct{}
	leaving   atomic.Bool
	abrupt    atomic.Bool
	startedAt time.Time
}

// configInForce is the configuration of one revision.
type configInForce struct {
	state config.State
	view  *config.View
}

// New returns a node that listens but does not serve before Run.
func New(s Settings, d Dependencies) (*Node, error) {
	s = s.WithDefaults()
	n := &Node{
		settings: s,
		seed:     new(maphash.Hash).Sum64(),
		store:    d.Store,
		executor: d.Executor,
		peers:    peer.NewClient(d.Dial),
		system:   actor.NewActorSystem(actor.WithLoggerFactory(quietLogger)),
		stopped:  make(chan struct{}),
	}
	n.dir.Store(&directory{})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.log.zap = d.Log
	if d.Log == nil {
		n.log.zap = zap.NewNop()
	}
	if n.executor == nil {
		n.executor = executor.NewClient(d.Dial)
	}
	if n.store == nil {
		store, err := openStore(s.Store)
		if err != nil {
			return nil, err
		}
		n.store = store
	}
	n.contact = &contactStore{Store: n.store, changed: n.storeChanged}
	n.store = n.contact
	n.metrics = metrics.New()
	return n, n.listen(d)
}

// listen opens the listeners that were not given.
func (n *Node) listen(d Dependencies) error {
	listeners := []struct {
		given   net.Listener
		address *string
		field   *net.Listener
	}{
		{d.Caller, &n.settings.CallerAddress, &n.callerListener},
		{d.Peer, &n.settings.PeerAddress, &n.peerListener},
		{d.Operator, &n.settings.OperatorAddress, &n.operatorListener},
	}
	for _, l := range listeners {
		if l.given == nil {
			opened, err := net.Listen("tcp", *l.address)
			if err != nil {
				return fmt.Errorf("listen on %s: %w", *l.address, err)
			}
			l.given = opened
		}
		*l.field = l.given
		*l.address = l.given.Addr().String()
	}
	return nil
}

// Settings returns the settings with the addresses that the node listens on.
func (n *Node) Settings() Settings {
	return n.settings
}

// Violations returns the number of broken invariants.
func (n *Node) Violations() int64 {
	return n.log.violations.Load()
}

// Run serves until Stop or Kill and returns the first error of any part.
func (n *Node) Run() error {
	defer close(n.stopped)
	n.startedAt = time.Now()
	host := &membershipActor{node: n, received: make(map[membership.Shard]peer.HandoverQuery)}
	n.membership = n.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return host }))
	var g run.Group
	n.addServer(&g, n.callerListener, n.callerHandler())
	n.addServer(&g, n.peerListener, peer.Handler(n, n.settings.MaxBodyBytes))
	n.addServer(&g, n.operatorListener, operator.Handler(n))
	n.addLoop(&g, n.keepLease)
	n.addLoop(&g, n.followStore)
	n.addLoop(&g, n.tick)
	n.addLoop(&g, untilDone)
	n.log.Event(event.NodeStarted, n.settings.Name, n.settings.CallerAddress)
	err := g.Run()
	n.tasks.Wait()
	n.system.Shutdown()
	// The reporter keeps the values in memory, so that closing cannot fail.
	_ = n.metrics.Close()
	n.peers.HTTP.CloseIdleConnections()
	n.log.Event(event.NodeStopped, n.settings.Name, "")
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// addLoop runs f until the group stops.
func (n *Node) addLoop(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(n.ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

func (n *Node) addServer(g *run.Group, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	n.servers = append(n.servers, server)
	g.Add(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			// A server that shuts down gracefully leaves the others running.
			<-n.ctx.Done()
		}
		return err
	}, func(error) {
		n.cancel()
		// The connections have ended by now or are to be cut.
		_ = server.Close()
	})
}

func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", n.metrics.Count("caller", caller.Handler(n, caller.Limits{
		MaxBody:         n.settings.MaxBodyBytes,
		MaxHeld:         n.settings.MaxHeldBytes,
		DefaultDeadline: milliseconds(n.settings.DefaultDeadlineMS),
		MaxDeadline:     milliseconds(n.settings.MaxDeadlineMS),
	})))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Ready reports whether the balancer should send requests to this node.
func (n *Node) Ready() bool {
	return n.config.Load() != nil && len(n.directory().assignment.Shards) > 0 && !n.leaving.Load()
}

// tick lets the kernels' time-driven decisions happen.
func (n *Node) tick(ctx context.Context) error {
	pools := time.NewTicker(tickInterval)
	defer pools.Stop()
	members := time.NewTicker(memberTickInterval)
	defer members.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-members.C:
			n.send(n.membership, &memberTick{})
		case <-pools.C:
			n.tickPools()
		}
	}
}

// tickPools sends the time to the actors of all pools.
func (n *Node) tickPools() {
	d := n.directory()
	tick := &scheduler.Tick{OwnedUntil: d.ownedUntil}
	for _, p := range d.pools {
		n.send(p.pid, tick)
	}
	for _, pid := range d.retired {
		n.send(pid, tick)
	}
}

// Stop is a graceful shutdown: the node hands over what it owns and finishes
// the requests in flight; it is bounded by the settings and by ctx.
func (n *Node) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(n.settings.ShutdownMS))
	defer cancel()
	n.leaving.Store(true)
	n.log.Event(event.NodeDraining, n.settings.Name, "")
	sleepFor(ctx, milliseconds(n.settings.BalancerNoticeMS))
	n.send(n.membership, &memberLeave{})
	err := n.waitUntil(ctx, func() bool {
		d := n.directory()
		return len(d.pools) == 0 && len(d.teams) == 0
	})
	// Requests of callers end before the connections to peers are cut.
	for _, server := range n.servers {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	err = errors.Join(err, n.waitUntil(ctx, func() bool { return len(n.directory().retired) == 0 }))
	n.cancel()
	<-n.stopped
	return err
}

func (n *Node) waitUntil(ctx context.Context, done func() bool) error {
	for !done() {
		if !sleepFor(ctx, drainPollInterval) {
			return fmt.Errorf("graceful stop of %s: %w", n.settings.Name, ctx.Err())
		}
	}
	return nil
}

// Kill ends the node at once as a crash would: the lease is not released.
func (n *Node) Kill() {
	n.abrupt.Store(true)
	n.cancel()
	for _, server := range n.servers {
		_ = server.Close()
	}
	<-n.stopped
}

// spawn runs f until the node ends; after the end it does nothing.
func (n *Node) spawn(f func(context.Context)) {
	if n.ctx.Err() != nil {
		return
	}
	n.tasks.Go(func() { f(n.ctx) })
}

func (n *Node) send(pid *actor.PID, message any) {
	n.system.Root.Send(pid, message)
}

func (n *Node) directory() *directory {
	return n.dir.Load()
}

func (n *Node) ownedUntil() time.Time {
	return n.directory().ownedUntil
}

// View returns the configuration in force, nil before there is one.
func (n *Node) View() *config.View {
	if c := n.config.Load(); c != nil {
		return c.view
	}
	return nil
}

// storeChanged logs that the store fell silent or answers again.
func (n *Node) storeChanged(silent bool) {
	number := event.StoreReachable
	if silent {
		number = event.StoreUnreachable
	}
	n.log.Event(number, n.settings.Name, "")
}

func (n *Node) setView(s config.State, v *config.View) {
	if known := n.configState().Revision; s.Revision < known {
		n.log.Event(event.ViolationConfigReverted, n.settings.Name, fmt.Sprintf("from revision %d to %d", known, s.Revision))
		return
	}
	n.config.Store(&configInForce{state: s, view: v})
	n.log.Event(event.ConfigInForce, n.settings.Name, fmt.Sprintf("revision %d", v.Revision))
	n.send(n.membership, &viewChanged{v})
}
