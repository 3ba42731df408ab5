package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/node"
	"jacinthwind/standin/store"
	"jacinthwind/standin/target"
)

const (
	dataCentreCount  = 4
	executorsPerPool = 8
	slotsPerExecutor = 8
	connections      = 64
	nodeCount        = 3
	leaseMS          = 2000
	readyTimeout     = 20 * time.Second
	readyPoll        = 20 * time.Millisecond
)

// poolNames are the services of the demo.
var poolNames = []string{"proofs", "dies", "records", "clocks", "spare"}

// teamSpec is one caller account of the demo.
type teamSpec struct {
	name   string
	share  int
	limit  int
	rate   float64
	meanMS float64
}

var teamSpecs = []teamSpec{
	{name: "notaries", share: 8, limit: 64, rate: 40, meanMS: 40},
	{name: "diplomas", share: 6, limit: 48, rate: 30, meanMS: 40},
	{name: "guilds", share: 2, limit: 5, rate: 30, meanMS: 150},
	{name: "stations", share: 4, limit: 32, rate: 15, meanMS: 30},
	{name: "fitters", share: 1, limit: 8, rate: 8, meanMS: 60},
	{name: "dispatch", share: 1, limit: 8, rate: 8, meanMS: 20},
}

// openQueue takes requests without a key.
const openQueue = "notices"

// fleet is everything that the demo starts.
type fleet struct {
	store     store.Memory
	recorder  target.Recorder
	executors map[string]*target.Executor
	servers   []*http.Server
	doc       config.Document
	nodes     []*runningNode
	secrets   map[string]string
	wg        sync.WaitGroup
}

type runningNode struct {
	*node.Node
	err  chan error
	dead atomic.Bool
}

func (f *fleet) isDead(i int) bool {
	return f.nodes[i].dead.Load()
}

func (f *fleet) markDead(i int) {
	f.nodes[i].dead.Store(true)
}

func newFleet(log *zap.Logger) (*fleet, error) {
	f := &fleet{executors: make(map[string]*target.Executor), secrets: make(map[string]string)}
	f.register()
	if err := f.startExecutors(); err != nil {
		return f, err
	}
	if err := f.seedStore(); err != nil {
		return f, err
	}
	for i := range nodeCount {
		if err := f.startNode(i, log); err != nil {
			return f, err
		}
	}
	return f, f.waitReady()
}

// register fills the register but for the executors' addresses.
func (f *fleet) register() {
	r := &f.doc.Register
	for i := range dataCentreCount {
		r.DataCentres = append(r.DataCentres, config.DataCentre{Name: dataCentre(i), Region: "north"})
	}
	for _, p := range poolNames {
		r.Pools = append(r.Pools, config.Pool{Name: p, Spare: p == "spare"})
		r.Queues = append(r.Queues, config.Queue{Name: p, Pool: p})
	}
	r.Queues = append(r.Queues, config.Queue{Name: openQueue, Pool: "records", Open: true})
	for _, t := range teamSpecs {
		r.Teams = append(r.Teams, config.Team{Name: t.name, Share: t.share, Limit: t.limit})
		secret := uuid.NewString()
		f.secrets[t.name] = secret
		r.Keys = append(r.Keys, config.Key{Name: t.name + "-1", Team: t.name, SHA256: config.DigestKey(secret)})
	}
}

func dataCentre(i int) string {
	return fmt.Sprintf("dc%d", i+1)
}

func (f *fleet) startExecutors() error {
	for _, pool := range poolNames {
		for i := range executorsPerPool {
			dc := dataCentre(i % dataCentreCount)
			vm := config.VM{Name: fmt.Sprintf("%s-%d", pool, i+1), Pool: pool, DataCentre: dc, Rack: dc + "-r1"}
			e := &target.Executor{
				VM: vm.Name, DataCentre: dc, Instance: uuid.NewString(), Slots: slotsPerExecutor, Recorder: &f.recorder,
			}
			address, err := f.serve(e.Handler())
			if err != nil {
				return err
			}
			vm.Executor = config.Executor{Address: address, Slots: slotsPerExecutor, Connections: connections}
			f.executors[vm.Name] = e
			f.doc.Register.VMs = append(f.doc.Register.VMs, vm)
		}
	}
	return nil
}

func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.servers = append(f.servers, server)
	f.wg.Go(func() { _ = server.Serve(l) })
	return l.Addr().String(), nil
}

// seedStore writes the configuration as the first change of the log.
func (f *fleet) seedStore() error {
	change, err := node.FirstChange(&f.doc, "demo")
	if err != nil {
		return err
	}
	value, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("encode first change: %w", err)
	}
	result := f.store.CompareAndSwap(context.Background(), core.Write{Key: node.ChangeKey(1), Value: value})
	if result.Status != core.WriteOK {
		return fmt.Errorf("seed the store: write status %d", result.Status)
	}
	return nil
}

// startNode starts one entry node that reaches the store over TCP.
func (f *fleet) startNode(i int, log *zap.Logger) error {
	address, err := f.serve(store.Handler(&f.store))
	if err != nil {
		return err
	}
	n, err := node.New(node.Settings{
		Name:            fmt.Sprintf("entry-%d", i+1),
		DataCentre:      dataCentre(i),
		CallerAddress:   "127.0.0.1:0",
		PeerAddress:     "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0",
		Store:           "http://" + address,
		LeaseMS:         leaseMS,
	}, node.Dependencies{Log: log})
	if err != nil {
		return err
	}
	running := &runningNode{Node: n, err: make(chan error, 1)}
	f.nodes = append(f.nodes, running)
	f.wg.Go(func() { running.err <- n.Run() })
	return nil
}

// waitReady waits until every node has the configuration and every pool and
// team has an owner.
func (f *fleet) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if f.isReady() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return fmt.Errorf("the nodes were not ready within %v", readyTimeout)
}

func (f *fleet) isReady() bool {
	owned := 0
	for _, n := range f.nodes {
		if !n.Ready() {
			return false
		}
		s := n.NodeStatus()
		owned += len(s.Pools) + len(s.Teams)
	}
	return owned == len(poolNames)+len(teamSpecs)
}

// close ends everything that still runs.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.Kill()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.wg.Wait()
}
