package edge

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
)

const (
	// headLineBytes is the memory that a line of a head takes in addition to its text.
	headLineBytes = 128
	// freeHeadBytes is the memory that a head may take without a reservation, and
	// headReservation the smallest reservation beyond it.
	freeHeadBytes   = 8 << 10
	headReservation = 4 << 10
	// readAheadBytes is how much of what follows a head the server may read with it.
	readAheadBytes = 4 << 10
	// defaultHeadBytes is the largest head while the operators have set no limit.
	defaultHeadBytes = 64 << 10
	// maxReadyHeadBytes is the largest head of a readiness check.
	maxReadyHeadBytes = 8 << 10
)

// The answers to heads that are not read to their end.
const (
	headTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noMemoryAnswer     = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

var errHeadRefused = errors.New("read head of a request: refused")

// requestHead counts the head of a request while it is read.
type requestHead struct {
	mu sync.Mutex
	// bytes and lines were read, reserved bytes of memory are taken from the budget.
	bytes, lines, reserved int64
	dropped                bool
}

// addHead counts a part of a head. It returns why the connection is to be closed and what to
// answer, or nothing.
func (c *clientConn) addHead(part []byte) (closeReason, string) {
	h := &c.head
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes += int64(len(part))
	h.lines += int64(bytes.Count(part, []byte{'\n'}))
	if h.bytes > c.conns.limits().headBytes+readAheadBytes {
		return closedHeadSize, headTooLargeAnswer
	}
	if !c.reserveHeadLocked(h.bytes + h.lines*headLineBytes) {
		return refusedHeadMemory, noMemoryAnswer
	}
	return "", ""
}

// reserveHeadLocked takes the memory of a head from the budget and reports whether it fits.
func (c *clientConn) reserveHeadLocked(bytes int64) bool {
	h := &c.head
	missing := bytes - freeHeadBytes - h.reserved
	if missing <= 0 || h.dropped {
		return true
	}
	missing = max(missing, headReservation)
	if !c.conns.memory.reserve(missing) {
		return false
	}
	h.reserved += missing
	return true
}

// refuseHead answers a request whose head is not read to its end.
func (c *clientConn) refuseHead(reason closeReason, answer string) error {
	c.conns.count(reason)
	// The caller may be gone.
	_, _ = c.Write([]byte(answer))
	// The server closes the connection after an error of this type without an answer.
	return &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
}

// headRead records that the head of a request was read, and reports whether there is memory
// for it. Of requests that follow each other closely only this tells the number of lines.
func (c *clientConn) headRead(r *http.Request) bool {
	if c == nil {
		return true
	}
	c.head.mu.Lock()
	defer c.head.mu.Unlock()
	return c.reserveHeadLocked(int64(len(r.Header)) * headLineBytes)
}

// dropHead frees the memory of a request's head, which the server would keep until the
// request is answered.
func (c *clientConn) dropHead(r *http.Request) {
	r.Header = nil
	if c != nil {
		c.releaseHead(false)
	}
}

// releaseHead returns the memory of a head to the budget, for good if the connection is closed.
func (c *clientConn) releaseHead(closed bool) {
	h := &c.head
	h.mu.Lock()
	defer h.mu.Unlock()
	c.conns.memory.release(h.reserved)
	h.bytes, h.lines, h.reserved = 0, 0, 0
	h.dropped = h.dropped || closed
}
