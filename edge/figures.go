package edge

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"jacinthwind/common/metrics"
)

// latencyBuckets fit calls within a data centre up to what a caller waits for.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// Figures count and time what a process does; nil counts nothing.
type Figures struct{ *metrics.Metrics }

// observe counts a call of a hop with its outcome and its duration.
func (f *Figures) observe(hop, outcome string, took time.Duration) {
	if f == nil || f.Metrics == nil {
		return
	}
	f.Tagged(map[string]string{"hop": hop, "outcome": outcome}).Counter("calls").Inc(1)
	f.Tagged(map[string]string{"hop": hop}).Histogram("latency", latencyBuckets).RecordDuration(took)
}

// handler serves the figures as text.
func (f *Figures) handler() http.Handler {
	if f == nil || f.Metrics == nil {
		return http.NotFoundHandler()
	}
	return f.Handler()
}
