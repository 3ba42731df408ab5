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

// notForwarded lists the hop-by-hop headers, and the end-to-end headers that the
// system consumes itself.
var notForwarded = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", IdempotencyKey, "X-" + IdempotencyKey, Authorization,
}

// SelectEndToEnd returns a copy of h with only the headers to forward: without
// those of notForwarded and without the system's own.
func SelectEndToEnd(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, name := range notForwarded {
		forwarded.Del(name)
	}
	for name := range forwarded {
		if strings.HasPrefix(name, prefix) {
			delete(forwarded, name)
		}
	}
	return forwarded
}

// AddAll appends all header values of src to dst.
func AddAll(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append(dst[name], values...)
	}
}

// WriteResponse writes a response that the receiver can detect as truncated: it
// sets Content-Length, or leaves the body to chunked encoding if there are
// trailers.
func WriteResponse(w http.ResponseWriter, status int, trailer http.Header, body []byte) {
	for name := range trailer {
		w.Header().Add("Trailer", name)
	}
	if len(trailer) == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	// A write fails only if the receiver has disconnected.
	_, _ = w.Write(body)
	AddAll(w.Header(), trailer)
}
