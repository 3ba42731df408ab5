package edge

import (
	"context"
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
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// Process times.
const (
	nodeTTL           = 10 * time.Second
	nodeRenew         = 3 * time.Second
	readHeaderTimeout = 10 * time.Second
	// leaveRotation is how long the balancer may need to notice that a node is
	// not ready: two checks a second apart, and the way there.
	leaveRotation = 2300 * time.Millisecond
	shutdownAfter = 2500 * time.Millisecond
)

// Settings are the addresses and bounds of a process.
type Settings struct {
	Node string
	// Front, Ready and Peer are the addresses to listen on.
	Front, Ready, Peer string
	Bounds             cell.Settings
	// Processor is what the VM may use, in cores.
	Processor float64
}

// Dependencies are what a process talks to.
type Dependencies struct {
	Store   core.MetadataStore
	Workers core.Workers
	VMs     core.Machines
	Advisor core.Advisor
	Codec   core.Codec
	Relay   *Relay
	// PeerClient calls other nodes.
	PeerClient *http.Client
	// Figures may be nil.
	Figures *Figures
	Log     *eventlog.Log
}

// Process is one entry VM's process.
type Process struct {
	settings    Settings
	incarnation string
	store       core.MetadataStore
	codec       core.Codec
	relay       *Relay
	figures     *Figures
	peerClient  *http.Client
	log         *eventlog.Log
	owner       *owner
	outage      outage

	configuration atomic.Pointer[fleet.Configuration]
	stopping      atomic.Bool
	peersMu       sync.Mutex
	peers         []string
}

// New returns a process that has not begun to serve.
func New(s Settings, d Dependencies) *Process {
	p := &Process{
		settings: s, incarnation: uuid.NewString(), store: d.Store, codec: d.Codec,
		relay: d.Relay, peerClient: d.PeerClient, log: d.Log, figures: d.Figures,
	}
	p.owner = &owner{
		trusted: p.outage.mayBeTrusted, cutOff: func() bool { return false },
		self:  ownerRecord{Node: s.Node, Incarnation: p.incarnation, Address: s.Peer},
		store: d.Store, codec: d.Codec, workers: d.Workers, vms: d.VMs, advisor: d.Advisor,
		settings: s.Bounds, processor: s.Processor, log: d.Log, figures: d.Figures, changed: make(chan struct{}),
		system: actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
			return slog.New(slog.DiscardHandler)
		})),
	}
	if d.Relay != nil {
		d.Relay.peers = p.peerList
		p.owner.cutOff = d.Relay.isCutOff
	}
	return p
}

func (p *Process) peerList() []string {
	p.peersMu.Lock()
	defer p.peersMu.Unlock()
	return append([]string(nil), p.peers...)
}

// Run serves until ctx ends, and then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	var group run.Group
	work, stopWork := context.WithCancel(context.Background())
	for _, f := range []func(context.Context){p.followOperator, p.followLive, p.keepListed, p.bridgeOutage, p.owner.run} {
		c, cancel := context.WithCancel(work)
		group.Add(func() error { f(c); return nil }, func(error) { cancel() })
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
			// Requests under way are still to be answered: the group ends with stop.
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

// listening is a server with its listener.
type listening struct {
	server   *http.Server
	listener net.Listener
}

func (p *Process) listen() ([]listening, error) {
	peer := http.NewServeMux()
	jsonhttp.Handle(peer, "POST "+ownerPath, p.handleOwner)
	jsonhttp.Handle(peer, "POST "+outagePath, p.handleOutage)
	if p.relay != nil {
		peer.HandleFunc("POST "+relayPath, p.relay.serve)
	}
	peer.Handle("GET /metrics", p.figures.handler())
	peer.HandleFunc("GET "+dumpPath, p.serveDump)
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", p.serveReady)
	var all []listening
	for _, l := range []struct {
		address string
		handler http.Handler
	}{{p.settings.Front, http.HandlerFunc(p.serveCaller)}, {p.settings.Ready, ready}, {p.settings.Peer, peer}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, err
		}
		all = append(all, listening{&http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout}, listener})
	}
	return all, nil
}

// dumpPath serves the state dump.
const dumpPath = "/dump"

// ProcessDump is the state of a process for people.
type ProcessDump struct {
	Node          string `json:"node"`
	Incarnation   string `json:"incarnation"`
	Owner         string `json:"owner"`
	Configuration int64  `json:"configuration"`
	// StoreMs is how long ago the store answered, in milliseconds.
	StoreMs int64    `json:"store_ms"`
	Peers   []string `json:"peers"`
	// Cell is what the owner knows, nil on other nodes.
	Cell *cell.Dump `json:"cell,omitempty"`
}

// serveDump answers with the state of this process.
func (p *Process) serveDump(w http.ResponseWriter, r *http.Request) {
	record, _ := p.owner.present()
	d := ProcessDump{Node: p.settings.Node, Incarnation: p.incarnation, Owner: record.Node, Peers: p.peerList()}
	if c := p.configuration.Load(); c != nil {
		d.Configuration = c.Version
	}
	if p.relay != nil {
		d.StoreMs = (mono() - time.Duration(p.relay.answered.Load())).Milliseconds()
	}
	if h := p.owner.local(); h != nil {
		found := make(chan cell.Dump, 1)
		if h.ask(r.Context(), func(k *cell.Kernel) { found <- k.Dump(now()) }) == nil {
			dump := <-found
			d.Cell = &dump
		}
	}
	jsonhttp.Write(w, http.StatusOK, d)
}

// serveReady tells the balancer whether new connections may come.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p.stopping.Load() || p.configuration.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop leaves the rotation, hands the pools over, and ends the connections once
// the requests that were read are answered.
func (p *Process) stop(servers []listening) {
	p.log.Event(event.ProcessStopping)
	p.stopping.Store(true)
	p.owner.handOver()
	time.Sleep(leaveRotation)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownAfter)
	defer cancel()
	for _, s := range servers {
		if err := s.server.Shutdown(ctx); err != nil {
			p.log.Event(event.ConnectionsLeft, zap.Error(err))
		}
	}
}

// followOperator brings what operators write into force.
func (p *Process) followOperator(ctx context.Context) {
	f := follower{
		store: p.store, prefix: p.codec.OperatorPrefix(), changed: p.operatorChanged,
		lost:     func(err error) { p.log.Event(event.ConfigurationLost, zap.Error(err)) },
		regained: func() { p.log.Event(event.ConfigurationRegained) },
	}
	f.run(ctx)
}

func (p *Process) operatorChanged(items map[string]core.Item) {
	state, findings := p.codec.Operator(items)
	for _, err := range findings {
		p.log.Event(event.OperatorEntrySkipped, zap.Error(err))
	}
	present := p.configuration.Load()
	if c := state.Configuration; c != nil && (present == nil || c.Version > present.Version) {
		p.configuration.Store(c)
		p.log.Event(event.ConfigurationInForce, zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)), zap.Int("teams", len(c.Teams)))
	} else {
		state.Configuration = present
	}
	p.owner.follow(&state)
}

// followLive learns the owner and the peers.
func (p *Process) followLive(ctx context.Context) {
	f := follower{store: p.store, prefix: prefixLive, changed: func(items map[string]core.Item) {
		var peers []string
		for key, item := range items {
			if strings.HasPrefix(key, prefixNode) && key != prefixNode+p.settings.Node {
				peers = append(peers, string(item.Value))
			}
		}
		p.peersMu.Lock()
		p.peers = peers
		p.peersMu.Unlock()
		p.outage.listed(mono(), peers)
		p.owner.observe(items[keyOwner])
	}}
	f.run(ctx)
}

// keepListed lists this node's address for its peers.
func (p *Process) keepListed(ctx context.Context) {
	var lease int64
	for ctx.Err() == nil {
		if lease == 0 {
			lease = p.list(ctx)
			pause(ctx, nodeRenew/3)
			continue
		}
		if err := p.store.RenewLease(ctx, lease); errors.Is(err, core.ErrNotFound) {
			lease = 0
			continue
		}
		pause(ctx, nodeRenew)
	}
}

// list writes this node's address and returns its lease, zero without success.
func (p *Process) list(ctx context.Context) int64 {
	lease, err := p.store.GrantLease(ctx, nodeTTL)
	if err != nil {
		return 0
	}
	_, _, err = p.store.Commit(ctx, core.Transaction{
		Puts: []core.Put{{Key: prefixNode + p.settings.Node, Value: []byte(p.settings.Peer), Lease: lease}},
	})
	if err != nil {
		return 0
	}
	return lease
}
