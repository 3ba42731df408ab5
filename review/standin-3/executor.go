package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the executors.
const (
	heartbeat  = 1500 * time.Millisecond
	holdMax    = 6 * time.Second
	gangWait   = 3 * time.Second
	stopTime   = 200 * time.Millisecond
	startupLag = 300 * time.Millisecond
)

// order is a call to an executor.
type order struct {
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

// fate says what becomes of a call.
type fate struct {
	// late is how much later the call is carried out, without an answer; negative: never.
	late time.Duration
	// lost means that it is carried out at once and not answered.
	lost bool
	// refuse is a status that is answered instead, with nothing done.
	refuse int
}

// activeRun is a run on an executor.
type activeRun struct {
	task     string
	run      int
	began    time.Time
	working  time.Time
	length   time.Duration
	lasts    bool
	stopping bool
	gang     *gang
	job      *jobInfo
	step     int
}

// endRow is an end that is not forgotten yet.
type endRow struct {
	n    int64
	task string
	run  int
	how  string
	at   time.Time
	// lapsed is set once the lease has lapsed while the end was not acknowledged.
	lapsed bool
}

// executor is one life of a machine, with all its boots under one id.
type executor struct {
	w                *world
	id, pool, zone   string
	machine          string
	kind, rack       string
	cpu, mem         int64
	rejectsOverload  bool
	firstBeat        time.Duration
	addr             string
	mu               sync.Mutex
	up, cut          bool
	boot             int
	born             int64
	clock0           time.Time
	token            int64
	leaseMs          int64
	runs             map[string]*activeRun
	oldRun           map[string]int
	ended            []endRow
	lastEnd          int64
	changed          chan struct{}
	server           *http.Server
	beats            int
	gone             bool
	decide           func(path string, q *order) fate
	listed           bool
	draining         bool
	openConns        map[net.Conn]bool
	usedCPU, usedMem int64
}

func (x *executor) now() int64 { return time.Since(x.clock0).Milliseconds() + 1000 }

// start boots the executor at its address.
func (x *executor) start() {
	x.mu.Lock()
	x.boot++
	x.up, x.cut = true, false
	x.born = time.Now().UnixMilli()
	x.clock0 = time.Now()
	x.token, x.leaseMs, x.lastEnd = 0, 0, 0
	x.runs, x.oldRun, x.ended = map[string]*activeRun{}, map[string]int{}, nil
	x.usedCPU, x.usedMem = 0, 0
	x.changed = make(chan struct{})
	x.openConns = map[net.Conn]bool{}
	boot := x.boot
	var l net.Listener
	if x.addr == "" {
		l = listen()
	} else {
		var err error
		l, err = net.Listen("tcp", x.addr)
		for i := 0; err != nil && i < 50; i++ {
			time.Sleep(20 * time.Millisecond)
			l, err = net.Listen("tcp", x.addr)
		}
		must(err)
	}
	x.addr = l.Addr().String()
	x.server = &http.Server{Handler: x.handler(boot), ConnState: func(c net.Conn, s http.ConnState) {
		x.mu.Lock()
		defer x.mu.Unlock()
		if s == http.StateNew {
			x.openConns[c] = true
		} else if s == http.StateClosed || s == http.StateHijacked {
			delete(x.openConns, c)
		}
	}}
	srv := x.server
	x.mu.Unlock()
	x.w.note("executor %s boot %d is up at %s, kind %s, service %s", x.id, boot, x.addr, x.kind, x.pool)
	go func() { _ = srv.Serve(l) }()
	go x.beat(boot)
	go x.tick(boot)
}

// crash ends the boot at once; nothing is known of it afterwards.
func (x *executor) crash() {
	x.mu.Lock()
	if !x.up {
		x.mu.Unlock()
		return
	}
	x.up = false
	lost := x.runs
	x.runs = map[string]*activeRun{}
	srv, conns := x.server, x.openConns
	x.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = srv.Close()
	x.w.note("executor %s boot %d crashes with %d runs", x.id, x.boot, len(lost))
	for _, r := range lost {
		x.w.ended(x, r, "crashed")
		if r.gang != nil {
			r.gang.leave(r, "")
		}
	}
}

// beat writes the entry of the executor while its boot lives.
func (x *executor) beat(boot int) {
	time.Sleep(x.firstBeat)
	for {
		x.mu.Lock()
		alive := x.up && x.boot == boot
		cut, gone := x.cut, x.gone
		x.beats++
		state := "ready"
		if x.draining {
			state = "draining"
		}
		entry := map[string]any{
			"service": x.pool, "address": x.addr, "zone": x.zone, "version": "v1", "capacity": 8, "state": state, "coldMs": 0,
			"room": map[string]any{"cpu": x.cpu, "memMb": x.mem, "gpu": 0}, "labels": []string{x.kind, x.rack}, "clockMs": x.now(), "seq": x.beats, "born": x.born,
		}
		x.mu.Unlock()
		if !alive || gone {
			return
		}
		if !cut {
			data, _ := json.Marshal(entry)
			x.w.store.put("servers/"+x.id, string(data))
			x.w.heard(x.id)
		}
		time.Sleep(heartbeat)
	}
}

// tick lets runs end and the lease expire.
func (x *executor) tick(boot int) {
	for range time.Tick(5 * time.Millisecond) {
		x.mu.Lock()
		if !x.up || x.boot != boot {
			x.mu.Unlock()
			return
		}
		var left []*activeRun
		now := time.Now()
		if x.leaseMs != 0 && x.now() > x.leaseMs {
			for i := range x.ended {
				x.ended[i].lapsed = true
			}
			for _, r := range x.runs {
				x.end(r, "lapsed")
				left = append(left, r)
			}
		}
		for _, r := range x.runs {
			if r.gang == nil && !r.lasts && !r.stopping && now.After(r.began.Add(r.length)) {
				x.end(r, "done")
			}
		}
		x.mu.Unlock()
		for _, r := range left {
			if r.gang != nil {
				r.gang.leave(r, "broken")
			}
		}
	}
}

// end ends a run; x.mu is held.
func (x *executor) end(r *activeRun, how string) {
	if x.runs[r.task] != r {
		return
	}
	delete(x.runs, r.task)
	if s := r.job; s != nil {
		x.usedCPU -= s.Steps[r.step].CPU
		x.usedMem -= s.Steps[r.step].MemMb
	}
	x.oldRun[r.task] = max(x.oldRun[r.task], r.run)
	x.lastEnd++
	x.ended = append(x.ended, endRow{n: x.lastEnd, task: r.task, run: r.run, how: how, at: time.Now()})
	close(x.changed)
	x.changed = make(chan struct{})
	x.w.ended(x, r, how)
}

func (x *executor) handler(boot int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			w.Header().Set("X-Instance-Id", x.id)
			w.WriteHeader(http.StatusOK)
			return
		}
		data, err := io.ReadAll(r.Body)
		x.mu.Lock()
		cut := x.cut
		x.mu.Unlock()
		if err != nil {
			return
		}
		if cut {
			// Nothing passes the cut in either direction.
			<-r.Context().Done()
			return
		}
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != x.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var q order
		if json.Unmarshal(data, &q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		var f fate
		if x.decide != nil {
			f = x.decide(r.URL.Path, &q)
		}
		if f.refuse != 0 {
			x.w.note("executor %s refuses %s %s run %d with %d", x.id, r.URL.Path, q.Task, q.Run, f.refuse)
			w.WriteHeader(f.refuse)
			return
		}
		if f.late != 0 || f.lost {
			x.w.note("executor %s gives no answer to %s %s run %d (carried out after %v)", x.id, r.URL.Path, q.Task, q.Run, f.late)
			if f.late >= 0 {
				go func() {
					time.Sleep(f.late)
					x.mu.Lock()
					alive := x.up && x.boot == boot
					x.mu.Unlock()
					if alive {
						status, body := x.carryOut(r.URL.Path, &q)
						x.w.note("executor %s carried out late %s %s run %d: %d %v", x.id, r.URL.Path, q.Task, q.Run, status, body["reason"])
					}
				}()
			}
			<-r.Context().Done()
			return
		}
		if r.URL.Path == "/hold" && q.WaitMs > 0 {
			x.await(r, &q, boot)
		}
		x.mu.Lock()
		alive, cut := x.up && x.boot == boot, x.cut
		x.mu.Unlock()
		if !alive || cut {
			<-r.Context().Done()
			return
		}
		status, body := x.carryOut(r.URL.Path, &q)
		answer(w, status, body)
	})
}

// await waits until there is an end that is not acknowledged. The deadline counts at once.
func (x *executor) await(r *http.Request, q *order, boot int) {
	t := time.NewTimer(time.Duration(min(q.WaitMs, 2000)) * time.Millisecond)
	defer t.Stop()
	x.mu.Lock()
	if q.FencingToken >= x.token {
		x.token = q.FencingToken
		x.extend(q.DeadlineMs)
	}
	x.mu.Unlock()
	for {
		x.mu.Lock()
		pending := false
		for _, e := range x.ended {
			pending = pending || e.n > q.AckSeq
		}
		changed := x.changed
		x.mu.Unlock()
		if pending {
			return
		}
		select {
		case <-changed:
		case <-t.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// extend takes a deadline; x.mu is held.
func (x *executor) extend(deadline int64) {
	if deadline > 0 {
		x.leaseMs = max(x.leaseMs, min(deadline, x.now()+holdMax.Milliseconds()))
	}
}

// carryOut carries out a call.
func (x *executor) carryOut(path string, q *order) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	body := map[string]any{"clockMs": x.now(), "born": x.born}
	if q.FencingToken < x.token {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	x.token = q.FencingToken
	switch path {
	case "/run-start":
		if reason := x.startRun(q); reason != "" {
			body["reason"] = reason
			return http.StatusConflict, body
		}
	case "/run-stop":
		x.stopRun(q)
	case "/hold":
		x.extend(q.DeadlineMs)
		x.acknowledge(q.AckSeq)
		active := [][]any{}
		for _, r := range x.runs {
			active = append(active, []any{r.task, r.run, "", x.percent(r), 10})
		}
		ended := [][]any{}
		for _, e := range x.ended[:min(len(x.ended), 500)] {
			ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
		}
		body["activeTasks"], body["ended"] = active, ended
	case "/pace":
	default:
		return http.StatusBadRequest, body
	}
	return http.StatusOK, body
}

func (x *executor) acknowledge(n int64) {
	for len(x.ended) > 0 && x.ended[0].n <= n {
		e := x.ended[0]
		x.ended = x.ended[1:]
		x.w.acked(x, e)
	}
}

// percent tells how far a run is; x.mu is held.
func (x *executor) percent(r *activeRun) int {
	switch {
	case r.lasts:
		if time.Since(r.began) >= startupLag {
			return 100
		}
		return int(100 * time.Since(r.began) / startupLag)
	case r.gang != nil:
		return r.gang.percent()
	}
	return min(int(100*time.Since(r.began)/r.length), 99)
}

// startRun starts a run and returns why not; x.mu is held.
func (x *executor) startRun(q *order) string {
	x.extend(0)
	if r := x.runs[q.Task]; r != nil && r.run == q.Run {
		return ""
	}
	if q.Run <= x.oldRun[q.Task] {
		x.extend(q.DeadlineMs)
		return "old"
	}
	if q.DeadlineMs > 0 && q.DeadlineMs <= x.now() {
		return "late"
	}
	r := x.w.newRun(q)
	if r.job != nil {
		s := r.job.Steps[r.step]
		if r.job.route == "/v/" && !x.w.advice.isValid(q.Task, q.Ticket, x.id, x.boot) {
			x.w.note("executor %s rejects %s run %d: its ticket is not valid", x.id, q.Task, q.Run)
			return "ticket"
		}
		if x.rejectsOverload && (x.usedCPU+s.CPU > x.cpu || x.usedMem+s.MemMb > x.mem) {
			x.extend(q.DeadlineMs)
			return "room"
		}
		x.usedCPU += s.CPU
		x.usedMem += s.MemMb
	}
	x.extend(q.DeadlineMs)
	if old := x.runs[q.Task]; old != nil {
		x.end(old, "stopped")
	}
	x.runs[q.Task] = r
	x.w.started(x, r, q)
	if r.gang != nil {
		r.gang.join(x, r)
	}
	return ""
}

// stopRun stops a run; x.mu is held.
func (x *executor) stopRun(q *order) {
	r := x.runs[q.Task]
	if r == nil || r.run != q.Run {
		if r == nil || q.Run > r.run {
			x.oldRun[q.Task] = max(x.oldRun[q.Task], q.Run)
		}
		return
	}
	if r.stopping {
		return
	}
	r.stopping = true
	x.w.stopOrdered(x, r)
	go func() {
		time.Sleep(stopTime)
		x.mu.Lock()
		isLeft := x.runs[r.task] == r
		x.end(r, "stopped")
		x.mu.Unlock()
		if r.gang != nil && isLeft {
			r.gang.leave(r, "broken")
		}
	}()
}

// member is a member of a gang that is present.
type member struct {
	x *executor
	r *activeRun
}

// gang is one run of a gang.
type gang struct {
	mu      sync.Mutex
	w       *world
	key     string
	count   int
	length  time.Duration
	lasts   bool
	members []member
	whole   time.Time
	over    bool
}

func (g *gang) percent() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.whole.IsZero() {
		return 0
	}
	return min(int(100*time.Since(g.whole)/g.length), 99)
}

// join adds a member; the caller holds the lock of its executor.
func (g *gang) join(x *executor, r *activeRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = append(g.members, member{x, r})
	if g.over {
		go g.leave(r, "broken")
		return
	}
	if len(g.members) == g.count {
		g.whole = time.Now()
		g.w.note("gang %s is whole", g.key)
		time.AfterFunc(g.length, func() { g.finish("done") })
		return
	}
	time.AfterFunc(gangWait, func() {
		g.mu.Lock()
		isWhole := !g.whole.IsZero()
		g.mu.Unlock()
		if !isWhole {
			x.mu.Lock()
			x.end(r, "alone")
			x.mu.Unlock()
			g.leave(r, "broken")
		}
	})
}

// leave notes that a member has ended; the others end, too.
func (g *gang) leave(r *activeRun, how string) {
	if how == "" {
		how = "broken"
	}
	g.finish(how)
}

func (g *gang) finish(how string) {
	g.mu.Lock()
	if g.over {
		// Only those that came later are left.
		how = "broken"
	}
	g.over = true
	members := g.members
	g.mu.Unlock()
	for _, m := range members {
		m.x.mu.Lock()
		m.x.end(m.r, how)
		m.x.mu.Unlock()
	}
}

// kindOf returns what a spec says under a name.
func kindOf(spec, name string) string {
	for _, part := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(part, name+"="); ok {
			return v
		}
	}
	return ""
}

func taskName(id string, k, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", id, k, step, index)
}
