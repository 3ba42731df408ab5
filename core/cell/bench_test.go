package cell_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
	"jacinthwind/core/lookahead"
)

// benchmarkPools is the number of pools among which the executors of a benchmark are
// divided.
const benchmarkPools = 4

// newBenchmarkWorld returns a world with executors of 64 cores in several pools, each
// with service tasks on a tenth of its executors.
func newBenchmarkWorld(b *testing.B, executors int) *world {
	w := newWorld(b, 0)
	w.config = &fleet.Configuration{Version: 2, Teams: []fleet.Team{{Name: "notaries", Keys: []string{"k"}, Share: 1}}}
	for i := range benchmarkPools {
		name := fmt.Sprint("pool", i)
		w.config.Pools = append(w.config.Pools, fleet.Pool{Name: name})
		w.config.Queues = append(w.config.Queues, fleet.Queue{
			Name: name, Host: "h", Prefix: "/" + name + "/", Pool: name,
			MaxAttempts: 2, ObjectiveFactor: 1.6, ObjectiveBase: 2 * time.Second,
		})
	}
	w.config.Index()
	for i := range executors {
		id := fmt.Sprintf("e%05d", i)
		w.addExecutor(id)
		x := w.executors[id]
		x.Pool, x.Capacity = fmt.Sprint("pool", i%benchmarkPools), fleet.Vector{CPU: 64000, Mem: 128000}
		w.vms[i].Pool, w.vms[i].Capacity = x.Pool, x.Capacity
	}
	w.taskTime = func(task string, run int) (time.Duration, fleet.RunEnd) {
		return 400*time.Millisecond + time.Duration(hashRun(1, task, run)%800)*time.Millisecond, fleet.EndDone
	}
	w.replaceOwner()
	w.advance(500 * time.Millisecond)
	for i := range executors / 10 {
		w.submitJob(&job.Job{
			ID: fmt.Sprintf("f%015x", i), Team: "notaries", Queue: fmt.Sprint("pool", i%benchmarkPools), Spec: "s",
			Steps: []job.Step{{Count: 6, Size: fleet.Vector{CPU: 9600, Mem: 20000}, EstimateMs: 900, Service: true, MaxUnavailable: 1}},
		})
	}
	w.advance(time.Second)
	return w
}

// BenchmarkDecisions measures the real time of the kernel's decisions for a task, at
// 0.85 starts per second and executor as on the busiest seconds of the large
// deployment. One pool at a time gets nearly all of the load.
func BenchmarkDecisions(b *testing.B) {
	for _, executors := range []int{350, 1100, 5000} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			w := newBenchmarkWorld(b, executors)
			perStep := 0.85 * float64(executors) * testStep.Seconds() / 12
			var owed float64
			jobs := 0
			load := func(steps int) {
				for i := range steps {
					for owed += perStep; owed >= 1; owed-- {
						jobs++
						w.submitJob(&job.Job{
							ID: fmt.Sprintf("%016x", jobs), Team: "notaries", Queue: fmt.Sprint("pool", (i/100)%benchmarkPools), Spec: "s",
							Steps: []job.Step{
								{Count: 8, Size: fleet.Vector{CPU: 8500, Mem: 8000}, EstimateMs: 800},
								{Count: 4, Size: fleet.Vector{CPU: 8500, Mem: 8000}, EstimateMs: 800, After: []int{0}},
							},
						})
					}
					w.advance(testStep)
				}
			}
			load(100)
			w.decisionTime = 0
			started := w.countStarts()
			b.ResetTimer()
			for range b.N {
				load(300)
			}
			b.StopTimer()
			tasks := float64(w.countStarts() - started)
			b.ReportMetric(float64(w.decisionTime.Microseconds())/tasks, "us/task")
			b.ReportMetric(tasks/float64(b.N), "tasks")
			b.ReportMetric(w.decisionTime.Seconds()/(3*float64(b.N)), "cores")
		})
	}
}

// countStarts returns the number of runs started so far.
func (w *world) countStarts() int {
	n := 0
	for _, s := range w.starts {
		n += s
	}
	return n
}

// BenchmarkSetAside measures a search for a place for one large task among 1,100 executors with
// eight runs each.
func BenchmarkSetAside(b *testing.B) {
	rooms := make([]lookahead.Room, 1100)
	for i := range rooms {
		rooms[i].Capacity, rooms[i].Used = fleet.Vector{CPU: 32000}, fleet.Vector{CPU: 32000}
		for n := range 8 {
			rooms[i].Runs = append(rooms[i].Runs, lookahead.Run{Size: fleet.Vector{CPU: 4000}, End: time.Duration(100*n+i) * time.Millisecond})
		}
	}
	for b.Loop() {
		lookahead.Earliest(0, 2*time.Second, rooms, func(int) bool { return true }, fleet.Vector{CPU: 16000}, 4, 0)
	}
}
