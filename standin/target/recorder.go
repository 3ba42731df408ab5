package target

import (
	"sync"
	"time"
)

// Start is one task as an executor saw it start.
type Start struct {
	RequestID  string
	Attempt    string
	Team       string
	VM         string
	DataCentre string
	At         time.Time
	// TeamRunning is the number of the team's tasks over the fleet with this one.
	TeamRunning int
}

// Recorder sees every start and end over a whole fleet; its zero value works.
type Recorder struct {
	mu      sync.Mutex
	starts  []Start
	running map[string]int
	ended   map[string]int
	stopped int
	// slotTime sums the run time by team.
	slotTime map[string]time.Duration
}

func (r *Recorder) start(s Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(map[string]int)
		r.ended = make(map[string]int)
		r.slotTime = make(map[string]time.Duration)
	}
	r.running[s.Team]++
	s.TeamRunning = r.running[s.Team]
	r.starts = append(r.starts, s)
}

func (r *Recorder) end(requestID, team string, ran time.Duration, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[team]--
	r.slotTime[team] += ran
	if whole {
		r.ended[requestID]++
	} else {
		r.stopped++
	}
}

// Starts returns all starts so far in order.
func (r *Recorder) Starts() []Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Start(nil), r.starts...)
}

// Ended returns how often the task of a request ran to its end.
func (r *Recorder) Ended(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended[requestID]
}

// Stopped returns the number of tasks that were ended early.
func (r *Recorder) Stopped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// SlotTime returns the sum of the run times by team.
func (r *Recorder) SlotTime() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := make(map[string]time.Duration, len(r.slotTime))
	for team, d := range r.slotTime {
		sums[team] = d
	}
	return sums
}
