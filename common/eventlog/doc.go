// Package eventlog writes numbered events as JSON lines. It limits the lines per
// event and second, and never blocks the caller on a slow reader of the log.
package eventlog
