package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the advice service.
const (
	adviceDecide = 80 * time.Millisecond
	adviceEach   = 4 * time.Millisecond
	adviceValid  = 3 * time.Second
	maxAdvice    = 32
)

// advice is the platform's advice service.
type advice struct {
	w       *world
	turn    sync.Mutex
	mu      sync.Mutex
	waiting int
	calls   int
	tickets map[string]time.Time
}

func (a *advice) serve(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxAdvice {
		a.mu.Unlock()
		answer(rw, http.StatusTooManyRequests, nil)
		return
	}
	a.waiting++
	a.calls++
	a.mu.Unlock()
	a.turn.Lock()
	time.Sleep(adviceDecide + time.Duration(len(q.Workers))*adviceEach)
	a.turn.Unlock()
	good := [][]string{}
	a.mu.Lock()
	a.waiting--
	for _, id := range q.Workers {
		for _, x := range a.w.executors {
			if x.id != id || !mayRun(q.Step, id) {
				continue
			}
			x.mu.Lock()
			ticket := fmt.Sprintf("%s/%s/%d", q.Step, id, x.boot)
			x.mu.Unlock()
			a.tickets[ticket] = time.Now().Add(adviceValid)
			good = append(good, []string{id, ticket})
		}
	}
	a.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{"good": good, "validMs": adviceValid.Milliseconds()})
}

// mayRun tells the policy: about half of the executors may run a step.
func mayRun(step, id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + id))
	return h.Sum32()%4 < 2 || strings.HasSuffix(id, "3")
}

// isValid reports whether a ticket lets a task start on a boot of an executor.
func (a *advice) isValid(task, ticket, id string, boot int) bool {
	step := task[:strings.LastIndex(task, ".")]
	a.mu.Lock()
	defer a.mu.Unlock()
	return ticket == fmt.Sprintf("%s/%s/%d", step, id, boot) && time.Now().Before(a.tickets[ticket])
}
