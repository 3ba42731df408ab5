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
	poolTickInterval       = 25 * time.Millisecond
	membershipTickInterval = 100 * time.Millisecond
	readHeaderTimeout      = 10 * time.Second
	drainPollInterval      = 20 * time.Millisecond
)

// Dependencies holds the parts that New does not create itself. A nil part is
// created from the settings.
type Dependencies struct {
	Store    core.Store
	Executor core.Executor
	Log      *zap.Logger
	// Caller, Peer and Operator take precedence over the addresses in the settings.
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
	// Dial opens connections to peers and executors.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Node is the server process of one entry VM.
type Node struct {
	settings     Settings
	seed         uint64
	store        core.Store
	storeMonitor *storeMonitor
	voter        voter
	changes      changeLog
	// followedRevision is the store revision up to which this node has applied all
	// changes.
	followedRevision atomic.Int64
	// cancelWatch cancels the pending watch, which makes the follower reload the
	// whole store content.
	cancelWatch atomic.Pointer[context.CancelFunc]
	// forgotten holds the IDs of nodes that an operator declared permanently gone.
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

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	stopped    chan struct{}
	leaving    atomic.Bool
	killed     atomic.Bool
	startedAt  time.Time
}

// configInForce holds the configuration of one revision and its view.
type configInForce struct {
	state config.State
	view  *config.View
}

// New returns a node that has opened its listeners. It serves requests once Run
// is called.
func New(s Settings, d Dependencies) (*Node, error) {
	s = s.WithDefaults()
	n := &Node{
		settings: s,
		seed:     new(maphash.Hash).Sum64(),
		store:    d.Store,
		executor: d.Executor,
		peers:    peer.NewClient(d.Dial),
		system:   actor.NewActorSystem(actor.WithLoggerFactory(newDiscardLogger)),
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
	n.storeMonitor = &storeMonitor{Store: n.store, onChange: n.logStoreAvailability}
	n.store = n.storeMonitor
	n.metrics = metrics.New()
	return n, n.listen(d)
}

// listen opens the listeners that the dependencies do not provide.
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

// Settings returns the settings, with the addresses that the node listens on.
func (n *Node) Settings() Settings {
	return n.settings
}

// Violations returns the number of invariant violations detected by this node.
func (n *Node) Violations() int64 {
	return n.log.violations.Load()
}

// Run serves requests until Stop or Kill is called, and returns the first error
// of any part.
func (n *Node) Run() error {
	defer close(n.stopped)
	n.startedAt = time.Now()
	host := &membershipActor{node: n, receivedHandovers: make(map[membership.Shard]peer.HandoverQuery)}
	n.membership = n.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return host }))
	var g run.Group
	n.addServer(&g, n.callerListener, n.callerHandler())
	n.addServer(&g, n.peerListener, peer.Handler(n, n.settings.MaxBodyBytes))
	n.addServer(&g, n.operatorListener, operator.Handler(n))
	n.addLoop(&g, n.keepLease)
	n.addLoop(&g, n.followStore)
	n.addLoop(&g, n.runTickers)
	n.addLoop(&g, waitForDone)
	n.log.Write(event.NodeStarted, n.settings.Name, n.settings.CallerAddress)
	err := g.Run()
	n.goroutines.Wait()
	n.system.Shutdown()
	// The reporter keeps the values in memory, so closing it cannot fail.
	_ = n.metrics.Close()
	n.peers.HTTP.CloseIdleConnections()
	n.log.Write(event.NodeStopped, n.settings.Name, "")
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// waitForDone blocks until ctx ends and returns its error.
func waitForDone(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// addLoop adds f to the group. Its context ends when the group stops.
func (n *Node) addLoop(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(n.ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addServer adds an HTTP server on l to the group.
func (n *Node) addServer(g *run.Group, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	n.servers = append(n.servers, server)
	g.Add(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			// A graceful shutdown of one server must not stop the group.
			<-n.ctx.Done()
		}
		return err
	}, func(error) {
		n.cancel()
		// Any connection that is still open is to be closed at once.
		_ = server.Close()
	})
}

// callerHandler returns the handler of the caller interface and the health checks.
func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", n.metrics.CountCalls("caller", caller.Handler(n, caller.Limits{
		MaxBodyBytes:    n.settings.MaxBodyBytes,
		MaxHeldBytes:    n.settings.MaxHeldBytes,
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

// Ready reports whether the load balancer should send requests to this node.
func (n *Node) Ready() bool {
	return n.config.Load() != nil && len(n.directory().assignment.Shards) > 0 && !n.leaving.Load()
}

// runTickers sends the ticks that drive the time-based decisions of the kernels
// until ctx ends.
func (n *Node) runTickers(ctx context.Context) error {
	poolTicker := time.NewTicker(poolTickInterval)
	defer poolTicker.Stop()
	memberTicker := time.NewTicker(membershipTickInterval)
	defer memberTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-memberTicker.C:
			n.send(n.membership, &membershipTick{})
		case <-poolTicker.C:
			n.tickPools()
		}
	}
}

// tickPools sends a tick to the actors of all owned and retired pools.
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

// Stop shuts the node down gracefully: the node hands over the shards that it
// owns and completes the requests in flight. ShutdownMS and ctx limit how long
// this may take.
func (n *Node) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(n.settings.ShutdownMS))
	defer cancel()
	n.leaving.Store(true)
	n.log.Write(event.NodeDraining, n.settings.Name, "")
	sleepFor(ctx, milliseconds(n.settings.BalancerNoticeMS))
	n.send(n.membership, &leaveRequested{})
	err := n.waitUntil(ctx, func() bool {
		d := n.directory()
		return len(d.pools) == 0 && len(d.teams) == 0
	})
	// The caller server comes first in the list, so the callers' requests end before
	// the connections to peers are closed.
	for _, server := range n.servers {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	err = errors.Join(err, n.waitUntil(ctx, func() bool { return len(n.directory().retired) == 0 }))
	n.cancel()
	<-n.stopped
	return err
}

// waitUntil polls done until it returns true, and fails when ctx ends first.
func (n *Node) waitUntil(ctx context.Context, done func() bool) error {
	for !done() {
		if !sleepFor(ctx, drainPollInterval) {
			return fmt.Errorf("stop node %s gracefully: %w", n.settings.Name, ctx.Err())
		}
	}
	return nil
}

// Kill stops the node at once, as a crash would. It does not revoke the lease.
func (n *Node) Kill() {
	n.killed.Store(true)
	n.cancel()
	for _, server := range n.servers {
		_ = server.Close()
	}
	<-n.stopped
}

// spawn runs f in a goroutine that Run waits for. It does nothing once the node
// is stopping.
func (n *Node) spawn(f func(context.Context)) {
	if n.ctx.Err() != nil {
		return
	}
	n.goroutines.Go(func() { f(n.ctx) })
}

// send sends a message to an actor.
func (n *Node) send(pid *actor.PID, message any) {
	n.system.Root.Send(pid, message)
}

// directory returns the latest published directory.
func (n *Node) directory() *directory {
	return n.dir.Load()
}

// ownedUntil returns the time at which the ownership of all shards expires.
func (n *Node) ownedUntil() time.Time {
	return n.directory().ownedUntil
}

// View returns the configuration in force, or nil before the first one is known.
func (n *Node) View() *config.View {
	if c := n.config.Load(); c != nil {
		return c.view
	}
	return nil
}

// logStoreAvailability logs that the store became unreachable or reachable.
func (n *Node) logStoreAvailability(unreachable bool) {
	number := event.StoreReachable
	if unreachable {
		number = event.StoreUnreachable
	}
	n.log.Write(number, n.settings.Name, "")
}

// setConfig puts a configuration in force. It refuses one that is older than the
// present one and logs the attempt as a violation.
func (n *Node) setConfig(s config.State, v *config.View) {
	if known := n.configState().Revision; s.Revision < known {
		n.log.Write(event.ViolationConfigReverted, n.settings.Name, fmt.Sprintf("from revision %d to %d", known, s.Revision))
		return
	}
	n.config.Store(&configInForce{state: s, view: v})
	n.log.Write(event.ConfigInForce, n.settings.Name, fmt.Sprintf("revision %d", v.Revision))
	n.send(n.membership, &viewChanged{v})
}
