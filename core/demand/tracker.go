package demand

import "time"

// Measuring constants.
const (
	// sample is over how many jobs the rate is measured: the rate of a busy queue
	// is known in a fraction of a second, that of a quiet one is not overrated by
	// two jobs that come together. Its error is about a third.
	sample = 8
	// minSpan bounds the rate that a few jobs at one moment make.
	minSpan = 200 * time.Millisecond
	// quietGaps is after how many usual gaps without a job a turn is over; jobs
	// that come at random leave such a gap in one of fifty cases.
	quietGaps = 4
	// sizeWeight is the weight of a new job in the mean size.
	sizeWeight = 0.1
)

// Tracker measures the work that is asked of one pool; its zero value is ready
// for use.
type Tracker struct {
	times [sample]time.Duration
	count int
	// size is the mean work of a job in core-seconds.
	size float64
}

// Add counts a job that was asked for, taken or refused, with its work in
// core-seconds.
func (t *Tracker) Add(now time.Duration, work float64) {
	t.times[t.count%sample] = now
	t.count++
	weight := max(sizeWeight, 1/float64(t.count))
	t.size += (work - t.size) * weight
}

// Rate returns the work that is asked for, in cores; it falls as time passes
// without jobs, and is zero once a turn is over.
func (t *Tracker) Rate(now time.Duration) float64 {
	if t.count < sample {
		return 0
	}
	oldest, newest := t.times[t.count%sample], t.times[(t.count-1)%sample]
	if gap := max(newest-oldest, minSpan) / (sample - 1); now-newest > quietGaps*gap+minSpan {
		return 0
	}
	return t.size * sample / max(now-oldest, minSpan).Seconds()
}
