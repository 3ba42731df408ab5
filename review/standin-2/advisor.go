package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// advisor is the service that knows which executors may run a step. It handles one call at a
// time, in turn, and passes over a call whose caller has gone.
type advisor struct {
	w      *world
	decide time.Duration
	each   time.Duration
	valid  time.Duration
	turn   chan struct{}

	mu      sync.Mutex
	waiting int
	issued  map[string]time.Time
	calls   int
	left    int
}

func newAdvisor(w *world, decide, each, valid time.Duration) *advisor {
	return &advisor{w: w, decide: decide, each: each, valid: valid, turn: make(chan struct{}, 1), issued: map[string]time.Time{}}
}

// isValid reports whether a ticket is valid for a step on an executor in its present life.
func (a *advisor) isValid(step string, x *executor, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.issued[step+" "+ticket]
	return ok && time.Now().Before(until) && ticket == fmt.Sprintf("t-%s-%d", x.id, x.life)
}

// ServeHTTP implements http.Handler. All nodes of a script are one calling machine or more;
// the owner alone calls.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	a.mu.Lock()
	if a.waiting >= 32 {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.calls++
	a.mu.Unlock()
	gone := false
	select {
	case a.turn <- struct{}{}:
		defer func() { <-a.turn }()
	case <-r.Context().Done():
		gone = true
	}
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	if gone || r.Context().Err() != nil {
		a.leave(q.Step, arrived)
		return
	}
	select {
	case <-time.After(a.decide + time.Duration(len(q.Workers))*a.each):
	case <-r.Context().Done():
		a.leave(q.Step, arrived)
		return
	}
	good := [][]string{}
	a.mu.Lock()
	for _, id := range q.Workers {
		for _, x := range a.w.executors {
			if x.id == id {
				ticket := fmt.Sprintf("t-%s-%d", x.id, x.life)
				a.issued[q.Step+" "+ticket] = time.Now().Add(a.valid)
				good = append(good, []string{id, ticket})
			}
		}
	}
	a.mu.Unlock()
	a.w.note("advice for %s on %d workers after %d ms", q.Step, len(q.Workers), time.Since(arrived).Milliseconds())
	answerJSON(w, http.StatusOK, map[string]any{"good": good, "validMs": a.valid.Milliseconds()})
}

func (a *advisor) leave(step string, arrived time.Time) {
	a.mu.Lock()
	a.left++
	a.mu.Unlock()
	a.w.note("advice for %s: the caller left after %d ms", step, time.Since(arrived).Milliseconds())
}
