package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore"] = explore }

func explore(w *world, _ bool) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	has := func(k string) bool {
		for _, x := range kinds {
			if x == k {
				return true
			}
		}
		return false
	}
	r := rand.New(rand.NewPCG(seed, 7))
	var rmu sync.Mutex
	rf := func() float64 { rmu.Lock(); defer rmu.Unlock(); return r.Float64() }
	ri := func(n int) int { rmu.Lock(); defer rmu.Unlock(); return r.IntN(n) }
	dur := func(a, b float64) time.Duration { return time.Duration((a + (b-a)*rf()) * float64(time.Second)) }
	w.configure([]string{"s"}, []route{{name: "q", prefix: "/q/", service: "s", attempts: 4}, {name: "v", prefix: "/v/", service: "s", attempts: 4, advised: true}})
	var tmu sync.Mutex
	troubled := true
	inTrouble := func() bool { tmu.Lock(); defer tmu.Unlock(); return troubled }
	pl, plost, pref := 0.0, 0.0, 0.0
	if has("late") {
		pl = []float64{0.03, 0.1, 0.3}[ri(3)]
	}
	if has("lost") {
		plost = []float64{0.03, 0.1, 0.3}[ri(3)]
	}
	if has("grey") {
		pref = 0.1
	}
	for i := range 8 {
		kind, zone := "a", "norte-a"
		if i%2 == 1 {
			kind, zone = "b", "norte-b"
		}
		x := w.addExecutor(fmt.Sprintf("i-%d", i), "s", zone, kind, fmt.Sprintf("r1-%d", i/4), 16000)
		x.decide = func(path string, q *order) fate {
			if !inTrouble() {
				return fate{}
			}
			hold := path == "/hold"
			v := rf()
			switch {
			case !hold && v < pl:
				return fate{late: dur(2, 12)}
			case hold && v < pl/4:
				return fate{late: dur(0.5, 6)}
			case v < pl+plost && v >= pl:
				return fate{lost: true}
			case !hold && path == "/run-start" && v >= pl+plost && v < pl+plost+pref:
				return fate{refuse: 503}
			}
			return fate{}
		}
	}
	for i := range 3 {
		w.addNode(fmt.Sprintf("edge-%d", i), []string{"norte-a", "norte-b", "norte-c"}[i])
	}
	for _, n := range w.nodes {
		n.awaitReady()
	}
	w.awaitOwner()
	time.Sleep(1500 * time.Millisecond)
	endTrouble := time.Now().Add(35 * time.Second)
	var wg sync.WaitGroup
	loop := func(kind string, a, b float64, f func()) {
		if !has(kind) {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(endTrouble) {
				time.Sleep(dur(a, b))
				f()
			}
		}()
	}
	loop("crash", 1, 4, func() {
		x := w.executors[ri(8)]
		x.crash()
		time.Sleep(dur(0.05, 5))
		x.start()
	})
	loop("reborn", 0.5, 2, func() {
		x := w.executors[ri(8)]
		x.crash()
		time.Sleep(dur(0.0, 0.3))
		x.start()
	})
	loop("cut", 1, 4, func() {
		x := w.executors[ri(8)]
		x.mu.Lock()
		x.cut = true
		x.mu.Unlock()
		w.note("executor %s is cut off", x.id)
		time.Sleep(dur(1, 12))
		x.mu.Lock()
		x.cut = false
		x.mu.Unlock()
		w.note("executor %s is back", x.id)
	})
	loop("kill", 2, 6, func() {
		n := w.owner()
		if n == nil || ri(3) == 0 {
			n = w.nodes[ri(3)]
		}
		if n.exited() {
			return
		}
		n.kill()
		time.Sleep(dur(0.1, 3))
		n.start()
	})
	loop("term", 3, 8, func() {
		n := w.owner()
		if n == nil || ri(3) == 0 {
			n = w.nodes[ri(3)]
		}
		if n.exited() {
			return
		}
		n.signal(syscall.SIGTERM)
		select {
		case <-n.done:
		case <-time.After(6 * time.Second):
			n.kill()
		}
		n.start()
	})
	loop("freeze", 2, 6, func() {
		n := w.owner()
		if n == nil || ri(3) == 0 {
			n = w.nodes[ri(3)]
		}
		if n.exited() {
			return
		}
		n.signal(syscall.SIGSTOP)
		time.Sleep(dur(0.3, 5))
		n.signal(syscall.SIGCONT)
	})
	loop("store", 2, 6, func() {
		mode := []string{"silent", "busy", "reset"}[ri(3)]
		all := ri(2) == 0
		o := w.owner()
		w.note("store is %s, all=%v", mode, all)
		for _, n := range w.nodes {
			if all || n == o {
				n.access.set(mode)
			}
		}
		time.Sleep(dur(0.5, 7))
		for _, n := range w.nodes {
			n.access.set("")
		}
		w.note("store is back")
	})
	if has("wave") {
		var ms []string
		for _, x := range w.executors[:4] {
			ms = append(ms, fmt.Sprintf("%q", x.machine))
		}
		w.store.put("op/wave/1", `{"wave":1,"machines":[`+strings.Join(ms, ",")+`],"overS":25,"cap":2}`)
	}
	var jobs []*jobInfo
	var jmu sync.Mutex
	id := 0
	for time.Now().Before(endTrouble) {
		id++
		j := &jobInfo{ID: fmt.Sprintf("%016x", 0xa000+id), Spec: fmt.Sprintf("spec %d", id)}
		est := int64(200 + ri(1500))
		switch ri(7) {
		case 0, 1:
			j.Steps = []step{{Count: 2 + ri(4), CPU: 2000, MemMb: 100, EstMs: est, Gang: true}}
		case 2:
			j.Steps = []step{{Count: 2 + ri(3), CPU: 2000, MemMb: 100, EstMs: est, Gang: true}, {Count: 3, CPU: 1000, MemMb: 100, EstMs: est, After: []int{0}}}
		case 3:
			j.Steps = []step{{Count: 3, CPU: 2000, MemMb: 100, EstMs: est}, {Count: 2, CPU: 2000, MemMb: 100, EstMs: est, After: []int{0}, Gang: true}}
		case 4:
			j.Steps = []step{{Count: 2, CPU: 1000, MemMb: 100, EstMs: est}}
			j.Times, j.StartMs, j.IntervalMs = 3, time.Now().UnixMilli()+int64(ri(3000)), int64(500+ri(2500))
		case 5:
			j.Steps = []step{{Count: 3, CPU: 2000, MemMb: 100, EstMs: est, MaxPerServer: 1}}
		case 6:
			j.Steps = []step{{Count: 3, CPU: 2000, MemMb: 100, EstMs: est, Requires: "a"}}
		}
		if has("large") && ri(8) == 0 {
			j.Steps = []step{{Count: 300, CPU: 100, MemMb: 10, EstMs: est / 4}, {Count: 20, CPU: 100, MemMb: 10, EstMs: est / 4, After: []int{0}, Gang: true}}
		}
		cancel := ri(10) == 0
		again := ri(3) == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			prefix := "/q/"
			if has("advice") && ri(2) == 0 {
				prefix = "/v/"
			}
			if w.submit(prefix, j) {
				jmu.Lock()
				jobs = append(jobs, j)
				jmu.Unlock()
				if again {
					wg.Add(1)
					go func() {
						defer wg.Done()
						time.Sleep(dur(0, 6))
						body, _ := json.Marshal(j)
						n := w.live(ri(3))
						status, text := w.call(n, "POST", prefix+j.ID, body, 3*time.Second)
						w.note("client  POST again %s at %s: %d %s", j.ID, n.name, status, text)
					}()
				}
				if cancel {
					time.Sleep(dur(0, 1))
					w.cancel(j)
				}
			} else {
				w.note("job %s was not accepted", j.ID)
			}
		}()
		time.Sleep(dur(0.1, 0.5))
	}
	wg.Wait()
	tmu.Lock()
	troubled = false
	tmu.Unlock()
	w.note("the trouble is over, %d jobs", len(jobs))
	deadline := time.Now().Add(25 * time.Second)
	for _, j := range jobs {
		want := []string{"succeeded", "failed"}
		if !j.cancelSent.IsZero() {
			continue
		}
		s := w.awaitState(j, max(time.Until(deadline), 500*time.Millisecond), want...)
		if s != "succeeded" {
			w.breach("LOST", "job %s of %+v is %q at the end", j.ID, j.Steps, s)
		}
	}
	for _, n := range w.nodes {
		data, _ := os.ReadFile(n.logFile)
		if i := strings.Index(string(data), "panic"); i >= 0 {
			w.breach("CRASH", "%s: %.300s", n.name, data[i:])
		}
	}
	return w.finish()
}
