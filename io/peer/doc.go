// Package peer carries the messages between nodes.
package peer
