// Package operator implements the HTTP interface through which operators
// configure and inspect the nodes: its messages, the handler and the client.
package operator
