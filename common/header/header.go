package header

import (
	"net/http"
	"strconv"
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

// WriteWhole sends a body in a way that lets the receiver notice a cut: with
// its length, or in chunks where trailers follow.
func WriteWhole(w http.ResponseWriter, status int, trailer http.Header, body []byte) {
	for name := range trailer {
		w.Header().Add("Trailer", name)
	}
	if len(trailer) == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	// A failed write means that the receiver is gone, which needs no answer.
	_, _ = w.Write(body)
	Copy(w.Header(), trailer)
}
