package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/scheduler"
)

// newLoadedKernel returns a bench whose kernel has all slots occupied and the
// given number of queued requests.
func newLoadedKernel(b *testing.B, queued, teams, executors int) *testKernel {
	fill := func(d *config.Document) {
		r := &d.Register
		r.Teams, r.Keys, r.VMs = nil, nil, nil
		for i := range teams {
			name := fmt.Sprintf("team%d", i)
			r.Teams = append(r.Teams, config.Team{Name: name, Share: 1 + i%8, Limit: 1_000_000})
			r.Keys = append(r.Keys, config.Key{Name: name, Team: name, SHA256: config.DigestKey(name)})
		}
		for i := range executors {
			r.VMs = append(r.VMs, config.VM{
				Name: fmt.Sprintf("vm%d", i), Pool: "p", DataCentre: fmt.Sprintf("dc%d", 1+i%2), Rack: "r1",
				Executor: config.Executor{Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1), Slots: 8, Connections: 64},
			})
		}
		d.Rules.Scheduling.MaxQueued = 10_000_000
	}
	bn := newTestKernel(b, fill)
	bn.grantInFull = true
	for i := range queued + executors*8 {
		team := fmt.Sprintf("team%d", i%teams)
		bn.submit(bn.request(fmt.Sprint("r", i), team, func(r *core.Request) {
			r.Idempotent = i%2 == 0
			r.Priority = core.Priority(i % 5 / 4)
			r.Deadline = r.Deadline.Add(time.Hour + time.Duration(i*7919%1_000_003)*time.Millisecond)
		}))
	}
	return bn
}

// BenchmarkDispatch measures the end of one attempt, including the choice and
// start of the next request.
func BenchmarkDispatch(b *testing.B) {
	for _, queued := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			bn := newLoadedKernel(b, queued, 240, 100)
			answer := &core.Answer{Status: 200}
			ended := scheduler.AttemptEnded{Result: core.AttemptResult{Answer: answer}}
			running := make([]core.AttemptID, len(bn.starts))
			for i, s := range bn.starts {
				running[i] = s.Task.Attempt
			}
			refill := core.Request{}
			next := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%(queued/2) == queued/2-1 {
					b.StopTimer()
					for range queued / 2 {
						next++
						refill = *bn.request(fmt.Sprint("n", next), fmt.Sprintf("team%d", next%240), nil)
						refill.Deadline = refill.Deadline.Add(time.Hour)
						r := refill
						bn.submit(&r)
					}
					b.StartTimer()
				}
				slot := i % len(running)
				ended.Attempt = running[slot]
				fx := bn.kernel.Step(bn.now, &ended)
				running[slot] = fx.Starts[0].Task.Attempt
			}
		})
	}
}

// BenchmarkSubmit measures the admission of a request to a pool without a free
// slot.
func BenchmarkSubmit(b *testing.B) {
	bn := newLoadedKernel(b, 1_000, 240, 100)
	requests := make([]*core.Request, 100_000)
	for i := range requests {
		requests[i] = bn.request(fmt.Sprint("s", i), fmt.Sprintf("team%d", i%240), nil)
	}
	ev := scheduler.Submit{SentAt: bn.now}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i == len(requests) {
			b.StopTimer()
			bn = newLoadedKernel(b, 1_000, 240, 100)
			i = 0
			b.StartTimer()
		}
		ev.Request = requests[i]
		ev.Waiter++
		bn.kernel.Step(bn.now, &ev)
	}
}

// BenchmarkCancel measures the cancellation of one queued request out of
// 100000.
func BenchmarkCancel(b *testing.B) {
	const queued = 100_000
	bn := newLoadedKernel(b, queued, 240, 100)
	first := 100 * 8
	ev := scheduler.Cancel{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i == queued {
			b.StopTimer()
			bn = newLoadedKernel(b, queued, 240, 100)
			i = 0
			b.StartTimer()
		}
		n := first + i
		ev.Key = scheduler.RequestKey{Queue: "q", Team: fmt.Sprintf("team%d", n%240), ID: fmt.Sprint("r", n)}
		bn.kernel.Step(bn.now, &ev)
	}
}
