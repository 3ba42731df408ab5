package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Trials on entries of the list of known failures and on open issues.
func init() {
	cases["failedstep"] = playFailedStep
	cases["odd"] = playOddEntries
	cases["silent"] = playSilent
}

// playFailedStep hands in a job with a step that lasts and one whose tasks fail.
func playFailedStep(w *world) error {
	if err := w.beginWith(8, 64000, route{name: "keep", prefix: "/keep/", service: "grabado", attempts: 2}); err != nil {
		return err
	}
	w.works = func(task, spec string) work {
		if strings.HasSuffix(stepOf(task), ".1") {
			return work{duration: 3 * time.Second, fails: w.trouble}
		}
		return work{lasts: true}
	}
	time.Sleep(time.Second)
	path := "/keep/00000000000000a1"
	if !w.submit(path, `{"spec":"x","steps":[{"count":6,"cpu":2000,"memMb":512,"longRunning":true,"mayMiss":1},{"count":1,"cpu":1000,"memMb":512,"estMs":3000}]}`) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(12 * time.Second)
	w.note("GET %s -> %s", path, w.state(w.nodes[0], path))
	w.mu.Lock()
	stopped := 0
	for _, r := range w.runs {
		if strings.HasSuffix(stepOf(r.task), ".0") && r.how == "stopped" {
			stopped++
		}
	}
	w.mu.Unlock()
	if stopped > 1 {
		w.breaks("AVAIL: %d tasks at work of a step with mayMiss 1 were stopped", stopped)
	}
	return nil
}

// playOddEntries writes odd entries among those of the executors while jobs run.
func playOddEntries(w *world) error {
	if err := w.beginWith(4, 64000, route{name: "plan", prefix: "/plan/", service: "grabado", attempts: 2}); err != nil {
		return err
	}
	raw := func(key, value string) {
		w.store.mu.Lock()
		w.store.revision++
		w.store.putLocked(key, []byte(value), 0)
		w.store.notifyLocked()
		w.store.mu.Unlock()
	}
	good := `{"service":"grabado","address":"%s","zone":"norte-a","version":"v1","capacity":8,"state":"ready","coldMs":0,"room":{"cpu":%s,"memMb":32768,"gpu":0},"labels":%s,"clockMs":1,"seq":1,"born":1}`
	for i := range 3 {
		raw(fmt.Sprintf("servers/odd-%d-a", i), strings.Repeat("[", 200000)+strings.Repeat("]", 200000))
		raw(fmt.Sprintf("servers/odd-%d-b", i), fmt.Sprintf(good, "127.0.0.1:99999", "1000", `["a","r-1"]`))
		raw(fmt.Sprintf("servers/odd-%d-c", i), fmt.Sprintf(good, "127.0.0.1:9", "1e400", `["a","r-1"]`))
		raw(fmt.Sprintf("servers/odd-%d-d", i), fmt.Sprintf(good, "127.0.0.1:9", "9223372036854775807", `["a","r-1"]`))
		raw(fmt.Sprintf("servers/odd-%d-e", i), fmt.Sprintf(good, "127.0.0.1:9", "1000", strings.Repeat(`{"a":`, 9000)+"1"+strings.Repeat("}", 9000)))
		raw(fmt.Sprintf("servers/odd-%d-f", i), "\xff\xfe\x00")
		raw(fmt.Sprintf("servers/odd-%d-g", i), `{"service":4,"room":[]}`)
		raw(fmt.Sprintf("servers/odd-%d-h", i), fmt.Sprintf(good, "127.0.0.1:9", "-5", `["a"]`))
		raw("servers/", "{}")
		if i == 1 {
			w.killNode(w.owner())
		}
		time.Sleep(3 * time.Second)
		path := fmt.Sprintf("/plan/00000000000000a%d", i)
		if !w.submit(path, `{"spec":"500ms","steps":[{"count":6,"cpu":2000,"memMb":512,"estMs":500}]}`) {
			w.breaks("LOST: no job was accepted beside odd entries")
			return nil
		}
		time.Sleep(4 * time.Second)
		live := 0
		for _, nd := range w.nodes {
			if s := w.state(nd, path); s == "succeeded" {
				live++
			}
		}
		w.note("%d nodes show %s as succeeded", live, path)
		if live < 2 {
			w.breaks("LOST: %d nodes show %s as succeeded", live, path)
		}
	}
	return nil
}

// playSilent lets all open connections to the store and the executors fall silent again and
// again, and asks for routes that were added, and for jobs.
func playSilent(w *world) error {
	w.works = workFromSpec
	routes := []route{{name: "plan", prefix: "/plan/", service: "grabado", attempts: 2}}
	version := 7
	w.putConfig(version, []string{"grabado"}, routes...)
	if err := w.addExecutors("grabado", 8, 64000, 131072); err != nil {
		return err
	}
	if err := w.addNodes(5); err != nil {
		return err
	}
	if err := w.awaitOwner(); err != nil {
		return err
	}
	for i := range 12 {
		if w.trouble {
			w.note("all open connections fall silent")
			w.storeAt.silence()
			w.cloudAt.silence()
			for _, x := range w.executors {
				x.server.silence()
			}
		}
		time.Sleep(3200 * time.Millisecond)
		version += 3
		name := fmt.Sprintf("/new%d/", i)
		routes = append(routes, route{name: "new" + fmt.Sprint(i), prefix: name, service: "grabado", attempts: 2})
		w.putConfig(version, []string{"grabado"}, routes...)
		time.Sleep(2050 * time.Millisecond)
		for _, nd := range w.nodes {
			if status, text := w.call(nd, http.MethodGet, name, ""); status == 404 || status == 401 {
				w.breaks("CONFIG: GET %s at %s -> %d %s, 2 s after its acknowledgement", name, nd.name, status, text)
			}
		}
		path := fmt.Sprintf("%s%016x", name, i+1)
		if !w.submit(path, `{"spec":"500ms","steps":[{"count":6,"cpu":2000,"memMb":512,"estMs":500}]}`) {
			w.breaks("LOST: a job was not accepted in 12 tries")
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	for i := range 12 {
		if s := w.state(w.nodes[0], fmt.Sprintf("/new%d/%016x", i, i+1)); s != "succeeded" {
			w.breaks("LOST: job %d is shown as %s", i, s)
		}
	}
	w.judgeTwice()
	return nil
}
