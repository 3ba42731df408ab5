package edge

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnreadBytesOfAClientAreLimited guards against clients that fill the machine's memory with
// requests that the process does not read: it counts what a client can send unread.
func TestUnreadBytesOfAClientAreLimited(t *testing.T) {
	l, err := listenForClients("127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	const ownBuffer = 4 << 10
	require.NoError(t, c.(*net.TCPConn).SetWriteBuffer(ownBuffer))
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
	sent := 0
	for part := make([]byte, 1024); err == nil; {
		var n int
		n, err = c.Write(part)
		sent += n
	}
	require.LessOrEqual(t, sent, 2*clientReceiveBuffer+4*ownBuffer)
}
