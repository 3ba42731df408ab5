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

// benchFleet is one pool behind three nodes on loopback.
type benchFleet struct {
	executors []string
	callers   []string
	close     func()
}

func newBenchFleet(b *testing.B) *benchFleet {
	f := &benchFleet{}
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
		f.executors = append(f.executors, address)
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
		f.callers = append(f.callers, n.Settings().CallerAddress)
		wg.Go(func() { _ = n.Run() })
	}
	require.Eventually(b, func() bool {
		owned := 0
		for _, n := range nodes {
			owned += len(n.NodeStatus().Pools)
		}
		return owned == 1
	}, 10*time.Second, 10*time.Millisecond)
	f.close = func() {
		for _, n := range nodes {
			n.Kill()
		}
		for _, server := range servers {
			server.Close()
		}
		wg.Wait()
	}
	return f
}

func taskHeaders(r *http.Request) {
	r.Header.Set(target.HeaderRunMS, "0")
	r.Header.Set(header.Attempt, "p.1.1-"+uuid.NewString())
	r.Header.Set(header.StartBy, executor.FormatTime(time.Now().Add(time.Minute)))
	r.Header.Set(header.LeaseUntil, executor.FormatTime(time.Now().Add(time.Minute)))
}

// BenchmarkRequest compares direct calls to the executors with calls through
// the nodes, with 24 callers at once; the processor time is that of callers,
// nodes and executors together.
func BenchmarkRequest(b *testing.B) {
	f := newBenchFleet(b)
	defer f.close()
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	b.Run("direct", func(b *testing.B) {
		measure(b, client, func(i int) *http.Request {
			r, _ := http.NewRequest(http.MethodPost, "http://"+f.executors[i%len(f.executors)]+executor.PathTasks, bytes.NewReader([]byte("body")))
			taskHeaders(r)
			return r
		})
	})
	b.Run("through", func(b *testing.B) {
		measure(b, client, func(i int) *http.Request {
			r, _ := http.NewRequest(http.MethodPost, "http://"+f.callers[i%len(f.callers)]+"/v1/queues/q/requests", bytes.NewReader([]byte("body")))
			r.Header.Set(header.Authorization, "Bearer secret")
			r.Header.Set(target.HeaderRunMS, "0")
			return r
		})
	})
}

func measure(b *testing.B, client *http.Client, request func(int) *http.Request) {
	const callers = 24
	var mu sync.Mutex
	var all []time.Duration
	cpu := processorTime()
	next := make(chan int)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			var mine []time.Duration
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
				mine = append(mine, time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, mine...)
		})
	}
	b.ResetTimer()
	for i := range b.N {
		next <- i
	}
	close(next)
	wg.Wait()
	b.StopTimer()
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
}

// processorTime is the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
