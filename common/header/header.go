package header

import (
	"net/http"
	"strings"
)

// The headers that the system reads and writes.
const (
	IdempotencyKey = "Idempotency-Key"
	Authorization  = "Authorization"
	RetryAfter     = "Retry-After"

	prefix = "Jacinthwind-"

	RequestID  = prefix + "Request-Id"
	Outcome    = prefix + "Outcome"
	Reason     = prefix + "Reason"
	Deadline   = prefix + "Deadline-Ms"
	Priority   = prefix + "Priority"
	Idempotent = prefix + "Idempotent"
	Meta       = prefix + "Meta"
	Status     = prefix + "Status"
	Protocol   = prefix + "Protocol"

	Attempt    = prefix + "Attempt"
	Team       = prefix + "Team"
	StartBy    = prefix + "Start-By"
	LeaseUntil = prefix + "Lease-Until"
	Started    = prefix + "Started"
	Stopped    = prefix + "Stopped"
)

// hopByHop lists the headers that belong to one connection, and those that the
// system itself consumes.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", IdempotencyKey, "X-" + IdempotencyKey, Authorization,
}

// EndToEnd returns the headers that pass through to the other end.
func EndToEnd(h http.Header) http.Header {
	passed := h.Clone()
	for _, name := range hopByHop {
		passed.Del(name)
	}
	for name := range passed {
		if strings.HasPrefix(name, prefix) {
			delete(passed, name)
		}
	}
	return passed
}

// Copy adds all headers of src to dst.
func Copy(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append(dst[name], values...)
	}
}

// CopyTrailer adds the trailers of src to dst after the body was written.
func CopyTrailer(dst, src http.Header) {
	for name, values := range src {
		for _, v := range values {
			dst.Add(http.TrailerPrefix+name, v)
		}
	}
}
