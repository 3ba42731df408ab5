package core

import (
	"net/http"
	"time"
)

// Priority is the scheduling class of a request.
type Priority uint8

// The priorities of a request.
const (
	Normal Priority = iota
	Urgent
)

// String returns the priority's name on the wire.
func (p Priority) String() string {
	if p == Urgent {
		return "urgent"
	}
	return "normal"
}

// Request is a unit of work that a caller submits.
type Request struct {
	// ID identifies the request across the caller's retries.
	ID string
	// IssuedAt is the creation time encoded in the ID, zero if the ID has none.
	IssuedAt time.Time
	Queue    string
	// Team is the team that is charged, empty for a request without a key on an
	// open queue.
	Team string
	// KeyDigest is the digest of the key sent with the request, empty on an open
	// queue.
	KeyDigest  string
	Priority   Priority
	Idempotent bool
	Deadline   time.Time
	Payload    *Payload
}

// Payload is a message body with its headers and trailers.
type Payload struct {
	Header  http.Header
	Trailer http.Header
	Body    []byte
}

// Answer is the complete response of an executor.
type Answer struct {
	Status int
	Payload
}
