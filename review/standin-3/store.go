package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one entry of the store as it is sent.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	changed chan struct{}
}

// access is the way of one node to the store.
type access struct {
	mu sync.Mutex
	// mode is empty, "silent", "busy" or "reset".
	mode string
}

func (a *access) set(mode string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mode = mode
}

func (a *access) get() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mode
}

func newStore() *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, k := range keys {
		s.removeAt(k)
	}
	s.notify()
}

func (s *store) removeAt(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.rev, Deleted: true})
}

func (s *store) putAt(key, value string, lease int64) {
	it := item{Key: key, Value: value, Revision: s.rev, CreateRev: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator and the executors do.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.putAt(key, b64([]byte(value)), 0)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.removeAt(key)
	s.notify()
}

// value returns the value of a key, empty if there is none.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return unb64(s.items[key].Value)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

// handler serves the calls of one node.
func (s *store) handler(a *access) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch a.get() {
		case "silent":
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case "busy":
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "reset":
			panic(http.ErrAbortHandler)
		}
		s.serve(w, r)
	})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	p := r.URL.Path
	switch {
	case p == "/kv-key":
		s.serveKey(w, r)
	case p == "/kv-range":
		s.serveRange(w, r)
	case p == "/kv-watch":
		s.serveWatch(w, r)
	case p == "/kv-txn":
		s.serveTxn(w, r)
	case p == "/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(p, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(p, "/kv-keep/"))
	case strings.HasPrefix(p, "/kv-lease-end/"):
		s.serveEnd(w, strings.TrimPrefix(p, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"asOf": rev})
		return
	}
	answer(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "createRev": it.CreateRev, "lease": it.Lease, "asOf": rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	found := []item{}
	bytes := 0
	more := false
	for _, k := range keys {
		if len(found) >= 500 || bytes > 1<<20 {
			more = true
			break
		}
		found = append(found, s.items[k])
		bytes += len(s.items[k].Value)
	}
	rev := s.rev
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": found, "morePages": more, "asOf": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append(events, s.history[i])
			}
		}
		slices.Reverse(events)
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-t.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Expect)+len(q.Puts)+len(q.Remove) > 32 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	ok := true
	present := []item{}
	for _, e := range q.Expect {
		it, found := s.items[e.Key]
		if it.Revision != e.Revision {
			ok = false
		}
		if found {
			present = append(present, it)
		}
	}
	if !ok {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, p := range q.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, nil)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, nil)
			return
		}
	}
	if len(q.Puts)+len(q.Remove) > 0 {
		s.rev++
	}
	for _, p := range q.Puts {
		s.putAt(p.Key, p.Value, p.Lease)
	}
	for _, k := range q.Remove {
		s.removeAt(k)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	ttl := max(min(q.TTLMs, 600_000), 1000)
	s.mu.Lock()
	s.rev++
	id := s.rev
	d := time.Duration(ttl) * time.Millisecond
	s.leases[id] = &lease{d, time.Now().Add(d)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl})
}

func (s *store) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[n]
	if l == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[n] == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	s.endLease(n)
	answer(w, http.StatusOK, map[string]any{})
}

// claims returns a line for each change of the owner's record.
func (s *store) claims() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []string
	for _, e := range s.history {
		if e.Key == "jw/live/owner" {
			lines = append(lines, fmt.Sprintf("rev %d deleted=%v %s", e.Revision, e.Deleted, unb64(e.Value)))
		}
	}
	return lines
}
