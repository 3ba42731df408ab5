package target

import (
	"sync"
	"time"
)

// Start describes the start of one task on an executor.
type Start struct {
	RequestID  string
	Attempt    string
	Team       string
	VM         string
	DataCentre string
	At         time.Time
	// TeamRunning is the number of the team's running tasks on all executors,
	// including this one.
	TeamRunning int
}

// Recorder records the starts and ends of tasks on all executors of a fleet. Its
// zero value is ready to use.
type Recorder struct {
	mu          sync.Mutex
	starts      []Start
	running     map[string]int
	completions map[string]int
	stopped     int
	// runTimes is the total run time by team.
	runTimes map[string]time.Duration
}

func (r *Recorder) recordStart(s Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(map[string]int)
		r.completions = make(map[string]int)
		r.runTimes = make(map[string]time.Duration)
	}
	r.running[s.Team]++
	s.TeamRunning = r.running[s.Team]
	r.starts = append(r.starts, s)
}

func (r *Recorder) recordEnd(requestID, team string, ran time.Duration, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[team]--
	r.runTimes[team] += ran
	if completed {
		r.completions[requestID]++
	} else {
		r.stopped++
	}
}

// Starts returns all starts so far in the order in which they were recorded.
func (r *Recorder) Starts() []Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Start(nil), r.starts...)
}

// CountCompleted returns the number of completed tasks of a request.
func (r *Recorder) CountCompleted(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completions[requestID]
}

// CountStopped returns the number of tasks that ended before they completed.
func (r *Recorder) CountStopped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// SumRunTimes returns the total run time by team.
func (r *Recorder) SumRunTimes() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := make(map[string]time.Duration, len(r.runTimes))
	for team, d := range r.runTimes {
		sums[team] = d
	}
	return sums
}
