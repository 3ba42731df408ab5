package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the settings file.
const (
	holdMaxMs   = 6000
	stopMs      = 900
	heartbeatMs = 1500
	endsAtATime = 500
)

// work is what the text of a job tells the executor to do for each of its tasks.
type work struct {
	// Ms is how long a task takes.
	Ms int64 `json:"ms"`
	// Fail is how many of its runs fail at their end before one is done.
	Fail int `json:"fail"`
	// Lasts means that a task runs until it is stopped, and is at work after a short start.
	Lasts bool `json:"lasts"`
}

type activeRun struct {
	task    string
	run     int
	began   time.Time
	takes   time.Duration
	timer   *time.Timer
	stopped bool
	lasts   bool
	started *startRecord
}

// startUp is how long a task that lasts takes until it is at work.
const startUp = 500 * time.Millisecond

type endRow struct {
	n    int64
	task string
	run  int
	how  string
	rec  *startRecord
}

// startRecord is one run as its executor saw it.
type startRecord struct {
	task     string
	run      int
	executor string
	token    int64
	at       time.Time
	endedAt  time.Time
	how      string
	lasts    bool
	// stopAt is when a stop order arrived for it.
	stopAt time.Time
	// noted is when the end was taken note of: ackSeq reached it, and the lease did not
	// lapse between the two.
	noted time.Time
}

// judge collects all runs of all executors.
type judge struct {
	mu   sync.Mutex
	runs []*startRecord
	// failedRuns counts the failed ends of each task, on all executors.
	failed map[string]int
}

func (j *judge) start(r *startRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
}

// executor is one worker with its own steady clock.
type executor struct {
	id, zone, service, rack, machine string
	cpu, mem                         int64
	address                          string
	judge                            *judge
	store                            *store
	server                           *http.Server
	listener                         net.Listener

	mu       sync.Mutex
	born     time.Time
	token    int64
	deadline int64
	active   map[string]*activeRun
	highest  map[string]int
	ended    []endRow
	nextEnd  int64
	seq      int64
	// lapsed is true while the lease has expired, the last time at lapsedAt.
	lapsed   bool
	lapsedAt time.Time
	changed  chan struct{}
	dead     bool
}

func newExecutor(id, service, zone, rack, machine string, j *judge, s *store) (*executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &executor{
		id: id, service: service, zone: zone, rack: rack, machine: machine, cpu: 64000, mem: 131072,
		address: l.Addr().String(), judge: j, store: s, born: time.Now().Add(-time.Second),
		active: map[string]*activeRun{}, highest: map[string]int{}, changed: make(chan struct{}), listener: l,
	}
	x.server = &http.Server{Handler: x}
	go x.server.Serve(l)
	go x.beat()
	go x.watchLease()
	return x, nil
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() }

// beat writes the executor's entry from time to time.
func (x *executor) beat() {
	for {
		x.mu.Lock()
		if x.dead {
			x.mu.Unlock()
			return
		}
		x.seq++
		entry := map[string]any{
			"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "capacity": 8, "state": "ready", "coldMs": 0,
			"room": map[string]int64{"cpu": x.cpu, "memMb": x.mem, "gpu": 0}, "labels": []string{"a", x.rack},
			"clockMs": x.clock(), "seq": x.seq, "born": x.born.UnixMilli(),
		}
		x.mu.Unlock()
		x.store.put("servers/"+x.id, entry)
		time.Sleep(heartbeatMs * time.Millisecond)
	}
}

// watchLease ends everything once the lease of the runs has expired.
func (x *executor) watchLease() {
	for {
		time.Sleep(5 * time.Millisecond)
		x.mu.Lock()
		if x.dead {
			x.mu.Unlock()
			return
		}
		if x.deadline > 0 && x.clock() > x.deadline && !x.lapsed {
			x.lapsed, x.lapsedAt = true, time.Now()
		}
		if x.lapsed {
			for _, key := range x.activeKeys() {
				x.finish(x.active[key], "lapsed")
			}
		}
		x.mu.Unlock()
	}
}

// crash ends the executor at once: it answers nothing and runs nothing. Its entry is removed
// after three intervals of silence. It returns how many runs were lost.
func (x *executor) crash() int {
	x.mu.Lock()
	x.dead = true
	lost := len(x.active)
	x.judge.mu.Lock()
	for key, r := range x.active {
		r.timer.Stop()
		r.started.endedAt, r.started.how = time.Now(), "lost with its executor"
		delete(x.active, key)
	}
	x.judge.mu.Unlock()
	x.mu.Unlock()
	x.server.Close()
	time.AfterFunc(3*heartbeatMs*time.Millisecond, func() { x.store.delete("servers/" + x.id) })
	return lost
}

func (x *executor) activeKeys() []string {
	var keys []string
	for k := range x.active {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// finish ends a run; x.mu is held.
func (x *executor) finish(r *activeRun, how string) {
	key := fmt.Sprintf("%s#%d", r.task, r.run)
	if x.active[key] != r || x.dead {
		return
	}
	delete(x.active, key)
	r.timer.Stop()
	x.nextEnd++
	x.ended = append(x.ended, endRow{x.nextEnd, r.task, r.run, how, r.started})
	x.highest[r.task] = max(x.highest[r.task], r.run)
	x.judge.mu.Lock()
	r.started.endedAt, r.started.how = time.Now(), how
	x.judge.mu.Unlock()
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		w.Header().Set("X-Instance-Id", x.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != x.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": x.clock()})
		return
	}
	var q struct {
		Task         string `json:"task"`
		Run          int    `json:"run"`
		Spec         string `json:"spec"`
		DeadlineMs   int64  `json:"deadlineMs"`
		FencingToken int64  `json:"fencingToken"`
		AckSeq       int64  `json:"ackSeq"`
		WaitMs       int64  `json:"waitMs"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	x.mu.Lock()
	if q.FencingToken < x.token {
		x.refuse(w, "fence")
		return
	}
	x.token = q.FencingToken
	switch r.URL.Path {
	case "/run-start":
		x.start(w, q.Task, q.Run, q.Spec, q.DeadlineMs)
	case "/run-stop":
		x.stop(q.Task, q.Run)
		answer := map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli()}
		x.mu.Unlock()
		reply(w, http.StatusOK, answer)
	case "/pace":
		answer := map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli()}
		x.mu.Unlock()
		reply(w, http.StatusOK, answer)
	case "/hold":
		x.hold(w, r, q.DeadlineMs, q.AckSeq, q.WaitMs)
	default:
		x.mu.Unlock()
		reply(w, http.StatusBadRequest, nil)
	}
}

// refuse answers a call with a reason, and releases x.mu.
func (x *executor) refuse(w http.ResponseWriter, reason string) {
	answer := map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli(), "reason": reason}
	x.mu.Unlock()
	reply(w, http.StatusConflict, answer)
}

// extend takes a deadline, which never shortens the present one.
func (x *executor) extend(deadline int64) {
	x.deadline = max(x.deadline, min(deadline, x.clock()+holdMaxMs))
	x.lapsed = x.lapsed && x.clock() > x.deadline
}

func (x *executor) start(w http.ResponseWriter, task string, run int, spec string, deadline int64) {
	key := fmt.Sprintf("%s#%d", task, run)
	answer := map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli()}
	switch {
	case x.active[key] != nil:
		x.extend(deadline)
		x.mu.Unlock()
		reply(w, http.StatusOK, answer)
		return
	case run <= x.highest[task]:
		x.extend(deadline)
		x.refuse(w, "old")
		return
	case deadline <= x.clock():
		x.refuse(w, "late")
		return
	}
	x.extend(deadline)
	var todo work
	_ = json.Unmarshal([]byte(spec), &todo)
	x.judge.mu.Lock()
	how := "done"
	if x.judge.failed[task] < todo.Fail {
		how = "failed"
		x.judge.failed[task]++
	}
	x.judge.mu.Unlock()
	rec := &startRecord{task: task, run: run, executor: x.id, token: x.token, at: time.Now(), lasts: todo.Lasts}
	x.judge.start(rec)
	r := &activeRun{task: task, run: run, began: time.Now(), takes: time.Duration(todo.Ms) * time.Millisecond, lasts: todo.Lasts, started: rec}
	if r.lasts {
		r.takes = time.Hour
	}
	x.active[key] = r
	r.timer = time.AfterFunc(r.takes, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.finish(r, how)
	})
	x.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (x *executor) stop(task string, run int) {
	x.highest[task] = max(x.highest[task], run)
	for _, r := range x.active {
		if r.task == task && r.run <= run && !r.stopped {
			r.stopped = true
			r.timer.Stop()
			x.judge.mu.Lock()
			r.started.stopAt = time.Now()
			x.judge.mu.Unlock()
			run := r
			r.timer = time.AfterFunc(stopMs*time.Millisecond/3, func() {
				x.mu.Lock()
				defer x.mu.Unlock()
				x.finish(run, "stopped")
			})
		}
	}
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request, deadline, ack, wait int64) {
	x.extend(deadline)
	kept := x.ended[:0:0]
	for _, e := range x.ended {
		if e.n > ack {
			kept = append(kept, e)
			continue
		}
		x.judge.mu.Lock()
		if e.rec.noted.IsZero() && !x.lapsedAt.After(e.rec.endedAt) {
			e.rec.noted = time.Now()
		}
		x.judge.mu.Unlock()
	}
	x.ended = kept
	if len(x.ended) == 0 && wait > 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		x.mu.Lock()
	}
	active, ended := [][]any{}, [][]any{}
	for _, key := range x.activeKeys() {
		a := x.active[key]
		percent := 100
		switch {
		case a.lasts && time.Since(a.began) < startUp:
			percent = int(99 * time.Since(a.began) / startUp)
		case !a.lasts && a.takes > 0:
			percent = int(min(100*time.Since(a.began)/a.takes, 99))
		}
		active = append(active, []any{a.task, a.run, "", percent, 0})
	}
	for _, e := range x.ended[:min(len(x.ended), endsAtATime)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	answer := map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli(), "activeTasks": active, "ended": ended}
	x.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

// unacked returns how many ends wait to be taken note of.
func (x *executor) unacked() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.ended)
}

// cloud is the platform's interface for machines.
type cloud struct {
	mu        sync.Mutex
	executors []*executor
	address   string
}

func newCloud() (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{address: l.Addr().String()}
	go http.Serve(l, c)
	return c, nil
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || !strings.HasPrefix(r.URL.Path, "/machines") {
		// No case needs a move or an upkeep.
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []map[string]any{}
	for _, x := range c.executors {
		x.mu.Lock()
		state, id := "up", any(x.id)
		if x.dead {
			state, id = "down", nil
		}
		x.mu.Unlock()
		list = append(list, map[string]any{
			"machine": x.machine, "pool": x.service, "state": state, "zone": x.zone, "labels": []string{"a", x.rack},
			"room": map[string]int64{"cpu": x.cpu, "memMb": x.mem, "gpu": 0}, "id": id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
}
