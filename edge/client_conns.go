package edge

import (
	"container/list"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/core/event"
)

const (
	// sweepInterval is the time between two looks for connections that are overdue.
	// Their ages are counted in looks, so that a process that was suspended reads what
	// has arrived meanwhile.
	sweepInterval = time.Second
	// timeSlack times the time limit that callers keep to is the time after which their
	// connection is closed.
	timeSlack = 2
	// minUnreadLooks is after how many looks a connection whose caller reads no answer
	// gives way to others.
	minUnreadLooks = 2
	// Limits while the operators have set none.
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
)

// clientLimits are the limits that the clients of a listener keep to.
type clientLimits struct {
	// headTime is the time for the head of a request, and idleTime the time between two
	// requests and for reading an answer.
	headTime, idleTime time.Duration
	// headBytes is the largest head of a request.
	headBytes int64
}

// defaultClientLimits returns the limits while the operators have set none.
func defaultClientLimits() clientLimits {
	return clientLimits{headTime: defaultHeadTimeout, idleTime: defaultIdleTimeout, headBytes: defaultHeadBytes}
}

// readyLimits returns the limits on readiness checks.
func readyLimits() clientLimits {
	l := defaultClientLimits()
	l.headBytes = maxReadyHeadBytes
	return l
}

// callerLimits returns the limits that callers keep to.
func (p *Process) callerLimits() clientLimits {
	l := defaultClientLimits()
	if c := p.configuration.Load(); c != nil {
		l.headTime = positiveOr(c.HeadTimeout, l.headTime)
		l.idleTime = positiveOr(c.IdleTimeout, l.idleTime)
		l.headBytes = positiveOr(c.MaxHead, l.headBytes)
	}
	return l
}

// positiveOr returns v if it is positive, and otherwise the default.
func positiveOr[T time.Duration | int64](v, byDefault T) T {
	if v > 0 {
		return v
	}
	return byDefault
}

// clientConns limits the number of connections to a listener, and closes those of clients
// that do not make use of them in time.
type clientConns struct {
	name    string
	max     int
	limits  func() clientLimits
	memory  *memoryBudget
	log     *eventlog.Log
	metrics *CallMetrics
	// looks counts the looks for overdue connections.
	looks atomic.Int64

	mu   sync.Mutex
	open map[*clientConn]bool
	// waiting holds the connections without a complete request, the one that has waited
	// longest first.
	waiting list.List
	closed  map[closeReason]int64
}

// closeReason is why a connection was closed or a request refused.
type closeReason string

const (
	closedForOthers   closeReason = "gave way to a new connection"
	closedAsFull      closeReason = "all connections have requests in progress"
	closedHeadLate    closeReason = "the head of a request did not come in time"
	closedBodyLate    closeReason = "the body of a request did not come in time"
	closedIdle        closeReason = "no request came"
	closedUnread      closeReason = "an answer was not read"
	closedHeadSize    closeReason = "the head of a request is too large"
	refusedHeadMemory closeReason = "no memory for the head of a request"
	refusedBodyMemory closeReason = "no memory for the body of a request"
	refusedJobMemory  closeReason = "no memory for the job of a request"
	refusedPassingOn  closeReason = "too many large jobs are on their way to the owner"
)

// isRefusal reports whether requests were refused for want of memory.
func (r closeReason) isRefusal() bool {
	return r == refusedHeadMemory || r == refusedBodyMemory || r == refusedJobMemory || r == refusedPassingOn
}

// count counts a closed connection or a refused request.
func (s *clientConns) count(reason closeReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countLocked(reason)
}

func (s *clientConns) countLocked(reason closeReason) {
	if s.closed == nil {
		s.closed = map[closeReason]int64{}
	}
	s.closed[reason]++
}

// phase is what a connection is used for.
type phase int32

const (
	phaseIdle phase = iota
	phaseHead
	phaseBody
	// phaseServing begins once the request is complete.
	phaseServing
)

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	conns *clientConns
	phase atomic.Int32
	// since is the look at which the phase began, and bodyLooks how many the body may take.
	since, bodyLooks atomic.Int64
	// writingSince is the look at which a write began plus one, zero without a write.
	writingSince atomic.Int64
	head         requestHead
	// element is the connection's place in clientConns.waiting, whose lock guards it.
	element *list.Element
}

// limitedListener is a listener whose connections are limited.
type limitedListener struct {
	net.Listener
	conns *clientConns
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(inner); c != nil {
			return c, nil
		}
		inner.Close()
	}
}

// admit adds a connection. If there are too many, the one that has been longest without a
// complete request is closed; without such a one, admit returns nil.
func (s *clientConns) admit(inner net.Conn) *clientConn {
	c := &clientConn{Conn: inner, conns: s}
	c.since.Store(s.looks.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*clientConn]bool{}
	}
	if len(s.open) >= s.max {
		oldest := s.waiting.Front()
		if oldest == nil {
			s.countLocked(closedAsFull)
			return nil
		}
		s.closeLocked(oldest.Value.(*clientConn), closedForOthers)
	}
	s.open[c] = true
	c.element = s.waiting.PushBack(c)
	return c
}

// closeLocked closes a connection for a reason.
func (s *clientConns) closeLocked(c *clientConn, reason closeReason) {
	s.countLocked(reason)
	s.forgetLocked(c)
	c.Conn.Close()
}

// forgetLocked removes a connection.
func (s *clientConns) forgetLocked(c *clientConn) {
	delete(s.open, c)
	if c.element != nil {
		s.waiting.Remove(c.element)
		c.element = nil
	}
}

// run closes overdue connections until ctx ends.
func (s *clientConns) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		s.closeOverdue()
	}
}

// closeOverdue closes the connections that are overdue, and reports those closed since the
// last time.
func (s *clientConns) closeOverdue() {
	look, limits := s.looks.Add(1), s.limits()
	s.mu.Lock()
	full := len(s.open) >= s.max
	for c := range s.open {
		if reason := c.overdue(look, limits, full); reason != "" {
			s.closeLocked(c, reason)
		}
	}
	open, closed := len(s.open), s.closed
	s.closed = nil
	s.mu.Unlock()
	for _, reason := range slices.Sorted(maps.Keys(closed)) {
		s.metrics.countTurnedAway(s.name, string(reason), closed[reason])
		if reason != closedIdle {
			number := event.ConnectionsClosed
			if reason.isRefusal() {
				number = event.RequestsRefused
			}
			s.log.Event(number, zap.String("listener", s.name), zap.String("reason", string(reason)), zap.Int64("count", closed[reason]), zap.Int("open", open))
		}
	}
}

// looksOf returns after how many looks a time has passed for certain.
func looksOf(d time.Duration) int64 { return int64((d+sweepInterval-1)/sweepInterval) + 1 }

// overdue returns why a connection is to be closed, and nothing if it is not.
func (c *clientConn) overdue(look int64, l clientLimits, full bool) closeReason {
	age := look - c.since.Load()
	switch phase(c.phase.Load()) {
	case phaseIdle:
		if age > looksOf(timeSlack*l.idleTime) {
			return closedIdle
		}
	case phaseHead:
		if age > looksOf(timeSlack*l.headTime) {
			return closedHeadLate
		}
	case phaseBody:
		if age > c.bodyLooks.Load() {
			return closedBodyLate
		}
	}
	if began := c.writingSince.Load(); began != 0 {
		age := look - (began - 1)
		if age > looksOf(timeSlack*l.idleTime) || (full && age > minUnreadLooks) {
			return closedUnread
		}
	}
	return ""
}

// begin begins a phase of the connection.
func (c *clientConn) begin(p phase) {
	c.since.Store(c.conns.looks.Load())
	c.phase.Store(int32(p))
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || phase(c.phase.Load()) > phaseHead {
		return n, err
	}
	// The server may already look for the end of the connection while it serves a request.
	if c.phase.CompareAndSwap(int32(phaseIdle), int32(phaseHead)) {
		c.since.Store(c.conns.looks.Load())
	}
	if reason, answer := c.addHead(p[:n]); reason != "" {
		return 0, c.refuseHead(reason, answer)
	}
	return n, err
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.writingSince.Store(c.conns.looks.Load() + 1)
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.conns.mu.Lock()
	c.conns.forgetLocked(c)
	c.conns.mu.Unlock()
	c.releaseHead(true)
	return c.Conn.Close()
}

// CloseWrite ends what the server sends, so that its last answer is read before the
// connection is closed.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// beginBody records that the head of a request was read and how long its body may take.
func (c *clientConn) beginBody(limit time.Duration) {
	if c == nil {
		return
	}
	c.bodyLooks.Store(looksOf(min(limit, timeSlack*c.conns.limits().idleTime)))
	c.begin(phaseBody)
}

// beginServing records that a request is complete.
func (c *clientConn) beginServing() {
	if c == nil {
		return
	}
	c.begin(phaseServing)
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.element != nil {
		c.conns.waiting.Remove(c.element)
		c.element = nil
	}
}

// beginIdle records that a request is answered.
func (c *clientConn) beginIdle() {
	c.releaseHead(false)
	c.begin(phaseIdle)
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.element != nil {
		c.conns.waiting.MoveToBack(c.element)
	} else if c.conns.open[c] {
		c.element = c.conns.waiting.PushBack(c)
	}
}

// clientConnKey is the key of a request's connection in its context.
type clientConnKey struct{}

// clientConnOf returns the connection of a request, nil if its listener is not limited.
func clientConnOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return c
}

// attach makes a server keep the phases of its connections.
func (s *clientConns) attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, clientConnKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if limited, ok := c.(*clientConn); ok && state == http.StateIdle {
			limited.beginIdle()
		}
	}
}
