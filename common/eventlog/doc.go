// Package eventlog writes numbered events as JSON lines, within a budget and
// without ever waiting for the reader.
package eventlog
