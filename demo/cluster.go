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
	dataCentreCount        = 4
	executorsPerPool       = 8
	slotsPerExecutor       = 8
	connectionsPerExecutor = 64
	nodeCount              = 3
	leaseMS                = 2000
	readyTimeout           = 20 * time.Second
	pollInterval           = 20 * time.Millisecond
)

// poolNames lists the pools of the demo.
var poolNames = []string{"proofs", "dies", "records", "clocks", "spare"}

// teamSpec describes a team of the demo and its load: rate is in requests per
// second and meanMS is the mean run time in milliseconds.
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

// openQueue is the queue that accepts requests without a key.
const openQueue = "notices"

// cluster holds the nodes, the executors and the store that the demo starts.
type cluster struct {
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
	runResult chan error
	stopped   atomic.Bool
}

func (c *cluster) isStopped(i int) bool {
	return c.nodes[i].stopped.Load()
}

func (c *cluster) markStopped(i int) {
	c.nodes[i].stopped.Store(true)
}

func newCluster(log *zap.Logger) (*cluster, error) {
	c := &cluster{executors: make(map[string]*target.Executor), secrets: make(map[string]string)}
	c.fillRegister()
	if err := c.startExecutors(); err != nil {
		return c, err
	}
	if err := c.seedStore(); err != nil {
		return c, err
	}
	for i := range nodeCount {
		if err := c.startNode(i, log); err != nil {
			return c, err
		}
	}
	return c, c.waitUntilReady()
}

// fillRegister adds everything but the VMs to the register; startExecutors adds
// those.
func (c *cluster) fillRegister() {
	r := &c.doc.Register
	for i := range dataCentreCount {
		r.DataCentres = append(r.DataCentres, config.DataCentre{Name: dataCentreName(i), Region: "north"})
	}
	for _, p := range poolNames {
		r.Pools = append(r.Pools, config.Pool{Name: p, Spare: p == "spare"})
		r.Queues = append(r.Queues, config.Queue{Name: p, Pool: p})
	}
	r.Queues = append(r.Queues, config.Queue{Name: openQueue, Pool: "records", Open: true})
	for _, t := range teamSpecs {
		r.Teams = append(r.Teams, config.Team{Name: t.name, Share: t.share, Limit: t.limit})
		secret := uuid.NewString()
		c.secrets[t.name] = secret
		r.Keys = append(r.Keys, config.Key{Name: t.name + "-1", Team: t.name, SHA256: config.DigestKey(secret)})
	}
}

func dataCentreName(i int) string {
	return fmt.Sprintf("dc%d", i+1)
}

func (c *cluster) startExecutors() error {
	for _, pool := range poolNames {
		for i := range executorsPerPool {
			dc := dataCentreName(i % dataCentreCount)
			vm := config.VM{Name: fmt.Sprintf("%s-%d", pool, i+1), Pool: pool, DataCentre: dc, Rack: dc + "-r1"}
			e := &target.Executor{
				VM: vm.Name, DataCentre: dc, Instance: uuid.NewString(), Slots: slotsPerExecutor, Recorder: &c.recorder,
			}
			address, err := c.startServer(e.Handler())
			if err != nil {
				return err
			}
			vm.Executor = config.Executor{Address: address, Slots: slotsPerExecutor, Connections: connectionsPerExecutor}
			c.executors[vm.Name] = e
			c.doc.Register.VMs = append(c.doc.Register.VMs, vm)
		}
	}
	return nil
}

func (c *cluster) startServer(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for simulated service: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	c.servers = append(c.servers, server)
	c.wg.Go(func() { _ = server.Serve(l) })
	return l.Addr().String(), nil
}

// seedStore writes the configuration to the store as the first change of the
// log.
func (c *cluster) seedStore() error {
	change, err := node.FirstChange(&c.doc, "demo")
	if err != nil {
		return err
	}
	value, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("encode first change: %w", err)
	}
	result := c.store.CompareAndSwap(context.Background(), core.Write{Key: node.ChangeKey(1), Value: value})
	if result.Status != core.WriteOK {
		return fmt.Errorf("write first change to the store: status %d", result.Status)
	}
	return nil
}

// startNode starts an entry node that accesses the store over TCP.
func (c *cluster) startNode(i int, log *zap.Logger) error {
	address, err := c.startServer(store.Handler(&c.store))
	if err != nil {
		return err
	}
	n, err := node.New(node.Settings{
		Name:            fmt.Sprintf("entry-%d", i+1),
		DataCentre:      dataCentreName(i),
		CallerAddress:   "127.0.0.1:0",
		PeerAddress:     "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0",
		Store:           "http://" + address,
		LeaseMS:         leaseMS,
	}, node.Dependencies{Log: log})
	if err != nil {
		return err
	}
	running := &runningNode{Node: n, runResult: make(chan error, 1)}
	c.nodes = append(c.nodes, running)
	c.wg.Go(func() { running.runResult <- n.Run() })
	return nil
}

// waitUntilReady waits until every node is ready and every pool and team has an
// owner.
func (c *cluster) waitUntilReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if c.isReady() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("wait for the nodes to be ready: timed out after %v", readyTimeout)
}

func (c *cluster) isReady() bool {
	owned := 0
	for _, n := range c.nodes {
		if !n.Ready() {
			return false
		}
		s := n.NodeStatus()
		owned += len(s.Pools) + len(s.Teams)
	}
	return owned == len(poolNames)+len(teamSpecs)
}

// close kills the nodes and closes the servers.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.Kill()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.wg.Wait()
}
