package executor

import (
	"net/http"
	"strconv"
	"time"

	"jacinthwind/core"
)

// Paths of an executor's calls.
const (
	PathTasks = "/v1/tasks"
	PathStop  = "/v1/stop"
	PathUsage = "/v1/usage"
)

// StopQuery asks an executor to end a task early.
type StopQuery struct {
	Attempt string `json:"attempt"`
}

// StopReply answers a StopQuery.
type StopReply struct {
	// Running reports whether the task was still running.
	Running bool `json:"running"`
}

// UsageQuery renews task leases and asks for a usage report.
type UsageQuery struct {
	Renew []Lease `json:"renew,omitempty"`
}

// Lease is the lease of one task.
type Lease struct {
	Attempt string `json:"attempt"`
	// UntilMS is the end of the lease in milliseconds since the Unix epoch.
	UntilMS int64 `json:"until_ms"`
}

// UsageReply is an executor's usage report.
type UsageReply struct {
	Executor string `json:"executor"`
	// Instance identifies the incarnation of the executor.
	Instance string        `json:"instance"`
	Slots    int           `json:"slots"`
	Draining bool          `json:"draining,omitempty"`
	Running  []RunningTask `json:"running,omitempty"`
	Ended    []string      `json:"ended,omitempty"`
}

// RunningTask is a running task in a usage report.
type RunningTask struct {
	Lease
	RequestID string `json:"request_id"`
	Team      string `json:"team"`
}

// FormatTime formats a time for the task headers, in milliseconds since the Unix
// epoch.
func FormatTime(t time.Time) string {
	return strconv.FormatInt(t.UnixMilli(), 10)
}

// ParseTime parses a header that FormatTime wrote. It returns the zero time if the
// header is missing or invalid.
func ParseTime(h http.Header, name string) time.Time {
	ms, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// decode converts the report to core.Usage.
func (r *UsageReply) decode() (core.Usage, error) {
	u := core.Usage{Executor: r.Executor, Instance: r.Instance, Slots: r.Slots, Draining: r.Draining}
	for _, t := range r.Running {
		id, err := core.ParseAttemptID(t.Attempt)
		if err != nil {
			return u, err
		}
		u.Running = append(u.Running, core.RunningTask{
			Attempt: id, RequestID: t.RequestID, Team: t.Team, LeaseUntil: time.UnixMilli(t.UntilMS),
		})
	}
	for _, s := range r.Ended {
		id, err := core.ParseAttemptID(s)
		if err != nil {
			return u, err
		}
		u.Ended = append(u.Ended, id)
	}
	return u, nil
}
