package node_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"jacinthwind/common/header"
	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/io/executor"
	"jacinthwind/node"
	"jacinthwind/standin/store"
	"jacinthwind/standin/target"
)

const benchExecutors = 12

// benchCluster is a pool of executors behind three nodes, all on loopback.
type benchCluster struct {
	executors []string
	callers   []string
	close     func()
}

// newBenchCluster starts the executors and the nodes, and waits until the pool has
// an owner.
func newBenchCluster(b *testing.B) *benchCluster {
	c := &benchCluster{}
	var servers []*httptest.Server
	doc := config.Document{Register: config.Register{
		DataCentres: []config.DataCentre{{Name: "dc1"}},
		Pools:       []config.Pool{{Name: "p"}},
		Queues:      []config.Queue{{Name: "q", Pool: "p"}},
		Teams:       []config.Team{{Name: "a", Share: 1, Limit: 1000}},
		Keys:        []config.Key{{Name: "k", Team: "a", SHA256: config.DigestKey("secret")}},
	}}
	for i := range benchExecutors {
		vm := fmt.Sprintf("vm%d", i)
		server := httptest.NewServer((&target.Executor{VM: vm, Instance: "1", Slots: 8}).Handler())
		servers = append(servers, server)
		address := server.Listener.Addr().String()
		c.executors = append(c.executors, address)
		doc.Register.VMs = append(doc.Register.VMs, config.VM{
			Name: vm, Pool: "p", DataCentre: "dc1", Rack: "r",
			Executor: config.Executor{Address: address, Slots: 8, Connections: 64},
		})
	}
	var s store.Memory
	change, err := node.FirstChange(&doc, "bench")
	require.NoError(b, err)
	value, err := json.Marshal(change)
	require.NoError(b, err)
	s.CompareAndSwap(b.Context(), core.Write{Key: node.ChangeKey(1), Value: value})
	var nodes []*node.Node
	var wg sync.WaitGroup
	for i := range 3 {
		n, err := node.New(node.Settings{
			Name: fmt.Sprint("n", i), CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		}, node.Dependencies{Store: &s})
		require.NoError(b, err)
		nodes = append(nodes, n)
		c.callers = append(c.callers, n.Settings().CallerAddress)
		wg.Go(func() { _ = n.Run() })
	}
	require.Eventually(b, func() bool {
		owned := 0
		for _, n := range nodes {
			owned += len(n.NodeStatus().Pools)
		}
		return owned == 1
	}, 10*time.Second, 10*time.Millisecond)
	c.close = func() {
		for _, n := range nodes {
			n.Kill()
		}
		for _, server := range servers {
			server.Close()
		}
		wg.Wait()
	}
	return c
}

// setTaskHeaders sets the headers that a node sends with a task.
func setTaskHeaders(r *http.Request) {
	r.Header.Set(target.HeaderRunMS, "0")
	r.Header.Set(header.Attempt, "p.1.1-"+uuid.NewString())
	r.Header.Set(header.StartBy, executor.FormatTime(time.Now().Add(time.Minute)))
	r.Header.Set(header.LeaseUntil, executor.FormatTime(time.Now().Add(time.Minute)))
}

// BenchmarkRequest compares direct calls to the executors with calls through the
// nodes, from 24 concurrent callers. The CPU time includes the callers, the nodes
// and the executors.
func BenchmarkRequest(b *testing.B) {
	c := newBenchCluster(b)
	defer c.close()
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	b.Run("direct", func(b *testing.B) {
		measureRequests(b, client, func(i int) *http.Request {
			r, _ := http.NewRequest(http.MethodPost, "http://"+c.executors[i%len(c.executors)]+executor.PathTasks, bytes.NewReader([]byte("body")))
			setTaskHeaders(r)
			return r
		})
	})
	b.Run("through", func(b *testing.B) {
		measureRequests(b, client, func(i int) *http.Request {
			r, _ := http.NewRequest(http.MethodPost, "http://"+c.callers[i%len(c.callers)]+"/v1/queues/q/requests", bytes.NewReader([]byte("body")))
			r.Header.Set(header.Authorization, "Bearer secret")
			r.Header.Set(target.HeaderRunMS, "0")
			return r
		})
	})
}

// measureRequests sends b.N requests and reports latency, throughput and CPU time.
func measureRequests(b *testing.B, client *http.Client, request func(int) *http.Request) {
	const callers = 24
	var mu sync.Mutex
	var latencies []time.Duration
	cpu := readCPUTime()
	next := make(chan int)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			var callerLatencies []time.Duration
			for i := range next {
				began := time.Now()
				resp, err := client.Do(request(i))
				if err != nil {
					b.Error(err)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Errorf("status %d %s", resp.StatusCode, resp.Header.Get(header.Reason))
				}
				callerLatencies = append(callerLatencies, time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, callerLatencies...)
		})
	}
	b.ResetTimer()
	for i := range b.N {
		next <- i
	}
	close(next)
	wg.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64((readCPUTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
}

// readCPUTime returns the CPU time that this process has used.
func readCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
