package edge

import (
	"context"
	"net"
	"syscall"
)

// The buffers of a client's connection in the operating system, in bytes. They hold what the
// process has not read yet and what the client does not read.
const (
	clientReceiveBuffer = 16 << 10
	clientSendBuffer    = 32 << 10
)

// listenForClients listens at an address with small buffers for each connection.
func listenForClients(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Connections inherit the buffers of the listener. Without them its default
			// holds.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientReceiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, clientSendBuffer)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}
