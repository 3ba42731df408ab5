package main

import (
	"fmt"
	"time"
)

var cases = map[string]func(*world, bool) int{
	"kind": kindCase,
	"lost": lostCase,
}

// kindCase crashes an executor that comes back under its id as another kind.
func kindCase(w *world, trouble bool) int {
	w.configure([]string{"s"}, []route{{name: "q", prefix: "/q/", service: "s", attempts: 2}})
	for i := range 3 {
		x := w.addExecutor(fmt.Sprintf("i-a%d", i), "s", "norte-a", "a", "r1-1", 16000)
		x.firstBeat = time.Second
	}
	for i := range 3 {
		w.addExecutor(fmt.Sprintf("i-b%d", i), "s", "norte-b", "b", "r1-2", 16000)
	}
	for i := range 2 {
		w.addNode(fmt.Sprintf("edge-%d", i), "norte-a").awaitReady()
	}
	w.awaitOwner()
	time.Sleep(2 * time.Second)
	if trouble {
		x := w.executors[0]
		go func() {
			time.Sleep(2500 * time.Millisecond)
			x.crash()
			time.Sleep(300 * time.Millisecond)
			x.kind = "b"
			x.start()
		}()
	}
	var jobs []*jobInfo
	for i := range 40 {
		j := &jobInfo{ID: fmt.Sprintf("%016x", 0xa00+i), Spec: "x", Steps: []step{{Count: 6, CPU: 4000, MemMb: 100, EstMs: 300, Requires: "a"}}}
		if w.submit("/q/", j) {
			jobs = append(jobs, j)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, j := range jobs {
		w.awaitState(j, 10*time.Second, "succeeded", "failed")
	}
	return w.finish()
}

// lostCase lets one executor after the other crash and come back while long tasks run. No run
// ever ends failed.
func lostCase(w *world, trouble bool) int {
	const (
		executors, jobs, tasks, crashes = 8, 10, 6, 24
		// One executor is down at a time.
		downTime, upTime = time.Second, 100 * time.Millisecond
	)
	w.configure([]string{"s"}, []route{{name: "q", prefix: "/q/", service: "s", attempts: 2}})
	for i := range executors {
		w.addExecutor(fmt.Sprintf("i-a%d", i), "s", "norte-a", "a", fmt.Sprintf("r1-%d", i/4), 64000)
	}
	for i := range 3 {
		w.addNode(fmt.Sprintf("edge-%d", i), "norte-a").awaitReady()
	}
	w.awaitOwner()
	time.Sleep(2 * time.Second)
	var accepted []*jobInfo
	for i := range jobs {
		j := &jobInfo{ID: fmt.Sprintf("%016x", 0xa00+i), Spec: fmt.Sprintf("plate %d", i), Steps: []step{{Count: tasks, CPU: 4000, MemMb: 100, EstMs: 5000}}}
		if w.submit("/q/", j) {
			accepted = append(accepted, j)
		}
	}
	if trouble {
		for i := range crashes {
			x := w.executors[(i*3)%executors]
			x.crash()
			time.Sleep(downTime)
			x.start()
			time.Sleep(upTime)
		}
	}
	for _, j := range accepted {
		if s := w.awaitState(j, 20*time.Second, "succeeded", "failed", "cancelled"); s != "succeeded" {
			ends := map[string]int{}
			for _, r := range w.runsOf(j.ID) {
				ends[r.how]++
			}
			w.breach("LOST", "job %s was accepted and is shown as %q; 2 attempts are allowed, and its runs have ended so: %v", j.ID, s, ends)
		}
	}
	return w.finish()
}
