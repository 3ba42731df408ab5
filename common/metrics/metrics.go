package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters are copied to the Prometheus registry. A
// shorter interval costs more CPU time.
const reportInterval = time.Second

// Metrics holds the counters and histograms of one node.
type Metrics struct {
	tally.Scope
	closer   io.Closer
	reporter tallyprom.Reporter
}

// New returns Metrics without any counter or histogram.
func New() *Metrics {
	// Each Metrics has its own registry, as one process may run several nodes.
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "jacinthwind",
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, closer: closer, reporter: reporter}
}

// Close stops the reports.
func (m *Metrics) Close() error { return m.closer.Close() }

// Handler returns a handler that serves the metrics as text.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// CountCalls returns a handler that calls next and counts calls, received bytes
// and sent bytes under the tag peer.
func (m *Metrics) CountCalls(peer string, next http.Handler) http.Handler {
	scope := m.Tagged(map[string]string{"peer": peer})
	calls := scope.Counter("calls")
	received := scope.Counter("received_bytes")
	sent := scope.Counter("sent_bytes")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Inc(1)
		received.Inc(max(r.ContentLength, 0))
		counted := &countingWriter{ResponseWriter: w}
		next.ServeHTTP(counted, r)
		sent.Inc(counted.bytes)
	})
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

// Write writes p to the wrapped writer and counts the bytes written.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *countingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
