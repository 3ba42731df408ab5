package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay     = 4 * time.Millisecond
	storePageItems = 500
	storePageBytes = 1 << 20
	maxTxnEntries  = 32
	valueBytes     = 1 << 20
	minLeaseMs     = 1000
)

// item is a key of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev"`
	Lease     int64  `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store, in memory.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	// delay is how long an answer takes, hold (may be nil) may hold a call up.
	delay time.Duration
	hold  func(r *http.Request)
	// lostShare of the transactions get no answer, and if late is set they are done later.
	lostShare float64
	late      bool
}

func newStore() *store {
	return &store{
		revision: 100, items: map[string]item{}, leases: map[int64]*lease{},
		changed: make(chan struct{}), delay: storeDelay,
	}
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// expireLocked ends the leases whose time has passed.
func (s *store) expireLocked() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *store) endLeaseLocked(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > 0 {
		s.revision++
		for _, k := range keys {
			s.removeLocked(k)
		}
		s.notifyLocked()
	}
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) putLocked(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator and the executors do.
func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	s.revision++
	s.putLocked(key, data, 0)
	s.notifyLocked()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeLocked(key)
	s.notifyLocked()
}

// get returns the value of a key.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	return s.items[key].Value
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay, hold := s.delay, s.hold
	s.mu.Unlock()
	if hold != nil {
		hold(r)
	}
	if r.URL.Path == "/kv-txn" {
		s.mu.Lock()
		lost, late := rand.Float64() < s.lostShare, s.late
		s.mu.Unlock()
		if lost {
			body, _ := io.ReadAll(r.Body)
			q := r.Clone(context.Background())
			q.Body = io.NopCloser(bytes.NewReader(body))
			go func() {
				if late {
					time.Sleep(time.Second + time.Duration(rand.Int63n(int64(5*time.Second))))
				}
				s.serveTxn(httptest.NewRecorder(), q)
			}()
			<-r.Context().Done()
			return
		}
	}
	time.Sleep(delay)
	switch {
	case r.URL.Path == "/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLeaseLocked(id)
		s.mu.Unlock()
		answerJSON(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expireLocked()
	it, ok := s.items[r.FormValue("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{it, asOf})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	s.expireLocked()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	found, bytes, more := []item{}, 0, false
	for _, k := range keys {
		it := s.items[k]
		if len(found) > 0 && (len(found) == storePageItems || bytes+len(it.Value) > storePageBytes) {
			more = true
			break
		}
		found, bytes = append(found, it), bytes+len(it.Value)
	}
	asOf := s.revision
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"items": found, "morePages": more, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expireLocked()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-timeout:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
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
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Expect)+len(q.Puts)+len(q.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	now, failed := []item{}, false
	for _, e := range q.Expect {
		it, ok := s.items[e.Key]
		failed = failed || it.Revision != e.Revision
		if ok {
			now = append(now, it)
		}
	}
	if failed {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range q.Puts {
		switch {
		case strings.HasPrefix(p.Key, "op/"), strings.HasPrefix(p.Key, "servers/"):
			w.WriteHeader(http.StatusForbidden)
			return
		case len(p.Key) > 200, len(p.Value) > valueBytes:
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		case p.Lease != 0 && s.leases[p.Lease] == nil:
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range q.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, k := range q.Remove {
		s.removeLocked(k)
	}
	s.notifyLocked()
	answerJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(q.TTLMs, minLeaseMs)
	s.mu.Lock()
	s.revision++
	id := s.revision
	d := time.Duration(ttl) * time.Millisecond
	s.leases[id] = &lease{d, time.Now().Add(d)}
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	s.expireLocked()
	l := s.leases[id]
	if l != nil {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}
