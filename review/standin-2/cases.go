package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["reborn"] = playReborn
	cases["advice"] = playAdvice
	cases["gang"] = playGang
	cases["depth"] = playDepth
	cases["rolling"] = playRolling
}

// route describes a queue of the config.
type route struct {
	name, prefix, service string
	attempts              int
	advice                map[string]int64
}

// putConfig writes a config as the operator does.
func (w *world) putConfig(version int, services []string, routes ...route) {
	var rs, ss []map[string]any
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": 600,
			"priority": 0, "service": r.service, "attempts": r.attempts, "stretch": 1.6, "public": false,
		}
		if r.advice != nil {
			m["advice"] = r.advice
		}
		rs = append(rs, m)
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0, "rejectsOverload": false, "spare": false})
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "team-1", "apiKeys": []string{"key-1"}, "priority": 1, "weight": 65, "cap": map[string]int64{"cpu": 0, "memMb": 0, "gpu": 0}}},
	})
}

// workFromSpec reads what a task does from its spec: a duration, and "lasts" or "gang N".
func workFromSpec(_, spec string) work {
	var does work
	for _, word := range strings.Fields(spec) {
		switch {
		case word == "lasts":
			does.lasts = true
		case strings.HasPrefix(word, "gang="):
			_, _ = fmt.Sscanf(word, "gang=%d", &does.gang)
		default:
			does.duration, _ = time.ParseDuration(word)
		}
	}
	return does
}

// beginWith starts a small deployment with one pool, and waits until a node owns it.
func (w *world) beginWith(executors int, cpu int64, r route) error {
	w.works = workFromSpec
	w.putConfig(7, []string{r.service}, r)
	if err := w.addExecutors(r.service, executors, cpu, 131072); err != nil {
		return err
	}
	if err := w.addNodes(3); err != nil {
		return err
	}
	return w.awaitOwner()
}

// playReborn lets an idle executor crash and start again under its id. It gets a task that
// lasts and is cut off soon after.
func playReborn(w *world) error {
	if err := w.beginWith(8, 64000, route{name: "keep", prefix: "/keep/", service: "grabado", attempts: 4}); err != nil {
		return err
	}
	time.Sleep(12 * time.Second)
	x := w.executors[0]
	x.registerDelay = heartbeat
	if w.trouble {
		x.crash()
		time.Sleep(500 * time.Millisecond)
		if err := x.start(); err != nil {
			return err
		}
		time.Sleep(400 * time.Millisecond)
	}
	if !w.submit("/keep/00000000000000a1", `{"spec":"lasts","steps":[{"count":1,"cpu":7000,"memMb":1024,"longRunning":true,"colocate":"r-1"}]}`) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(700 * time.Millisecond)
	if w.trouble {
		x.setCut(true)
	}
	time.Sleep(5500 * time.Millisecond)
	if w.trouble {
		x.setCut(false)
	}
	time.Sleep(3 * time.Second)
	w.judgeTwice()
	return nil
}

// The figures of the advice: a call for the 12 executors of the pool takes 600 ms.
const (
	adviceDecide = 120 * time.Millisecond
	adviceEach   = 40 * time.Millisecond
	adviceValid  = 3 * time.Second
	adviceJobs   = 12
)

// playAdvice submits jobs to a queue with advice: all at once, or one every two seconds.
func playAdvice(w *world) error {
	var err error
	w.advisor = newAdvisor(w, adviceDecide, adviceEach, adviceValid)
	if w.adviceAt, err = serve("", w.advisor); err != nil {
		return err
	}
	advice := map[string]int64{"decideMs": adviceDecide.Milliseconds(), "eachMs": adviceEach.Milliseconds(), "validMs": adviceValid.Milliseconds()}
	if err := w.beginWith(12, 64000, route{name: "plan", prefix: "/plan/", service: "grabado", attempts: 2, advice: advice}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var paths []string
	accepted := make(chan string, adviceJobs)
	for i := range adviceJobs {
		path := fmt.Sprintf("/plan/00000000000000%02x", i)
		hand := func() {
			status, text := w.call(w.nodes[i%len(w.nodes)], http.MethodPost, path, `{"spec":"800ms","steps":[{"count":2,"cpu":1000,"memMb":512,"estMs":800}]}`)
			w.note("POST %s -> %d %s", path, status, text)
			if status/100 != 2 {
				path = ""
			}
			accepted <- path
		}
		if w.trouble {
			go hand()
			continue
		}
		hand()
		time.Sleep(2 * time.Second)
	}
	for range adviceJobs {
		if path := <-accepted; path != "" {
			paths = append(paths, path)
		}
	}
	w.note("%d jobs were accepted, no more are sent", len(paths))
	if len(paths) < adviceJobs/2 {
		return fmt.Errorf("only %d jobs were accepted", len(paths))
	}
	// Jobs are asked for 14 s (finish_s) after the end of the traffic.
	time.Sleep(14 * time.Second)
	waiting := func() map[string]bool {
		found := map[string]bool{}
		for _, path := range paths {
			if s := w.state(w.nodes[0], path); s != "succeeded" {
				w.note("GET %s -> %s", path, s)
				found[path] = true
			}
		}
		return found
	}
	before := w.runsByJob()
	first := waiting()
	time.Sleep(5 * time.Second)
	last := waiting()
	after := w.runsByJob()
	still := 0
	for path := range first {
		id := path[len("/plan/"):]
		if last[path] && before[id] == 0 && after[id] == 0 {
			still++
		}
	}
	if still > 0 {
		w.breaks("LOST: %d of %d accepted jobs have never run, 19 s after the last was handed in; all 12 executors are free", still, len(paths))
	}
	return nil
}

// runsByJob returns how many runs of each job have begun.
func (w *world) runsByJob() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := map[string]int{}
	for _, r := range w.runs {
		found[jobOf(r.task)]++
	}
	return found
}

// playGang submits a job with a gang of four to a pool of 24 executors, two of which fail all
// that they start.
func playGang(w *world) error {
	const attempts = 4
	if err := w.beginWith(24, 64000, route{name: "plan", prefix: "/plan/", service: "grabado", attempts: attempts}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		for _, x := range w.executors[:2] {
			x.mu.Lock()
			x.grey = true
			x.mu.Unlock()
			w.note("%s fails all that it starts from now on", x.id)
		}
	}
	path := "/plan/00000000000000a1"
	if !w.submit(path, `{"spec":"800ms gang=4","steps":[{"count":4,"cpu":7000,"memMb":1024,"estMs":800,"gang":true,"maxPerServer":1}]}`) {
		return fmt.Errorf("the job was not accepted")
	}
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		s := w.state(w.nodes[1], path)
		if s != "succeeded" && s != "failed" {
			continue
		}
		w.note("GET %s -> %s", path, s)
		w.mu.Lock()
		numbers := map[int]bool{}
		for _, r := range w.runs {
			if r.how == "failed" {
				numbers[r.number] = true
			}
		}
		w.mu.Unlock()
		if s == "failed" && len(numbers) < attempts {
			w.breaks("LOST: the job is shown as failed after its gang has failed %d times, attempts is %d", len(numbers), attempts)
		}
		return nil
	}
	return fmt.Errorf("the job did not end")
}

// playDepth fills all executors of a pool but one with tasks that last. That one turns
// unhealthy and answers 503, and more jobs of tasks that last are handed in.
func playDepth(w *world) error {
	if err := w.beginWith(12, 16000, route{name: "keep", prefix: "/keep/", service: "grabado", attempts: 4}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	// Each task fills an executor.
	const body = `{"spec":"lasts","steps":[{"count":%d,"cpu":%d,"memMb":1024,"longRunning":true}]}`
	if !w.submit("/keep/00000000000000a1", fmt.Sprintf(body, 11, 16000)) {
		return fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		for _, x := range w.executors {
			x.mu.Lock()
			x.unhealthy = len(x.active) == 0
			if x.unhealthy {
				w.note("%s is unhealthy from now on: it answers orders to start with 503", x.id)
			}
			x.mu.Unlock()
		}
	}
	const more = 6
	for i := range more {
		if !w.submit(fmt.Sprintf("/keep/00000000000000b%d", i), fmt.Sprintf(body, 1, 2000)) {
			return fmt.Errorf("a job was not accepted")
		}
	}
	// A little over visible_ms and 2 s after the last was accepted.
	time.Sleep(5300 * time.Millisecond)
	runs := w.runsByJob()
	waiting := 0
	for i := range more {
		if runs[fmt.Sprintf("00000000000000b%d", i)] == 0 {
			waiting++
		}
	}
	for _, nd := range w.nodes {
		status, text := w.call(nd, http.MethodGet, "/keep/", "")
		w.note("GET /keep/ at %s -> %d %s; %d accepted jobs have not begun", nd.name, status, text, waiting)
		var v struct {
			QueueDepth int `json:"queueDepth"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &v) == nil && 2*v.QueueDepth < waiting {
			w.breaks("MIXED: %s gives %d as queueDepth, %d jobs were accepted over 5 s ago and have not begun", nd.name, v.QueueDepth, waiting)
		}
	}
	return nil
}

// rollGap is the time between two restarts.
const rollGap = 2 * time.Second

// playRolling hands in a job of 120 small tasks, which start on one executor. That one crashes
// half a second later, and the nodes are restarted in turn, twice, as in an upgrade that is
// taken back.
func playRolling(w *world) error {
	const nodes, tasks = 9, 120
	w.works = workFromSpec
	w.putConfig(7, []string{"grabado"}, route{name: "plan", prefix: "/plan/", service: "grabado", attempts: 2})
	if err := w.addExecutors("grabado", 8, 64000, 131072); err != nil {
		return err
	}
	if err := w.addNodes(nodes); err != nil {
		return err
	}
	if err := w.awaitOwner(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	path := "/plan/00000000000000a1"
	if !w.submit(path, fmt.Sprintf(`{"spec":"2500ms","steps":[{"count":%d,"cpu":500,"memMb":512,"estMs":2500}]}`, tasks)) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		// With TROUBLE=restarts no executor crashes.
		if x := w.busiest(); os.Getenv("TROUBLE") != "restarts" {
			x.crash()
			go func() {
				time.Sleep(4500 * time.Millisecond)
				_ = x.start()
			}()
		}
		time.Sleep(800 * time.Millisecond)
		isOver := func() bool {
			s := w.state(w.nodes[0], path)
			return s == "succeeded" || s == "failed"
		}
		w.restartInTurn(rollGap, isOver)
		w.restartInTurn(rollGap, isOver)
	}
	for range 400 {
		s := w.state(w.nodes[0], path)
		if s == "succeeded" || s == "failed" {
			w.note("GET %s -> %s", path, s)
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.mu.Lock()
	hows := map[string]int{}
	for _, r := range w.runs {
		hows[r.how]++
	}
	w.mu.Unlock()
	w.note("runs by their end: %v", hows)
	if w.state(w.nodes[0], path) == "failed" && hows["failed"] == 0 {
		w.breaks("LOST: the job is shown as failed, and no run has ended failed: %v", hows)
	}
	return nil
}

// busiest returns the executor with the most runs.
func (w *world) busiest() *executor {
	var found *executor
	most := -1
	for _, x := range w.executors {
		x.mu.Lock()
		n := len(x.active)
		x.mu.Unlock()
		if n > most {
			found, most = x, n
		}
	}
	return found
}

// restartInTurn gives SIGTERM to each node once, to the owner if it had none yet, and starts it
// again when it has ended. It stops once isOver.
func (w *world) restartInTurn(gap time.Duration, isOver func() bool) {
	done := map[*node]bool{}
	for range w.nodes {
		if isOver() {
			return
		}
		nd := w.owner()
		if nd == nil || done[nd] {
			for _, o := range w.nodes {
				if !done[o] {
					nd = o
					break
				}
			}
		}
		done[nd] = true
		owner := "none"
		if o := w.owner(); o != nil {
			owner = o.name
		}
		w.note("node %s gets SIGTERM, the owner is %s", nd.name, owner)
		_ = nd.cmd.Process.Signal(syscall.SIGTERM)
		ended := nd.cmd
		go func() {
			_ = ended.Wait()
			_ = w.startNode(nd)
		}()
		time.Sleep(gap)
	}
}
