package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters reach the text; each report costs
// processor time.
const reportInterval = time.Second

// Metrics are the counters and histograms of a process.
type Metrics struct {
	tally.Scope
	closer   io.Closer
	reporter tallyprom.Reporter
}

// New returns metrics without any figure.
func New() *Metrics {
	// Several nodes may live in one process, each with a registry of its own.
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "jacinthwind",
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, closer: closer, reporter: reporter}
}

// Close ends the reports.
func (m *Metrics) Close() error { return m.closer.Close() }

// Handler serves the figures as text.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Count counts the calls and the bytes of an interface to peer.
func (m *Metrics) Count(peer string, next http.Handler) http.Handler {
	scope := m.Tagged(map[string]string{"peer": peer})
	calls := scope.Counter("calls")
	received := scope.Counter("received_bytes")
	sent := scope.Counter("sent_bytes")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Inc(1)
		received.Inc(max(r.ContentLength, 0))
		counter := &countingWriter{ResponseWriter: w}
		next.ServeHTTP(counter, r)
		sent.Inc(counter.bytes)
	})
}

// countingWriter counts the bytes of an answer's body.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *countingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
