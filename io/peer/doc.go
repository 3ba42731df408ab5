// Package peer implements the HTTP interface between nodes: its messages, the
// handler and the client.
package peer
