package edge

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/google/uuid"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/common/jsonhttp"
	"jacinthwind/core"
	"jacinthwind/core/candidacy"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// Timeouts and intervals of a process.
const (
	nodeLeaseTTL      = 10 * time.Second
	nodeRenewInterval = 3 * time.Second
	readHeaderTimeout = 10 * time.Second
	// peerIdleTimeout is longer than peers keep idle connections.
	peerIdleTimeout  = 3 * time.Minute
	maxPeerHeadBytes = 64 << 10
	// balancerNoticeDelay is how long the load balancer may need to notice that a node
	// is not ready: two checks a second apart, and the network delay.
	balancerNoticeDelay = 2300 * time.Millisecond
	shutdownTimeout     = 2500 * time.Millisecond
)

// Settings holds the addresses of a process and the settings of its kernel.
type Settings struct {
	Node string
	// DataCentre is where the VM stands.
	DataCentre string
	// Front, Ready and Peer are the addresses to listen on.
	Front, Ready, Peer string
	Kernel             cell.Settings
	// MaxConfigurationAge is how long ago the configuration may have been known to be the
	// newest, before callers are no longer told that it does not allow their requests; zero
	// for no limit.
	MaxConfigurationAge time.Duration
	// Cores is the CPU time that the VM may use, in cores.
	Cores float64
	// Room is what the VM has for an owner of the pools, as the other nodes are told.
	Room candidacy.Room
	// SlowLink is set if the VM's network is so slow that messages between nodes are
	// compressed.
	SlowLink bool
	// MemoryBytes is the memory that the process may use, and MaxFiles the number of
	// descriptors that it may have open; zero means that they are not known.
	MemoryBytes int64
	MaxFiles    int
}

// Dependencies holds what a process calls.
type Dependencies struct {
	Store     core.MetadataStore
	Executors core.ExecutorClient
	VMs       core.VMClient
	Advisor   core.Advisor
	Codec     core.Codec
	Relay     *Relay
	// PeerClient calls other nodes.
	PeerClient *http.Client
	// Metrics may be nil.
	Metrics *CallMetrics
	Log     *eventlog.Log
}

// Process serves callers, peers and the load balancer on one entry VM.
type Process struct {
	settings    Settings
	incarnation string
	store       core.MetadataStore
	codec       core.Codec
	relay       *Relay
	metrics     *CallMetrics
	peerClient  *http.Client
	log         *eventlog.Log
	ownership   *ownership
	outage      outageTracker
	// links holds the nodes that link to this one as the owner, and link is this
	// node's link to another owner, nil without one.
	links linkSet
	link  atomic.Pointer[nodeLink]
	// unlinkable is the last owner to which no link could be opened.
	unlinkable atomic.Pointer[ownerRecord]
	// callers and readyChecks limit the connections to the front and to the readiness
	// check.
	callers, readyChecks clientConns
	memory               memoryBudget
	lookups              *lookups
	largeJobs            *largeJobs

	configuration atomic.Pointer[fleet.Configuration]
	// configurationReadAt is how new the configuration is at least, in nanoseconds of
	// monotonicNow.
	configurationReadAt atomic.Int64
	stopping            atomic.Bool
	peersMu             sync.Mutex
	peers               []string
}

// New returns a process that serves once Run is called.
func New(s Settings, d Dependencies) *Process {
	p := &Process{
		settings: s, incarnation: uuid.NewString(), store: d.Store, codec: d.Codec,
		relay: d.Relay, peerClient: d.PeerClient, log: d.Log, metrics: d.Metrics,
	}
	limits := newProcessLimits(s.MemoryBytes, s.MaxFiles)
	s.Kernel.MaxJobBytes = limits.jobBytes
	p.largeJobs = newLargeJobs(limits.requestBytes)
	p.lookups = newLookups(limits.lookups)
	p.ownership = &ownership{
		reportValidUntil: p.outage.reportValidUntil, cutOff: func() bool { return false }, received: func() int64 { return 0 },
		self:  ownerRecord{Node: s.Node, Incarnation: p.incarnation, Address: s.Peer, Links: true},
		store: d.Store, lookups: p.lookups, codec: d.Codec, executors: d.Executors, vms: d.VMs, advisor: d.Advisor,
		settings: s.Kernel, cores: s.Cores, room: s.Room, log: d.Log, metrics: d.Metrics, recordChanged: make(chan struct{}),
		system: actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
			return slog.New(slog.DiscardHandler)
		})),
	}
	p.memory.limit = limits.requestBytes
	p.callers = clientConns{name: "front", max: limits.callerConns, limits: p.callerLimits, memory: &p.memory, log: d.Log, metrics: d.Metrics}
	p.readyChecks = clientConns{name: "ready", max: maxReadyConns, limits: readyLimits, memory: &p.memory, log: d.Log, metrics: d.Metrics}
	p.links = linkSet{incarnation: p.incarnation, log: d.Log, handle: p.handleOwner}
	p.ownership.links, p.ownership.peers = &p.links, p.listPeers
	if d.Relay != nil {
		d.Relay.peers = p.listPeers
		p.ownership.cutOff = d.Relay.isCutOff
		p.ownership.received = d.Relay.received.Load
	}
	return p
}

func (p *Process) listPeers() []string {
	p.peersMu.Lock()
	defer p.peersMu.Unlock()
	return append([]string(nil), p.peers...)
}

// countNodes returns the number of nodes, this one included.
func (p *Process) countNodes() int { return len(p.listPeers()) + 1 }

// Run serves until ctx ends, and then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	var group run.Group
	work, stopWork := context.WithCancel(context.Background())
	for _, loop := range []func(context.Context){p.watchOperatorState, p.watchLiveNodes, p.keepRegistered, p.confirmOutages, p.keepLink, p.ownership.run, p.ownership.measureSpeed, p.callers.run, p.readyChecks.run} {
		c, cancel := context.WithCancel(work)
		group.Add(func() error { keepRunning(c, p.log, loop); return nil }, func(error) { cancel() })
	}
	servers, err := p.listen()
	if err != nil {
		stopWork()
		return err
	}
	for _, s := range servers {
		closed := make(chan struct{})
		group.Add(func() error {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			// Requests in progress still have to be answered: the group ends after stop
			// has returned.
			<-closed
			return nil
		}, func(error) {
			s.server.Close()
			close(closed)
		})
	}
	ended := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
			p.stop(servers)
		case <-ended:
		}
		return nil
	}, func(error) { close(ended); stopWork() })
	p.log.Event(event.ProcessStarted, zap.String("node", p.settings.Node), zap.String("incarnation", p.incarnation), zap.String("front", p.settings.Front), zap.String("peer", p.settings.Peer))
	err = group.Run()
	p.log.Event(event.ProcessStopped, zap.Error(err))
	return err
}

// listeningServer is a server with its listener.
type listeningServer struct {
	server   *http.Server
	listener net.Listener
}

// listen binds the addresses of the front, the readiness check and the peers.
func (p *Process) listen() ([]listeningServer, error) {
	peer := http.NewServeMux()
	jsonhttp.Handle(peer, "POST "+ownerPath, p.handleOwner)
	jsonhttp.Handle(peer, "POST "+outagePath, p.handleOutage)
	peer.HandleFunc("POST "+linkPath, p.links.serve)
	if p.relay != nil {
		peer.HandleFunc("POST "+relayPath, p.relay.serveRelayed)
	}
	peer.Handle("GET /metrics", p.metrics.handler())
	peer.HandleFunc("GET "+dumpPath, p.serveDump)
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", p.serveReady)
	var all []listeningServer
	for _, l := range []struct {
		address string
		handler http.Handler
		conns   *clientConns
	}{{p.settings.Front, http.HandlerFunc(p.serveCaller), &p.callers}, {p.settings.Ready, ready, &p.readyChecks}, {p.settings.Peer, peer, nil}} {
		server := &http.Server{Handler: l.handler}
		var listener net.Listener
		var err error
		if l.conns != nil {
			listener, err = listenForClients(l.address)
			listener = limitedListener{listener, l.conns}
			l.conns.attach(server)
		} else {
			listener, err = net.Listen("tcp", l.address)
			server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = readHeaderTimeout, peerIdleTimeout, maxPeerHeadBytes
		}
		if err != nil {
			return nil, err
		}
		all = append(all, listeningServer{server, listener})
	}
	return all, nil
}

// dumpPath is the path of the state dump.
const dumpPath = "/dump"

// ProcessDump is the state of a process as shown to operators.
type ProcessDump struct {
	Node          string `json:"node"`
	Incarnation   string `json:"incarnation"`
	Owner         string `json:"owner"`
	Configuration int64  `json:"configuration"`
	// ConfigurationMs is how long ago the configuration was known to be the newest, in
	// milliseconds.
	ConfigurationMs int64 `json:"configuration_ms"`
	// StoreMs is how long ago the store last answered, in milliseconds.
	StoreMs int64    `json:"store_ms"`
	Peers   []string `json:"peers"`
	// Carriers is the number of executors that each linked node carries, and Cell is
	// the state of the owner's kernel; both are nil on other nodes.
	Carriers map[string]int `json:"carriers,omitempty"`
	Cell     *cell.Dump     `json:"cell,omitempty"`
}

// serveDump answers with the state of this process.
func (p *Process) serveDump(w http.ResponseWriter, r *http.Request) {
	record, _ := p.ownership.currentRecord()
	d := ProcessDump{Node: p.settings.Node, Incarnation: p.incarnation, Owner: record.Node, Peers: p.listPeers()}
	if c := p.configuration.Load(); c != nil {
		d.Configuration, d.ConfigurationMs = c.Version, p.configurationAge().Milliseconds()
	}
	if p.relay != nil {
		d.StoreMs = (monotonicNow() - time.Duration(p.relay.lastAnswer.Load())).Milliseconds()
	}
	if h := p.ownership.currentHost(); h != nil {
		type state struct {
			cell     cell.Dump
			carriers map[string]int
		}
		found := make(chan state, 1)
		if h.inspect(r.Context(), func(k *cell.Kernel) { found <- state{k.Dump(now()), h.carriers.describe()} }) == nil {
			s := <-found
			d.Cell, d.Carriers = &s.cell, s.carriers
		}
	}
	jsonhttp.Write(w, http.StatusOK, d)
}

// serveReady reports to the load balancer whether this node takes new connections.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p.stopping.Load() || p.configuration.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop makes this node not ready, hands the pools over, and closes the connections
// once the requests that were read are answered.
func (p *Process) stop(servers []listeningServer) {
	p.log.Event(event.ProcessStopping)
	p.stopping.Store(true)
	if l := p.link.Load(); l != nil {
		l.leave()
	}
	p.ownership.handOver()
	time.Sleep(balancerNoticeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.server.Shutdown(ctx); err != nil {
			p.log.Event(event.ConnectionsLeft, zap.Error(err))
		}
	}
}

// watchOperatorState watches what operators write and applies each change.
func (p *Process) watchOperatorState(ctx context.Context) {
	w := prefixWatcher{
		store: p.store, prefix: p.codec.OperatorPrefix(), onChange: p.applyOperatorItems,
		onLost: func(err error) {
			p.log.Event(event.ConfigurationLost, zap.Int64("age_ms", p.configurationAge().Milliseconds()), zap.Error(err))
		},
		onRegained: func() {
			p.log.Event(event.ConfigurationRegained, zap.Int64("age_ms", p.configurationAge().Milliseconds()))
		},
		onRead: func(asOf time.Duration) { p.configurationReadAt.Store(int64(asOf)) },
	}
	w.run(ctx)
}

// configurationAge returns how long ago the configuration was known to be the newest.
func (p *Process) configurationAge() time.Duration {
	return monotonicNow() - time.Duration(p.configurationReadAt.Load())
}

// applyOperatorItems brings a newer configuration into force and passes the
// operators' state to the ownership.
func (p *Process) applyOperatorItems(items map[string]core.Item) {
	state, findings := p.codec.DecodeOperatorItems(items)
	for _, err := range findings {
		p.log.Event(event.OperatorEntrySkipped, zap.Error(err))
	}
	current := p.configuration.Load()
	if c := state.Configuration; c != nil && (current == nil || c.Version > current.Version) {
		p.configuration.Store(c)
		p.log.Event(event.ConfigurationInForce, zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)), zap.Int("teams", len(c.Teams)))
	} else {
		state.Configuration = current
	}
	p.ownership.setOperatorState(&state)
}

// watchLiveNodes watches the owner's record and the addresses of the peers.
func (p *Process) watchLiveNodes(ctx context.Context) {
	w := prefixWatcher{store: p.store, prefix: prefixLive, onChange: func(items map[string]core.Item) {
		var peers []string
		rooms := map[string]candidacy.Room{}
		for key, item := range items {
			if node, ok := strings.CutPrefix(key, prefixRoom); ok && node != p.settings.Node {
				var r candidacy.Room
				// What cannot be read is a room that is not known.
				_ = json.Unmarshal(item.Value, &r)
				rooms[node] = r
			}
			if strings.HasPrefix(key, prefixNode) && key != prefixNode+p.settings.Node {
				peers = append(peers, string(item.Value))
			}
		}
		p.peersMu.Lock()
		p.peers = peers
		p.peersMu.Unlock()
		p.outage.recordPeers(monotonicNow(), peers)
		p.ownership.setRooms(rooms)
		p.ownership.setRecord(items[keyOwner])
	}}
	w.run(ctx)
}

// keepRegistered keeps this node's address listed for its peers.
func (p *Process) keepRegistered(ctx context.Context) {
	var lease int64
	for ctx.Err() == nil {
		if lease == 0 {
			lease = p.register(ctx)
			sleep(ctx, nodeRenewInterval/3)
			continue
		}
		if err := p.store.RenewLease(ctx, lease); errors.Is(err, core.ErrNotFound) {
			lease = 0
			continue
		}
		sleep(ctx, nodeRenewInterval)
	}
}

// register writes this node's address and returns its lease, zero on failure.
func (p *Process) register(ctx context.Context) int64 {
	lease, err := p.store.GrantLease(ctx, nodeLeaseTTL)
	if err != nil {
		return 0
	}
	_, _, err = p.store.Commit(ctx, core.Transaction{
		Puts: []core.Put{
			{Key: prefixNode + p.settings.Node, Value: []byte(p.settings.Peer), Lease: lease},
			{Key: prefixRoom + p.settings.Node, Value: mustEncode(p.settings.Room), Lease: lease},
		},
	})
	if err != nil {
		return 0
	}
	return lease
}
