package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = playSoak }

type soakJob struct {
	id       string
	body     string
	steps    []map[string]any
	times    int
	lasts    bool
	accepted time.Time
	cancel   time.Time
	tries    int
	rejected int
	final    string
}

// playSoak plays random load and disruptions, and judges several rules.
func playSoak(w *world) error {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewSource(seed))
	w.works = workFromSpec
	w.putConfig(7, []string{"grabado", "sello"}, route{name: "plan", prefix: "/plan/", service: "grabado", attempts: 2}, route{name: "keep", prefix: "/keep/", service: "sello", attempts: 4})
	if os.Getenv("LARGE") != "" {
		var err error
		w.ticketsToLast = true
		w.advisor = newAdvisor(w, 10*time.Millisecond, 2*time.Millisecond, 3*time.Second)
		if w.adviceAt, err = serve("", w.advisor); err != nil {
			return err
		}
		w.putConfig(8, []string{"grabado", "sello"}, route{name: "plan", prefix: "/plan/", service: "grabado", attempts: 2}, route{name: "keep", prefix: "/keep/", service: "sello", attempts: 4, advice: map[string]int64{"decideMs": 10, "eachMs": 2, "validMs": 3000}})
	}
	if err := w.addExecutors("grabado", 8, 64000, 131072); err != nil {
		return err
	}
	if err := w.addExecutors("sello", 6, 64000, 131072); err != nil {
		return err
	}
	if err := w.addNodes(4); err != nil {
		return err
	}
	if err := w.awaitOwner(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	jobs := []*soakJob{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	newJob := func(r *rand.Rand, n int) (*soakJob, string) {
		j := &soakJob{id: fmt.Sprintf("%08x%08x", seed, n)}
		prefix := "/plan/"
		kind := r.Intn(10)
		ms := 200 + r.Intn(2500)
		body := map[string]any{"spec": fmt.Sprintf("%dms", ms)}
		one := func(count int, after []int) map[string]any {
			m := map[string]any{"count": count, "cpu": 1000 + r.Intn(6000), "memMb": 512, "estMs": ms}
			if after != nil {
				m["after"] = after
			}
			if r.Intn(3) == 0 {
				m["checkpointing"] = true
			}
			return m
		}
		switch {
		case kind < 5:
			j.steps = []map[string]any{one(1+r.Intn(8), nil)}
			if r.Intn(2) == 0 {
				j.steps = append(j.steps, one(1+r.Intn(8), []int{0}))
			}
		case kind < 6 && os.Getenv("LARGE") != "":
			m := one(260+r.Intn(700), nil)
			m["cpu"] = 20
			j.steps = []map[string]any{m}
			if r.Intn(2) == 0 {
				j.steps = append(j.steps, one(1+r.Intn(8), []int{0}))
			}
			if r.Intn(3) == 0 {
				m["count"] = 1 + r.Intn(3)
				j.times = 100 + r.Intn(300)
				body["times"], body["startMs"], body["intervalMs"] = j.times, time.Now().UnixMilli(), 20+r.Intn(60)
			}
		case kind < 7:
			c := 2 + r.Intn(4)
			m := one(c, nil)
			m["gang"] = true
			body["spec"] = fmt.Sprintf("%dms gang=%d", ms, c)
			j.steps = []map[string]any{m}
		case kind < 8:
			j.steps = []map[string]any{one(1+r.Intn(3), nil)}
			j.times = 2 + r.Intn(4)
			body["times"], body["startMs"], body["intervalMs"] = j.times, time.Now().UnixMilli()+int64(r.Intn(4000)), 500+r.Intn(3000)
		default:
			prefix = "/keep/"
			body["spec"] = "lasts"
			m := one(1+r.Intn(4), nil)
			m["longRunning"], m["maxPerServer"] = true, 2
			j.steps, j.lasts = []map[string]any{m}, true
		}
		body["steps"] = j.steps
		data, _ := json.Marshal(body)
		j.body = string(data)
		return j, prefix
	}
	lasting := 0
	client := func(r *rand.Rand, base int) {
		defer wg.Done()
		for n := base; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			j, prefix := newJob(r, n)
			mu.Lock()
			if j.lasts {
				if lasting > 12 {
					mu.Unlock()
					continue
				}
				lasting++
			}
			jobs = append(jobs, j)
			mu.Unlock()
			for try := 0; try < 5; try++ {
				nd := w.nodes[r.Intn(len(w.nodes))]
				status, _ := w.call(nd, http.MethodPost, prefix+j.id, j.body)
				mu.Lock()
				j.tries++
				if status == 429 || status == 503 {
					j.rejected++
				}
				if status/100 == 2 {
					j.accepted = time.Now()
				}
				mu.Unlock()
				w.note("POST %s at %s -> %d", j.id, nd.name, status)
				if status/100 == 2 {
					break
				}
				time.Sleep(time.Duration(200+r.Intn(500)) * time.Millisecond)
			}
			if !j.accepted.IsZero() && r.Intn(10) == 0 {
				time.Sleep(time.Duration(r.Intn(1500)) * time.Millisecond)
				for range 6 {
					nd := w.nodes[r.Intn(len(w.nodes))]
					status, _ := w.call(nd, http.MethodDelete, prefix+j.id, "")
					w.note("DELETE %s at %s -> %d", j.id, nd.name, status)
					mu.Lock()
					if j.cancel.IsZero() {
						j.cancel = time.Now()
					}
					mu.Unlock()
					if status/100 == 2 || status == 410 {
						break
					}
					time.Sleep(300 * time.Millisecond)
				}
			}
			time.Sleep(time.Duration(50+r.Intn(500)) * time.Millisecond)
		}
	}
	for i := range 4 {
		wg.Add(1)
		go client(rand.New(rand.NewSource(seed*100+int64(i))), i*100000)
	}
	// Disruptions.
	ms := func(lo, hi int) time.Duration { return time.Duration(lo+rnd.Intn(hi-lo)) * time.Millisecond }
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	if kinds[0] == "" {
		kinds = []string{"crash", "crash", "cut", "kill", "freeze", "down", "slow", "term", "late", "late", "storelost"}
	}
	end := time.Now().Add(50 * time.Second)
	var back sync.WaitGroup
	busyNode := map[*node]bool{}
	busyExec := map[*executor]bool{}
	var bmu sync.Mutex
	for time.Now().Before(end) && w.trouble {
		switch kinds[rnd.Intn(len(kinds))] {
		case "crash", "cut":
			x := w.executors[rnd.Intn(len(w.executors))]
			bmu.Lock()
			busy := busyExec[x]
			busyExec[x] = true
			bmu.Unlock()
			if busy {
				continue
			}
			isCut, d, reg := rnd.Intn(3) == 0, ms(100, 5500), ms(0, 1500)
			back.Add(1)
			go func() {
				defer back.Done()
				if isCut {
					x.setCut(true)
					time.Sleep(d)
					x.setCut(false)
				} else {
					x.mu.Lock()
					x.registerDelay = reg
					x.mu.Unlock()
					x.crash()
					time.Sleep(d)
					_ = x.start()
				}
				time.Sleep(7 * time.Second)
				bmu.Lock()
				busyExec[x] = false
				bmu.Unlock()
			}()
		case "kill", "freeze", "term":
			nd := w.nodes[rnd.Intn(len(w.nodes))]
			if rnd.Intn(2) == 0 {
				if o := w.owner(); o != nil {
					nd = o
				}
			}
			bmu.Lock()
			busy := busyNode[nd]
			busyNode[nd] = true
			bmu.Unlock()
			if busy {
				continue
			}
			how, d := rnd.Intn(3), ms(300, 4000)
			back.Add(1)
			go func() {
				defer back.Done()
				switch how {
				case 0:
					w.killNode(nd)
					time.Sleep(d)
					_ = w.startNode(nd)
				case 1:
					w.note("node %s freezes", nd.name)
					_ = nd.cmd.Process.Signal(syscall.SIGSTOP)
					time.Sleep(d)
					_ = nd.cmd.Process.Signal(syscall.SIGCONT)
					w.note("node %s wakes", nd.name)
				case 2:
					w.note("node %s gets SIGTERM", nd.name)
					_ = nd.cmd.Process.Signal(syscall.SIGTERM)
					_ = nd.cmd.Wait()
					_ = w.startNode(nd)
				}
				time.Sleep(3 * time.Second)
				bmu.Lock()
				busyNode[nd] = false
				bmu.Unlock()
			}()
		case "down":
			d := ms(500, 4500)
			w.note("the store is down")
			w.storeAt.setCut(true)
			time.Sleep(d)
			w.storeAt.setCut(false)
			w.note("the store is back")
		case "late", "lost":
			late, holds := rnd.Intn(2) == 0, rnd.Intn(2) == 0
			w.faultMu.Lock()
			if late {
				w.lateShare = 0.055
			} else {
				w.lostShare = 0.025
			}
			w.lateHolds = holds
			w.faultMu.Unlock()
			w.note("orders are late %v, answers are lost %v, renewals too %v", late, !late, holds)
			time.Sleep(5500 * time.Millisecond)
			w.faultMu.Lock()
			w.lateShare, w.lostShare = 0, 0
			w.faultMu.Unlock()
		case "storelost":
			late := rnd.Intn(2) == 0
			w.note("the store loses answers, late %v", late)
			w.store.mu.Lock()
			w.store.lostShare, w.store.late = 0.35, late
			w.store.mu.Unlock()
			time.Sleep(4500 * time.Millisecond)
			w.store.mu.Lock()
			w.store.lostShare = 0
			w.store.mu.Unlock()
		case "silence":
			w.note("all open connections to the store and the executors fall silent")
			w.storeAt.silence()
			w.cloudAt.silence()
			for _, x := range w.executors {
				x.mu.Lock()
				s := x.server
				x.mu.Unlock()
				s.silence()
			}
			time.Sleep(2 * time.Second)
		case "slow":
			w.note("the store is slow")
			w.store.mu.Lock()
			w.store.delay = 240 * time.Millisecond
			w.store.mu.Unlock()
			time.Sleep(ms(500, 4500))
			w.store.mu.Lock()
			w.store.delay = storeDelay
			w.store.mu.Unlock()
			w.note("the store is fast again")
		}
		time.Sleep(ms(500, 4000))
	}
	if !w.trouble {
		time.Sleep(time.Until(end))
	}
	close(stop)
	wg.Wait()
	back.Wait()
	w.note("no more jobs")
	prefixOf := func(j *soakJob) string {
		if j.lasts {
			return "/keep/"
		}
		return "/plan/"
	}
	time.Sleep(16 * time.Second)
	for _, j := range jobs {
		if j.accepted.IsZero() {
			continue
		}
		for range 5 {
			j.final = w.state(w.nodes[0], prefixOf(j)+j.id)
			if j.final != "0" && j.final != "503" {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	for i, nd := range w.nodes {
		data, _ := os.ReadFile(nd.log.Name())
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, `"event":739`) || strings.Contains(line, "goroutine ") {
				w.breaks("crash: node %d: %.400s", i, line)
				break
			}
		}
	}
	w.judgeTwice()
	w.judgeSoak(jobs)
	return nil
}

// judgeSoak judges what became of the jobs.
func (w *world) judgeSoak(jobs []*soakJob) {
	w.mu.Lock()
	runs := append([]*runRecord(nil), w.runs...)
	w.mu.Unlock()
	byTask := map[string][]*runRecord{}
	for _, r := range runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	known := map[string]*soakJob{}
	states := map[string]int{}
	for _, j := range jobs {
		known[j.id] = j
		if !j.accepted.IsZero() {
			states[j.final]++
		}
		if j.tries > 0 && j.rejected == j.tries {
			for _, r := range runs {
				if jobOf(r.task) == j.id {
					w.breaks("REFUSED: %s was rejected %d times and runs", j.id, j.tries)
					break
				}
			}
		}
		if j.accepted.IsZero() {
			continue
		}
		switch {
		case j.final == "410" || j.final == "0" || j.final == "503" || j.final == "504":
			w.breaks("LOST: accepted job %s is answered %s", j.id, j.final)
		case j.final == "cancelled" && j.cancel.IsZero():
			w.breaks("LOST: job %s is cancelled though nobody cancelled it", j.id)
		case j.final == "failed":
			w.breaks("LOST: job %s is shown as failed", j.id)
		case !j.lasts && (j.final == "running" || j.final == "pending"):
			w.breaks("LOST: job %s is still %s: %s", j.id, j.final, j.body)
		}
		for k := range max(j.times, 1) {
			for si, s := range j.steps {
				for i := range s["count"].(int) {
					task := fmt.Sprintf("%s.%d.%d.%d", j.id, k, si, i)
					done, active := false, false
					for _, r := range byTask[task] {
						done = done || r.how == "done"
						active = active || r.how == ""
					}
					if j.final == "succeeded" && !done && s["gang"] == nil {
						w.breaks("MIXED: %s succeeded without task %s", j.id, task)
					}
					if j.lasts && j.cancel.IsZero() && !active {
						w.breaks("LOST: lasting task %s does not run", task)
					}
					if !j.cancel.IsZero() && active {
						w.breaks("UNASKED: task %s of a cancelled job runs", task)
					}
				}
			}
		}
	}
	for t, list := range byTask {
		if known[jobOf(t)] == nil {
			w.breaks("UNASKED: %s", t)
		}
		for i, a := range list {
			for _, b := range list[i+1:] {
				if a.how == "done" && b.began.After(a.ended) && !a.acked.IsZero() && !a.x.lapsedBetween(a.life, a.ended, a.acked) {
					w.breaks("TWICE: task %s run %d on %s was done at %.3f, noted at %.3f, and run %d starts on %s at %.3f", t, a.number, a.x.id, a.ended.Sub(w.began).Seconds(), a.acked.Sub(w.began).Seconds(), b.number, b.x.id, b.began.Sub(w.began).Seconds())
				}
			}
		}
	}
	w.note("jobs: %d, states %v, runs %d", len(jobs), states, len(runs))
	fmt.Println("jobs", len(jobs), "states", states, "runs", len(runs))
}
