package edge

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"jacinthwind/common/metrics"
	"jacinthwind/core/event"
)

// latencyBuckets range from calls within a data centre to the longest wait of a
// caller.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// CallMetrics records the number and the duration of a process's calls; a nil
// CallMetrics records nothing.
type CallMetrics struct{ *metrics.Metrics }

// recordCall counts a call of a hop by its outcome and records its duration.
func (m *CallMetrics) recordCall(hop, outcome string, took time.Duration) {
	if m == nil || m.Metrics == nil {
		return
	}
	m.Tagged(map[string]string{"hop": hop, "outcome": outcome}).Counter("calls").Inc(1)
	m.Tagged(map[string]string{"hop": hop}).Histogram("latency", latencyBuckets).RecordDuration(took)
}

// eventCounters names the counters of the events whose number matters more than any
// single one.
var eventCounters = map[event.Number]string{
	event.ExecutorLost:    "executors_lost",
	event.ExecutorResized: "executors_resized",
	event.RunLost:         "runs_lost",
	event.RunNotWanted:    "runs_not_wanted",
	event.RunVacated:      "runs_vacated",
	event.RunStraggles:    "runs_straggled",
	event.JobFailed:       "jobs_failed",
	event.JobRunsStopped:  "jobs_stopped",
	event.TaskGivenUp:     "tasks_given_up",
	event.RestartDelayed:  "service_restarts_delayed",
	event.TaskWaits:       "service_tasks_waiting_s",
	event.JobRefused:      "jobs_refused",
	event.RunTimeOdd:      "run_times_odd",
	event.ExecutorSlow:    "executors_slow_changes",
	event.PlaceSetAside:   "places_set_aside",
	event.PlaceGivenBack:  "places_given_back",
	event.OwnerYields:     "handovers_for_a_better_vm",
}

// countEvent counts an event that has a counter.
func (m *CallMetrics) countEvent(n event.Number) {
	name, ok := eventCounters[n]
	if !ok || m == nil || m.Metrics == nil {
		return
	}
	m.Counter(name).Inc(1)
}

// recordStart records how long a task has waited for its start, by its size, from the fields of the
// log event.
func (m *CallMetrics) recordStart(fields []any) {
	if m == nil || m.Metrics == nil {
		return
	}
	var band string
	var waitedMs int64
	for i := 0; i+1 < len(fields); i += 2 {
		switch fields[i] {
		case "size_band":
			band, _ = fields[i+1].(string)
		case "waited_ms":
			waitedMs, _ = fields[i+1].(int64)
		}
	}
	m.Tagged(map[string]string{"size": band}).Histogram("task_wait", latencyBuckets).RecordDuration(time.Duration(waitedMs) * time.Millisecond)
}

// countTurnedAway counts connections to a listener that were closed, and requests that were
// refused for want of memory, by their reason.
func (m *CallMetrics) countTurnedAway(listener, reason string, n int64) {
	if m == nil || m.Metrics == nil {
		return
	}
	m.Tagged(map[string]string{"listener": listener, "reason": reason}).Counter("clients_turned_away").Inc(n)
}

// handler returns the HTTP handler that serves the metrics as text.
func (m *CallMetrics) handler() http.Handler {
	if m == nil || m.Metrics == nil {
		return http.NotFoundHandler()
	}
	return m.Handler()
}
