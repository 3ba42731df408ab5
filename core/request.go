package core

import (
	"net/http"
	"time"
)

// Priority is the class in which a request waits.
type Priority uint8

// The priorities of a request.
const (
	Normal Priority = iota
	Urgent
)

// String returns the name used in messages.
func (p Priority) String() string {
	if p == Urgent {
		return "urgent"
	}
	return "normal"
}

// Request is one piece of work that a caller hands in.
type Request struct {
	// ID identifies the request over all retries of the caller.
	ID string
	// IssuedAt is the creation time that the ID carries, zero where it has none.
	IssuedAt time.Time
	Queue    string
	// Team is the team that is charged, empty for anonymous work on an open queue.
	Team string
	// KeyHash is the digest of the key that came with the request, empty on an
	// open queue.
	KeyHash    string
	Priority   Priority
	Idempotent bool
	Deadline   time.Time
	Payload    *Payload
}

// Payload is a message body with its headers.
type Payload struct {
	Header  http.Header
	Trailer http.Header
	Body    []byte
}

// Answer is the whole response of an executor.
type Answer struct {
	Status int
	Payload
}
