package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is the platform's interface for machines.
type cloud struct {
	w     *world
	addr  string
	mu    sync.Mutex
	fence map[string]int64
	state map[string]string
	done  map[string]bool
	// waves holds the machines of each wave.
	waves map[int][]string
}

func newCloud(w *world) *cloud {
	c := &cloud{w: w, fence: map[string]int64{}, state: map[string]string{}, done: map[string]bool{}, waves: map[int][]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-upkeep", c.upkeep)
	mux.HandleFunc("POST /machine-move", func(rw http.ResponseWriter, _ *http.Request) {
		answer(rw, http.StatusConflict, map[string]any{"reason": "busy"})
	})
	c.addr = serve(mux)
	return c
}

func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []map[string]any{}
	for _, x := range c.w.executors {
		x.mu.Lock()
		state := "up"
		if s := c.state[x.machine]; s != "" {
			state = s
		} else if !x.up {
			state = "down"
		}
		row := map[string]any{
			"machine": x.machine, "pool": x.pool, "state": state, "zone": x.zone, "labels": []string{x.kind, x.rack},
			"room": map[string]any{"cpu": x.cpu, "memMb": x.mem, "gpu": 0}, "id": x.id,
		}
		x.mu.Unlock()
		rows = append(rows, row)
	}
	answer(rw, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.note("cloud   upkeep of %s for wave %d by %s token %d", q.Machine, q.Wave, r.Header.Get("X-Holder"), token)
	if token < c.fence[q.Machine] {
		answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	c.fence[q.Machine] = token
	if c.done[q.Machine] {
		answer(rw, http.StatusOK, nil)
		return
	}
	for _, x := range c.w.executors {
		if x.machine != q.Machine {
			continue
		}
		if c.state[q.Machine] != "" || !x.up {
			answer(rw, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		}
		c.done[q.Machine] = true
		c.state[q.Machine] = "upkeep"
		go func() {
			x.crash()
			time.Sleep(2 * time.Second)
			c.mu.Lock()
			delete(c.state, q.Machine)
			c.mu.Unlock()
			x.start()
		}()
		answer(rw, http.StatusOK, nil)
		return
	}
	answer(rw, http.StatusBadRequest, nil)
}
