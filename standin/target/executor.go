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

// Request headers that control how the simulated executor runs a task.
const (
	// HeaderRunMS sets the run time in milliseconds.
	HeaderRunMS = "Standin-Run-Ms"
	// HeaderStatus sets the HTTP status of the answer.
	HeaderStatus = "Standin-Status"
)

const (
	defaultRunTime = 10 * time.Millisecond
	// maxEndedAttempts is the number of latest ended attempts that a usage reply
	// lists.
	maxEndedAttempts = 64
)

// Executor simulates an executor. Its zero value runs one task at a time.
type Executor struct {
	VM         string
	DataCentre string
	// Instance identifies the incarnation of the executor and differs after a restart.
	Instance string
	Slots    int
	// Recorder records the starts and ends of tasks; it may be nil.
	Recorder *Recorder
	// Faults holds the simulated failures; use SetFaults to change them while
	// the executor serves.
	Faults Faults

	mu       sync.Mutex
	running  map[string]*task
	ended    []string
	draining bool
}

// Faults holds the failures that an executor simulates.
type Faults struct {
	// CutAnswers closes connections in the middle of answers.
	CutAnswers bool
	// RefuseAll makes the executor refuse every task without starting it.
	RefuseAll bool
	// FailAll makes every completed task answer with status 500.
	FailAll bool
}

type task struct {
	requestID  string
	team       string
	leaseUntil time.Time
	cancel     context.CancelFunc
}

// SetFaults replaces the simulated faults.
func (e *Executor) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Faults = f
}

// Drain makes the executor refuse new tasks if draining is true, and accept them
// again if it is false.
func (e *Executor) Drain(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// Handler returns a handler that serves the executor's HTTP interface.
func (e *Executor) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+executor.PathTasks, e.handleTask)
	jsonhttp.Handle(mux, "POST "+executor.PathStop, e.handleStop)
	jsonhttp.Handle(mux, "POST "+executor.PathUsage, e.handleUsage)
	return mux
}

func (e *Executor) handleTask(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(header.Attempt)
	w.Header().Set(header.Attempt, attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		e.refuseTask(w, http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	t := &task{
		requestID:  r.Header.Get(header.RequestID),
		team:       r.Header.Get(header.Team),
		leaseUntil: executor.ParseTime(r.Header, header.LeaseUntil),
		cancel:     cancel,
	}
	if !e.startTask(attempt, t, executor.ParseTime(r.Header, header.StartBy)) {
		e.refuseTask(w, http.StatusServiceUnavailable)
		return
	}
	started := time.Now()
	completed := e.waitForCompletion(ctx, t, parseRunTime(r))
	e.endTask(attempt, t, time.Since(started), completed)
	e.writeAnswer(w, r, body, completed)
}

func (e *Executor) refuseTask(w http.ResponseWriter, status int) {
	w.Header().Set(header.Started, "false")
	w.WriteHeader(status)
}

// startTask registers a task as running and reports whether it did. It refuses
// the task if Faults.RefuseAll is set, the executor drains or has no free slot, or
// startBy has passed.
func (e *Executor) startTask(attempt string, t *task, startBy time.Time) bool {
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
		e.Recorder.recordStart(Start{
			RequestID: t.requestID, Attempt: attempt, Team: t.team, VM: e.VM, DataCentre: e.DataCentre, At: time.Now(),
		})
	}
	return true
}

// waitForCompletion waits for the run time d and reports whether the task
// completed before it was stopped or its lease expired.
func (e *Executor) waitForCompletion(ctx context.Context, t *task, d time.Duration) bool {
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
		if e.isLeaseExpired(t) {
			return false
		}
	}
}

func (e *Executor) isLeaseExpired(t *task) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !time.Now().Before(t.leaseUntil)
}

func (e *Executor) endTask(attempt string, t *task, ran time.Duration, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, attempt)
	e.ended = append(e.ended, attempt)
	if excess := len(e.ended) - maxEndedAttempts; excess > 0 {
		e.ended = e.ended[excess:]
	}
	if e.Recorder != nil {
		e.Recorder.recordEnd(t.requestID, t.team, ran, completed)
	}
}

// writeAnswer writes the body that Answer returns, or status 503 if the task was
// stopped before it completed.
func (e *Executor) writeAnswer(w http.ResponseWriter, r *http.Request, body []byte, completed bool) {
	e.mu.Lock()
	faults := e.Faults
	e.mu.Unlock()
	if !completed {
		w.Header().Set(header.Stopped, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := Answer(r.Header.Get(header.RequestID), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(chooseStatus(r, faults))
	if faults.CutAnswers {
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

// Answer returns the body of the answer to a request: its id, a newline and the
// request body.
func Answer(requestID string, body []byte) []byte {
	return append([]byte(requestID+"\n"), body...)
}

func chooseStatus(r *http.Request, f Faults) int {
	if f.FailAll {
		return http.StatusInternalServerError
	}
	status, err := strconv.Atoi(r.Header.Get(HeaderStatus))
	if err != nil {
		return http.StatusOK
	}
	return status
}

func parseRunTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderRunMS), 64)
	if err != nil {
		return defaultRunTime
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (e *Executor) handleStop(_ context.Context, q executor.StopQuery) (executor.StopReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.running[q.Attempt]
	if ok {
		t.cancel()
	}
	return executor.StopReply{Running: ok}, nil
}

func (e *Executor) handleUsage(_ context.Context, q executor.UsageQuery) (executor.UsageReply, error) {
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
