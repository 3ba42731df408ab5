package scheduler_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/order"
	"jacinthwind/core/scheduler"
)

// fairTeam is one client account of the fairness measurement.
type fairTeam struct {
	name  string
	share int
	// rate is the mean number of requests per second, meanMS the mean run time.
	rate   float64
	meanMS float64
}

// fairTeams holds six accounts. The two large ones also have the longest tasks.
var fairTeams = []fairTeam{
	{"large-1", 4, 300, 80},
	{"large-2", 4, 240, 120},
	{"mid", 2, 120, 40},
	{"small-1", 1, 60, 30},
	{"small-2", 1, 50, 20},
	{"small-3", 1, 40, 50},
}

const (
	fairSlots    = 96
	fairStep     = 10 * time.Millisecond
	fairDuration = 120 * time.Second
	// Each team in turn submits burstFactor times its mean rate for
	// burstLength, and quietFactor times its mean rate during the rest of the
	// cycle.
	burstLength   = 5 * time.Second
	burstFactor   = 5
	quietFactor   = 0.05
	measureWindow = time.Second
	// loadFactor scales the rates so that the backlog of every burst lasts into
	// the next one.
	loadFactor = 1.4
)

// runningTask is a started task and the time at which it ends.
type runningTask struct {
	end  time.Time
	id   core.AttemptID
	team int
}

// runningHeap is a min-heap of running tasks ordered by their end.
type runningHeap []runningTask

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(runningTask)) }

func (h *runningHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// measureFairness runs the bursts under the given order. It returns the
// fraction of the slot time that went to other teams than under weighted
// max-min fairness, and the fraction of the slots in use.
func measureFairness(tb testing.TB, orderName string, seed uint64) (distance, used float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	now := time.Unix(1_800_000_000, 0)
	startedAt := now
	k := newFairKernel(tb, now, orderName)
	runs := make(map[string]time.Duration)
	ends := &runningHeap{}
	backlog := make([]float64, len(fairTeams))
	actual := make([]float64, len(fairTeams))
	ideal := make([]float64, len(fairTeams))
	misallocated, total, requestCount := 0.0, 0.0, 0
	carryOut := func(fx *scheduler.Effects) {
		for _, s := range fx.Starts {
			heap.Push(ends, runningTask{now.Add(runs[s.Task.RequestID]), s.Task.Attempt, teamIndex(s.Task.Team)})
		}
		for _, x := range append([]scheduler.LimitReport(nil), fx.LimitReports...) {
			for _, s := range k.Step(now, &scheduler.LimitGranted{
				Team: x.Team, Seq: x.Seq, Granted: max(x.Held, 0) + x.Want, Target: -1,
			}).Starts {
				heap.Push(ends, runningTask{now.Add(runs[s.Task.RequestID]), s.Task.Attempt, teamIndex(s.Task.Team)})
			}
		}
	}
	for now.Before(startedAt.Add(fairDuration)) {
		now = now.Add(fairStep)
		for ends.Len() > 0 && !(*ends)[0].end.After(now) {
			e := heap.Pop(ends).(runningTask)
			carryOut(k.Step(now, &scheduler.AttemptEnded{Attempt: e.id, Result: core.AttemptResult{Answer: &core.Answer{Status: 200}}}))
		}
		for i, t := range fairTeams {
			for range drawPoisson(rng, loadFactor*t.rate*rateFactor(i, now.Sub(startedAt))*fairStep.Seconds()) {
				requestCount++
				id := fmt.Sprint(requestCount)
				runs[id] = time.Duration(rng.ExpFloat64() * t.meanMS * float64(time.Millisecond))
				backlog[i] += runs[id].Seconds()
				carryOut(k.Step(now, &scheduler.Submit{SentAt: now, Request: &core.Request{
					ID: id, IssuedAt: now, Queue: "q", Team: t.name, KeyDigest: config.DigestKey(t.name),
					Deadline: now.Add(time.Hour), Payload: &core.Payload{},
				}}))
			}
		}
		carryOut(k.Step(now, &scheduler.Tick{}))
		for _, e := range *ends {
			actual[e.team] += fairStep.Seconds()
		}
		serveMaxMinFair(backlog, ideal, fairSlots*fairStep.Seconds())
		if now.Sub(startedAt)%measureWindow == 0 {
			for i := range fairTeams {
				misallocated += math.Abs(actual[i]-ideal[i]) / 2
				total += ideal[i]
				used += actual[i]
				actual[i], ideal[i] = 0, 0
			}
		}
	}
	return misallocated / total, used / (fairSlots * fairDuration.Seconds())
}

func newFairKernel(tb testing.TB, now time.Time, orderName string) *scheduler.Kernel {
	var doc config.Document
	r := &doc.Register
	r.DataCentres = []config.DataCentre{{Name: "dc1"}}
	r.Pools = []config.Pool{{Name: "p"}}
	r.Queues = []config.Queue{{Name: "q", Pool: "p"}}
	for i := range fairSlots / 8 {
		r.VMs = append(r.VMs, config.VM{
			Name: fmt.Sprintf("vm%02d", i), Pool: "p", DataCentre: "dc1", Rack: "r1",
			Executor: config.Executor{Address: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: 8, Connections: 64},
		})
	}
	for _, t := range fairTeams {
		r.Teams = append(r.Teams, config.Team{Name: t.name, Share: t.share, Limit: 10_000})
		r.Keys = append(r.Keys, config.Key{Name: t.name, Team: t.name, SHA256: config.DigestKey(t.name)})
	}
	doc.Rules.Scheduling.MaxQueued = 1_000_000
	ops, err := config.State{}.Diff(&doc)
	if err != nil {
		tb.Fatal(err)
	}
	state, err := config.State{}.Apply(&config.Change{Revision: 1, Operations: ops})
	if err != nil {
		tb.Fatal(err)
	}
	// The task lease and the usage interval exceed the simulated time, so that
	// the run needs no usage reports.
	k, err := scheduler.New(now, scheduler.Settings{Order: orderName, Seed: 1, TaskLease: time.Hour, UsageInterval: time.Hour},
		scheduler.Activation{Pool: "p", Epoch: 1, View: config.NewView(state, nil), First: true})
	if err != nil {
		tb.Fatal(err)
	}
	return k
}

func teamIndex(name string) int {
	for i, t := range fairTeams {
		if t.name == name {
			return i
		}
	}
	return -1
}

// rateFactor returns the factor on a team's mean rate at the given time.
func rateFactor(team int, at time.Duration) float64 {
	turn := int(at/burstLength) % len(fairTeams)
	if turn == team {
		return burstFactor
	}
	return quietFactor
}

// drawPoisson draws a Poisson-distributed number with the given mean.
func drawPoisson(rng *rand.Rand, mean float64) int {
	n, p := 0, rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}

// serveMaxMinFair serves capacity slot-seconds from the backlogs by weighted
// max-min fairness.
func serveMaxMinFair(backlog, served []float64, capacity float64) {
	for capacity > 1e-9 {
		weight := 0.0
		for i, b := range backlog {
			if b > 1e-9 {
				weight += float64(fairTeams[i].share)
			}
		}
		if weight == 0 {
			return
		}
		left := capacity
		for i, b := range backlog {
			if b <= 1e-9 {
				continue
			}
			part := min(b, left*float64(fairTeams[i].share)/weight)
			backlog[i] -= part
			served[i] += part
			capacity -= part
		}
	}
}

// BenchmarkFairness reports the distance from weighted max-min shares under
// bursts, for the fair order and for two baselines on the same input.
func BenchmarkFairness(b *testing.B) {
	const seeds = 5
	for _, name := range []string{order.NameFair, order.NameRoundRobin, order.NameFIFO} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				distance, used := 0.0, 0.0
				for seed := range uint64(seeds) {
					d, u := measureFairness(b, name, seed)
					distance += d / seeds
					used += u / seeds
				}
				b.ReportMetric(100*distance, "%distance")
				b.ReportMetric(100*used, "%used")
			}
		})
	}
}
