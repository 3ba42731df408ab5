package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
)

// nextPort is the port from which freePorts looks on.
var (
	portMu   sync.Mutex
	nextPort = 21000
)

// freePorts returns the first of n loopback ports that follow each other and are free.
func freePorts(n int) (int, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range 2000 {
		first := nextPort
		nextPort += n
		if nextPort > 32000 {
			nextPort = 21000
		}
		free := true
		for i := range n {
			l, err := net.Listen("tcp", address(first+i))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// loopback is the loopback address of this process, so that cases may run at the same time.
var loopback = fmt.Sprintf("127.2.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)

// address returns the loopback address with a port.
func address(port int) string { return fmt.Sprintf("%s:%d", loopback, port) }

// server is an HTTP server whose connections can be cut: while it is cut nothing that
// arrives is read and nothing is sent. What arrived meanwhile is lost.
type server struct {
	address string
	handler http.Handler

	mu     sync.Mutex
	cond   *sync.Cond
	cut    bool
	closed bool
	conns  map[*cutConn]bool
	http   *http.Server
}

// serve serves a handler at an address, on a free port if it is empty.
func serve(at string, handler http.Handler) (*server, error) {
	if at == "" {
		port, err := freePorts(1)
		if err != nil {
			return nil, err
		}
		at = address(port)
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	s := &server{address: at, handler: handler, conns: map[*cutConn]bool{}}
	s.cond = sync.NewCond(&s.mu)
	s.http = &http.Server{Handler: handler}
	go func() { _ = s.http.Serve(&cutListener{l, s}) }()
	return s, nil
}

// setCut cuts the server off, or heals the cut: connections of the time of the cut are gone.
func (s *server) setCut(cut bool) {
	s.mu.Lock()
	s.cut = cut
	var gone []*cutConn
	if !cut {
		for c := range s.conns {
			if c.wasCut {
				c.dead = true
				gone = append(gone, c)
			}
		}
	} else {
		for c := range s.conns {
			c.wasCut = true
		}
	}
	s.cond.Broadcast()
	s.mu.Unlock()
	for _, c := range gone {
		c.Conn.Close()
	}
}

// silence makes all open connections silent for good, without a reset. New ones work.
func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent = true
	}
}

// close ends the server and its connections.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	s.cond.Broadcast()
	s.mu.Unlock()
	s.http.Close()
}

type cutListener struct {
	net.Listener
	s *server
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: inner, s: l.s}
	l.s.mu.Lock()
	c.wasCut = l.s.cut
	l.s.conns[c] = true
	l.s.mu.Unlock()
	return c, nil
}

type cutConn struct {
	net.Conn
	s                    *server
	wasCut, dead, silent bool
}

// wait waits for the end of a cut and reports whether the connection still works.
func (c *cutConn) wait() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	for (c.s.cut || c.silent) && !c.s.closed && !c.dead {
		c.s.cond.Wait()
	}
	return !c.dead
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.wait() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if !c.wait() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.dead = true
	c.s.cond.Broadcast()
	c.s.mu.Unlock()
	return c.Conn.Close()
}
