package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	storeDelay   = 4 * time.Millisecond
	valueBytes   = 1 << 20
	writesPerS   = 400
	readsPerS    = 2000
	historyS     = 20
	pageItems    = 500
	pageBytes    = 1 << 20
	maxTxEntries = 32
	ttlMinMs     = 1000
)

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev"`
	Lease     int64  `json:"lease"`
}

type storeEvent struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
	at        time.Time
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]*storeItem
	history  []storeEvent
	// compacted is the last revision that the history no longer holds.
	compacted int64
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
	// down is closed when the present outage ends; nil while the store serves.
	down   chan struct{}
	mode   string
	downAt time.Time
	writes bucket
	reads  bucket
	// refusedValues counts the writes that were refused for a value over the limit, by key.
	refusedValues map[string]int
	largest       map[string]int
	address       string
	server        *http.Server
}

// bucket limits a rate.
type bucket struct {
	rate, left float64
	at         time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.left = min(b.left+now.Sub(b.at).Seconds()*b.rate, b.rate)
	b.at = now
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func newStore() (*store, error) {
	now := time.Now()
	s := &store{
		revision: 10, items: map[string]*storeItem{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		writes: bucket{writesPerS, writesPerS, now}, reads: bucket{readsPerS, readsPerS, now},
		refusedValues: map[string]int{}, largest: map[string]int{},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	go s.expire()
	return s, nil
}

// expire ends the leases that were not renewed; they pause while the store is down.
func (s *store) expire() {
	for {
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
		if s.down == nil {
			now := time.Now()
			for id, l := range s.leases {
				if now.After(l.end) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
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
	if len(keys) > 0 {
		s.revision++
		for _, k := range keys {
			s.remove(k)
		}
		s.notify()
	}
}

func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.note(storeEvent{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) write(key string, value []byte, leaseID int64) {
	it := &storeItem{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision, Lease: leaseID}
	if old := s.items[key]; old != nil {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.largest[key] = max(s.largest[key], len(value))
	s.note(storeEvent{Key: key, Value: value, Revision: s.revision, CreateRev: it.CreateRev, Lease: leaseID})
}

func (s *store) note(e storeEvent) {
	e.at = time.Now()
	s.history = append(s.history, e)
	n := 0
	for n < len(s.history) && time.Since(s.history[n].at) > historyS*time.Second {
		s.compacted = s.history[n].Revision
		n++
	}
	s.history = s.history[n:]
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes as the operator and the executors do; it reports false while the store is down.
func (s *store) put(key string, v any) bool {
	data, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != nil {
		return false
	}
	s.revision++
	s.write(key, data, 0)
	s.notify()
	return true
}

func (s *store) delete(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != nil {
		return false
	}
	s.revision++
	s.remove(key)
	s.notify()
	return true
}

// stopServing begins an outage: silent, busy or reset.
func (s *store) stopServing(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.mode, s.downAt = make(chan struct{}), mode, time.Now()
	s.notify()
}

// serveAgain ends the outage.
func (s *store) serveAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down == nil {
		return
	}
	pause := time.Since(s.downAt)
	for _, l := range s.leases {
		l.end = l.end.Add(pause)
	}
	close(s.down)
	s.down = nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

// drop closes the connection of a request without an answer.
func drop(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			c.Close()
		}
	}
}

// refuseWhileDown answers, or does not answer, a call during an outage.
func (s *store) refuseWhileDown(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	down, mode := s.down, s.mode
	s.mu.Unlock()
	if down == nil {
		return false
	}
	switch mode {
	case "busy":
		reply(w, http.StatusServiceUnavailable, nil)
	case "reset":
		drop(w)
	default:
		select {
		case <-down:
		case <-r.Context().Done():
		}
		drop(w)
	}
	return true
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.refuseWhileDown(w, r) {
		return
	}
	time.Sleep(storeDelay)
	if s.refuseWhileDown(w, r) {
		return
	}
	path := r.URL.Path
	s.mu.Lock()
	ok := true
	stale := r.FormValue("staleOk") == "1"
	switch {
	case path == "/kv-txn" || path == "/kv-lease" || strings.HasPrefix(path, "/kv-lease-end/"):
		ok = s.writes.take(1)
	case strings.HasPrefix(path, "/kv-keep/"):
		ok = s.reads.take(0.1)
	case !stale:
		ok = s.reads.take(1)
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusTooManyRequests, nil)
		return
	}
	switch {
	case r.Method == http.MethodGet && path == "/kv-key":
		s.get(w, r)
	case r.Method == http.MethodGet && path == "/kv-range":
		s.list(w, r)
	case r.Method == http.MethodGet && path == "/kv-watch":
		s.watch(w, r)
	case r.Method == http.MethodPost && path == "/kv-txn":
		s.commit(w, body)
	case r.Method == http.MethodPost && path == "/kv-lease":
		s.grant(w, body)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/kv-lease-end/"):
		s.end(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it := s.items[r.FormValue("key")]
	asOf := s.revision
	s.mu.Unlock()
	if it == nil {
		reply(w, http.StatusNotFound, map[string]any{"asOf": asOf})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		AsOf int64 `json:"asOf"`
	}{*it, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []*storeItem{}, 0, false
	for _, k := range keys {
		it := s.items[k]
		if len(items) > 0 && (len(items) >= pageItems || size+len(it.Value) > pageBytes) {
			more = true
			break
		}
		items = append(items, it)
		size += len(it.Value)
	}
	asOf := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down != nil {
			s.mu.Unlock()
			s.refuseWhileDown(w, r)
			return
		}
		if after < s.compacted {
			s.mu.Unlock()
			reply(w, http.StatusGone, nil)
			return
		}
		events := []storeEvent{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, body []byte) {
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
	if json.Unmarshal(body, &q) != nil || len(q.Expect)+len(q.Puts)+len(q.Remove) > maxTxEntries {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range q.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
		if len(p.Value) > valueBytes {
			s.refusedValues[p.Key]++
			reply(w, http.StatusRequestEntityTooLarge, nil)
			return
		}
		if len(p.Key) > 200 {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	failed := false
	present := []*storeItem{}
	for _, e := range q.Expect {
		var revision int64
		if it := s.items[e.Key]; it != nil {
			revision = it.Revision
			present = append(present, it)
		}
		failed = failed || revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, p := range q.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, p := range q.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range q.Remove {
		s.remove(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, body []byte) {
	var q struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.Unmarshal(body, &q) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	ttl := min(max(q.TTLMs, ttlMinMs), 600000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := 70000 + s.nextLease
	d := time.Duration(ttl) * time.Millisecond
	s.leases[id] = &lease{d, time.Now().Add(d)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, nil)
}
