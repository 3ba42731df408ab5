package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, those of sellocant-jw.
const (
	holdMax   = 6000 * time.Millisecond
	stopTime  = 200 * time.Millisecond
	gangWait  = 3000 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
	maxEnds   = 500
	saveEvery = time.Second
)

// run is a run of a task on an executor.
type run struct {
	task      string
	number    int
	saved     string
	percent   int
	pace      int
	began     time.Time
	work      time.Duration
	done      time.Duration
	advanced  time.Time
	fails     bool
	lasts     bool
	gang      int
	working   bool
	stopping  bool
	record    *runRecord
	stopTimer *time.Timer
}

// ended is the end of a run.
type ended struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// work describes what a run of a task does.
type work struct {
	duration time.Duration
	lasts    bool
	fails    bool
	// gang is how many tasks work together, zero for one that works alone.
	gang int
}

// executor is a server that runs tasks. Its machine may crash and start again under its id.
type executor struct {
	w       *world
	id      string
	machine string
	pool    string
	zone    string
	rack    string
	cpu     int64
	mem     int64
	server  *server

	mu       sync.Mutex
	up       bool
	life     int
	born     time.Time
	clock0   time.Time
	token    int64
	leaseEnd time.Time
	active   map[string]*run
	ends     []ended
	endCount int64
	acked    int64
	highest  map[string]int
	changed  chan struct{}
	seq      int
	// grey executors fail all that they start.
	grey bool
	// unhealthy executors answer orders to start with 503 and do nothing.
	unhealthy bool
	// cutOff is set while the executor reaches nobody.
	cutOff bool
	// lapses holds when leases lapsed, by life.
	lapses map[int][]time.Time
	// registerDelay is how long after its start an executor first writes its entry.
	registerDelay time.Duration
}

func (x *executor) clockMs() int64 { return time.Since(x.clock0).Milliseconds() + 1 }

// start begins a life of the executor.
func (x *executor) start() error {
	x.mu.Lock()
	x.up, x.life = true, x.life+1
	x.born, x.clock0 = time.Now(), time.Now()
	x.token, x.leaseEnd, x.endCount, x.acked, x.seq = 0, time.Time{}, 0, 0, 0
	x.active, x.highest, x.ends = map[string]*run{}, map[string]int{}, nil
	x.changed = make(chan struct{})
	life, at, delay := x.life, "", x.registerDelay
	if x.server != nil {
		at = x.server.address
	}
	x.mu.Unlock()
	s, err := serve(at, x)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.server = s
	x.mu.Unlock()
	x.w.note("executor %s starts, life %d, address %s", x.id, life, s.address)
	go x.live(life, delay)
	return nil
}

// crash ends the life of the executor.
func (x *executor) crash() {
	x.mu.Lock()
	x.up = false
	now := time.Now()
	for _, r := range x.active {
		r.record.close(now, "crashed")
	}
	x.active = map[string]*run{}
	s := x.server
	close(x.changed)
	x.changed = make(chan struct{})
	x.mu.Unlock()
	s.close()
	x.w.note("executor %s crashes", x.id)
}

// setCut cuts the executor off from everything, or heals the cut.
func (x *executor) setCut(cut bool) {
	x.mu.Lock()
	x.cutOff = cut
	s := x.server
	x.mu.Unlock()
	s.setCut(cut)
	x.w.note("executor %s cut off: %v", x.id, cut)
}

// live lets runs progress and writes the executor's entry until the life ends.
func (x *executor) live(life int, registerDelay time.Duration) {
	beatAt := time.Now().Add(registerDelay)
	for {
		x.mu.Lock()
		if x.life != life || !x.up {
			x.mu.Unlock()
			return
		}
		x.advanceLocked()
		beat := !time.Now().Before(beatAt) && !x.cutOff
		var entry map[string]any
		if beat {
			x.seq++
			entry = x.entryLocked()
		}
		x.mu.Unlock()
		if beat {
			x.w.store.put("servers/"+x.id, entry)
			beatAt = time.Now().Add(heartbeat)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (x *executor) entryLocked() map[string]any {
	return map[string]any{
		"service": x.pool, "address": x.server.address, "zone": x.zone, "version": "v1", "capacity": 8,
		"state": "ready", "coldMs": 0, "room": map[string]int64{"cpu": x.cpu, "memMb": x.mem, "gpu": 0},
		"labels": []string{"a", x.rack}, "clockMs": x.clockMs(), "seq": x.seq, "born": x.born.UnixMilli(),
	}
}

// advanceLocked lets all runs progress, and ends those whose time has come.
func (x *executor) advanceLocked() {
	now := time.Now()
	if !x.leaseEnd.IsZero() && now.After(x.leaseEnd) {
		if x.lapses == nil {
			x.lapses = map[int][]time.Time{}
		}
		if n := len(x.lapses[x.life]); n == 0 || !x.lapses[x.life][n-1].Equal(x.leaseEnd) {
			x.lapses[x.life] = append(x.lapses[x.life], x.leaseEnd)
		}
	}
	if len(x.active) > 0 && now.After(x.leaseEnd) {
		for _, r := range x.sortedLocked() {
			x.endLocked(r, "lapsed")
		}
		return
	}
	for _, r := range x.sortedLocked() {
		if r.stopping {
			continue
		}
		if r.gang > 0 && !r.working {
			switch x.w.gangState(r.record) {
			case gangTogether:
				r.working, r.advanced = true, now
			case gangBroken:
				x.endLocked(r, "broken")
				continue
			default:
				if now.After(r.began.Add(gangWait)) {
					x.endLocked(r, "alone")
				}
				continue
			}
		}
		if r.gang > 0 {
			switch x.w.gangState(r.record) {
			case gangBroken:
				x.endLocked(r, "broken")
				continue
			case gangDone:
				x.endLocked(r, "done")
				continue
			}
		}
		r.done += now.Sub(r.advanced) * time.Duration(r.pace) / 100
		r.advanced = now
		if r.lasts {
			if now.After(r.began.Add(200 * time.Millisecond)) {
				r.percent = 100
			}
			continue
		}
		r.percent = min(int(r.done*100/max(r.work, 1)), 99)
		if r.done >= r.work {
			if r.fails {
				x.endLocked(r, "failed")
			} else {
				x.endLocked(r, "done")
			}
		}
	}
}

// lapsedBetween reports whether the lease of a life lapsed between two times.
func (x *executor) lapsedBetween(life int, from, to time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, at := range x.lapses[life] {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

func (x *executor) sortedLocked() []*run {
	var all []*run
	for _, r := range x.active {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task < all[j].task })
	return all
}

func (x *executor) endLocked(r *run, how string) {
	delete(x.active, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.number)
	x.endCount++
	x.ends = append(x.ends, ended{x.endCount, r.task, r.number, how, r.saved})
	r.record.close(time.Now(), how)
	r.record.endNumber, r.record.life = x.endCount, x.life
	close(x.changed)
	x.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	late, lost := x.w.drawFault(r.URL.Path)
	if late == 0 && !lost {
		// The answer is written once the executor is free for others again.
		answer := httptest.NewRecorder()
		x.serve(answer, r)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
		return
	}
	body, _ := io.ReadAll(r.Body)
	x.mu.Lock()
	life := x.life
	x.mu.Unlock()
	q := r.Clone(context.Background())
	q.Body = io.NopCloser(bytes.NewReader(body))
	go func() {
		defer func() { _ = recover() }()
		time.Sleep(late)
		x.mu.Lock()
		same := x.up && x.life == life
		x.mu.Unlock()
		if same {
			x.w.note("%s carries out %s without an answer: %s", x.id, q.URL.Path, body)
			x.serve(httptest.NewRecorder(), q)
		}
	}()
	// A call that gets no answer.
	<-r.Context().Done()
}

// serve carries out a call.
func (x *executor) serve(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Task         string `json:"task"`
		Run          int    `json:"run"`
		Spec         string `json:"spec"`
		DeadlineMs   int64  `json:"deadlineMs"`
		FencingToken int64  `json:"fencingToken"`
		Checkpointed string `json:"checkpointed"`
		Ticket       string `json:"ticket"`
		AckSeq       int64  `json:"ackSeq"`
		WaitMs       int64  `json:"waitMs"`
		Percent      int    `json:"percent"`
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", x.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.up {
		// The call came while the executor crashed.
		panic(http.ErrAbortHandler)
	}
	answer := func(status int, reason string) {
		body := map[string]any{"clockMs": x.clockMs(), "born": x.born.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		answerJSON(w, status, body)
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != x.id {
		answer(http.StatusMisdirectedRequest, "")
		return
	}
	x.advanceLocked()
	if q.FencingToken < x.token {
		answer(http.StatusConflict, "fence")
		return
	}
	x.token = q.FencingToken
	now := time.Now()
	extend := func() {
		if q.DeadlineMs == 0 {
			return
		}
		end := x.clock0.Add(time.Duration(q.DeadlineMs) * time.Millisecond)
		if limit := now.Add(holdMax); end.After(limit) {
			end = limit
		}
		if end.After(x.leaseEnd) {
			x.leaseEnd = end
		}
	}
	switch r.URL.Path {
	case "/run-start":
		a := x.active[q.Task]
		switch {
		case x.unhealthy:
			answer(http.StatusServiceUnavailable, "")
			return
		case a != nil && a.number == q.Run:
			extend()
			answer(http.StatusOK, "")
			return
		case q.Run <= x.highest[q.Task] || a != nil:
			extend()
			answer(http.StatusConflict, "old")
			return
		case q.DeadlineMs <= x.clockMs():
			answer(http.StatusConflict, "late")
			return
		case !x.w.isTicketValid(q.Task, q.Spec, x, q.Ticket):
			answer(http.StatusConflict, "ticket")
			return
		}
		extend()
		does := x.w.workOf(q.Task, q.Spec)
		rec := x.w.begin(x, q.Task, q.Run, q.Spec, does.gang)
		nr := &run{
			task: q.Task, number: q.Run, saved: q.Checkpointed, pace: 100, began: now, advanced: now,
			work: does.duration, fails: does.fails || x.grey, lasts: does.lasts, gang: does.gang, record: rec,
		}
		x.active[q.Task] = nr
		if x.grey {
			// It fails all that it starts; of a gang it knows by itself that another member
			// has ended here.
			how := "failed"
			if does.gang > 0 && x.w.hasEndedHere(rec) {
				how = "broken"
			}
			x.endLocked(nr, how)
		}
		answer(http.StatusOK, "")
	case "/run-stop":
		if a := x.active[q.Task]; a != nil && a.number == q.Run {
			if !a.stopping {
				a.stopping = true
				life := x.life
				time.AfterFunc(stopTime, func() {
					x.mu.Lock()
					defer x.mu.Unlock()
					if x.life == life && x.active[a.task] == a {
						x.endLocked(a, "stopped")
					}
				})
			}
		} else {
			x.highest[q.Task] = max(x.highest[q.Task], q.Run)
		}
		answer(http.StatusOK, "")
	case "/pace":
		if a := x.active[q.Task]; a != nil && a.number == q.Run {
			a.pace = q.Percent
		}
		answer(http.StatusOK, "")
	case "/hold":
		extend()
		x.acknowledgeLocked(q.AckSeq)
		until := now.Add(time.Duration(min(q.WaitMs, 2000)) * time.Millisecond)
		for len(x.ends) == 0 && time.Now().Before(until) && x.up {
			changed := x.changed
			x.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(until)):
			case <-r.Context().Done():
			}
			x.mu.Lock()
			if r.Context().Err() != nil {
				return
			}
		}
		x.advanceLocked()
		active, ends := [][]any{}, [][]any{}
		for _, a := range x.sortedLocked() {
			active = append(active, []any{a.task, a.number, a.saved, a.percent, 0})
		}
		for _, e := range x.ends[:min(len(x.ends), maxEnds)] {
			ends = append(ends, []any{e.number, e.task, e.run, e.how, e.saved})
		}
		answerJSON(w, http.StatusOK, map[string]any{"clockMs": x.clockMs(), "born": x.born.UnixMilli(), "activeTasks": active, "ended": ends})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// acknowledgeLocked forgets the ends up to a number.
func (x *executor) acknowledgeLocked(number int64) {
	n := 0
	for n < len(x.ends) && x.ends[n].number <= number {
		x.w.noteAcked(x, x.ends[n].number)
		n++
	}
	x.ends = x.ends[n:]
}

// jobOf returns the job of a task, and stepOf its step in the form ID.K.STEP.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }
