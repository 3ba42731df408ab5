package edge

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/common/eventlog"
)

// newTestConns returns clientConns for at most max connections, and a function that opens one.
func newTestConns(max int) (*clientConns, func() *clientConn) {
	s := &clientConns{max: max, log: eventlog.Nop(), memory: &memoryBudget{limit: 64 << 10}, limits: func() clientLimits {
		return clientLimits{headTime: 3 * time.Second, idleTime: 15 * time.Second, headBytes: 16 << 10}
	}}
	return s, func() *clientConn {
		inner, _ := net.Pipe()
		return s.admit(inner)
	}
}

// TestConnectionLongestWithoutRequestGivesWay checks which connection is closed for a new one:
// never one whose request is complete.
func TestConnectionLongestWithoutRequestGivesWay(t *testing.T) {
	s, open := newTestConns(3)
	serving, answered, silent := open(), open(), open()
	serving.beginServing()
	answered.beginServing()
	answered.beginIdle()
	sending := open()
	require.Equal(t, map[*clientConn]bool{serving: true, answered: true, sending: true}, s.open, "%p was silent for longest", silent)
	sending.beginBody(time.Second)
	latest := open()
	require.Equal(t, map[*clientConn]bool{serving: true, sending: true, latest: true}, s.open)
	sending.beginServing()
	latest.beginServing()
	require.Nil(t, open(), "all connections have requests in progress")
	require.NoError(t, serving.Close())
	require.NotNil(t, open())
	answered.beginIdle()
	require.Len(t, s.open, 3)
	require.Equal(t, 1, s.waiting.Len(), "a closed connection does not wait again")
}

// TestOverdueConnectionIsClosed checks after how many looks a connection is closed in each
// phase. A connection whose request is in progress stays open.
func TestOverdueConnectionIsClosed(t *testing.T) {
	for _, test := range []struct {
		name   string
		begin  func(c *clientConn)
		looks  int
		reason closeReason
	}{
		{"idle", func(c *clientConn) { c.beginIdle() }, 31, closedIdle},
		{"head", func(c *clientConn) { c.begin(phaseHead) }, 7, closedHeadLate},
		{"body", func(c *clientConn) { c.beginBody(2500 * time.Millisecond) }, 4, closedBodyLate},
		{"body of a patient caller", func(c *clientConn) { c.beginBody(time.Hour) }, 31, closedBodyLate},
		{"serving", func(c *clientConn) { c.beginServing() }, 100, ""},
		{"unread answer", func(c *clientConn) { c.beginServing(); c.writingSince.Store(c.conns.looks.Load() + 1) }, 31, closedUnread},
	} {
		s, open := newTestConns(2)
		c := open()
		s.looks.Store(50)
		test.begin(c)
		for range test.looks {
			s.closeOverdue()
		}
		require.True(t, s.open[c], test.name)
		s.looks.Add(1)
		require.Equal(t, test.reason, c.overdue(s.looks.Load(), s.limits(), false), test.name)
	}
}

// TestCallersLeaveDescriptorsToOthers checks that callers cannot use up a process's descriptors,
// and that a process without limits in its settings limits them, too.
func TestCallersLeaveDescriptorsToOthers(t *testing.T) {
	require.Equal(t, 1136, newProcessLimits(284<<20, 4100).callerConns)
	require.Equal(t, 160, newProcessLimits(284<<20, 600).callerConns)
	require.Equal(t, 160, newProcessLimits(40<<20, 4100).callerConns)
	require.Equal(t, 1024, newProcessLimits(0, 0).callerConns)
}

// TestManyRequestsOnOneConnectionPass guards against counting the heads of all requests of a
// connection as one.
func TestManyRequestsOnOneConnectionPass(t *testing.T) {
	s, _ := newTestConns(1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Listener = limitedListener{server.Listener, s}
	s.attach(server.Config)
	server.Start()
	defer server.Close()
	for range 300 {
		resp, err := server.Client().Get(server.URL)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Len(t, s.open, 1)
	require.Zero(t, s.memory.used.Load())
}

// TestClosedListenerEndsAccept checks that the limit of connections does not hide the end of a
// listener.
func TestClosedListenerEndsAccept(t *testing.T) {
	s, _ := newTestConns(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{}
	s.attach(server)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(limitedListener{l, s}) }()
	require.NoError(t, l.Close())
	require.Error(t, <-ended)
}
