package target

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jacinthwind/common/header"
	"jacinthwind/common/jsonhttp"
	"jacinthwind/io/executor"
)

// The headers of a request that steer the stand-in.
const (
	// HeaderRunMS is the run time in milliseconds.
	HeaderRunMS = "Standin-Run-Ms"
	// HeaderStatus is the status of the answer.
	HeaderStatus = "Standin-Status"
)

const (
	defaultRun = 10 * time.Millisecond
	// endedLength is the number of ended attempts that a report lists.
	endedLength = 64
)

// Executor runs tasks by waiting; its zero value runs one task at a time.
type Executor struct {
	VM         string
	DataCentre string
	// Instance tells a replaced process from its predecessor.
	Instance string
	Slots    int
	// Recorder sees the starts and ends, nil for none.
	Recorder *Recorder
	// Faults make the executor fail; change them with SetFaults.
	Faults Faults

	mu       sync.Mutex
	running  map[string]*task
	ended    []string
	draining bool
}

// Faults make an executor fail.
type Faults struct {
	// CutAnswers ends connections in the middle of answers.
	CutAnswers bool
	// RefuseAll refuses every task.
	RefuseAll bool
	// FailAll answers every task with status 500 at once.
	FailAll bool
}

type task struct {
	requestID  string
	team       string
	leaseUntil time.Time
	stop       context.CancelFunc
}

// SetFaults replaces the faults in force.
func (e *Executor) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Faults = f
}

// Drain refuses new tasks from now on, or takes them again.
func (e *Executor) Drain(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// Handler serves the executor's interface.
func (e *Executor) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+executor.PathTasks, e.run)
	jsonhttp.Handle(mux, "POST "+executor.PathStop, e.stop)
	jsonhttp.Handle(mux, "POST "+executor.PathUsage, e.usage)
	return mux
}

func (e *Executor) run(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(header.Attempt)
	w.Header().Set(header.Attempt, attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		e.refuse(w, http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	t := &task{
		requestID:  r.Header.Get(header.RequestID),
		team:       r.Header.Get(header.Team),
		leaseUntil: executor.ParseTime(r.Header, header.LeaseUntil),
		stop:       cancel,
	}
	if !e.begin(attempt, t, executor.ParseTime(r.Header, header.StartBy)) {
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	started := time.Now()
	whole := e.work(ctx, t, runTime(r))
	e.finish(attempt, t, time.Since(started), whole)
	e.answer(w, r, body, whole)
}

func (e *Executor) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(header.Started, "false")
	w.WriteHeader(status)
}

// begin starts a task if there is a slot and its start-by time is not past.
func (e *Executor) begin(attempt string, t *task, startBy time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining || e.Faults.RefuseAll || len(e.running) >= max(e.Slots, 1) || time.Now().After(startBy) {
		return false
	}
	if e.running == nil {
		e.running = make(map[string]*task)
	}
	e.running[attempt] = t
	if e.Recorder != nil {
		e.Recorder.start(Start{
			RequestID: t.requestID, Attempt: attempt, Team: t.team, VM: e.VM, DataCentre: e.DataCentre, At: time.Now(),
		})
	}
	return true
}

// work waits for the run time and reports whether the task came to its end
// before it was stopped or its lease ran out.
func (e *Executor) work(ctx context.Context, t *task, d time.Duration) bool {
	end := time.Now().Add(d)
	for {
		e.mu.Lock()
		lease := t.leaseUntil
		e.mu.Unlock()
		next := end
		if lease.Before(end) {
			next = lease
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
		if next.Equal(end) {
			return true
		}
		if e.leaseOver(t) {
			return false
		}
	}
}

func (e *Executor) leaseOver(t *task) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !time.Now().Before(t.leaseUntil)
}

func (e *Executor) finish(attempt string, t *task, ran time.Duration, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, attempt)
	e.ended = append(e.ended, attempt)
	if over := len(e.ended) - endedLength; over > 0 {
		e.ended = e.ended[over:]
	}
	if e.Recorder != nil {
		e.Recorder.end(t.requestID, t.team, ran, whole)
	}
}

// answer sends the request's body back with the id of the request before it.
func (e *Executor) answer(w http.ResponseWriter, r *http.Request, body []byte, whole bool) {
	e.mu.Lock()
	faults := e.Faults
	e.mu.Unlock()
	if !whole {
		w.Header().Set(header.Stopped, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := Answer(r.Header.Get(header.RequestID), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(statusOf(r, faults))
	if faults.CutAnswers {
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

// Answer returns the body that the stand-in answers a request with.
func Answer(requestID string, body []byte) []byte {
	return append([]byte(requestID+"\n"), body...)
}

func statusOf(r *http.Request, f Faults) int {
	if f.FailAll {
		return http.StatusInternalServerError
	}
	status, err := strconv.Atoi(r.Header.Get(HeaderStatus))
	if err != nil {
		return http.StatusOK
	}
	return status
}

func runTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderRunMS), 64)
	if err != nil {
		return defaultRun
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (e *Executor) stop(_ context.Context, q executor.StopQuery) (executor.StopReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.running[q.Attempt]
	if ok {
		t.stop()
	}
	return executor.StopReply{Running: ok}, nil
}

func (e *Executor) usage(_ context.Context, q executor.UsageQuery) (executor.UsageReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range q.Renew {
		if t, ok := e.running[l.Attempt]; ok {
			t.leaseUntil = maxTime(t.leaseUntil, time.UnixMilli(l.UntilMS))
		}
	}
	reply := executor.UsageReply{
		Executor: e.VM, Instance: e.Instance, Slots: max(e.Slots, 1), Draining: e.draining,
		Ended: append([]string(nil), e.ended...),
	}
	for attempt, t := range e.running {
		reply.Running = append(reply.Running, executor.RunningTask{
			Lease:     executor.Lease{Attempt: attempt, UntilMS: t.leaseUntil.UnixMilli()},
			RequestID: t.requestID,
			Team:      t.team,
		})
	}
	return reply, nil
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
