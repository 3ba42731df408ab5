package demand

import "time"

// Parameters of the rate estimate.
const (
	// sampleSize is the number of jobs over which the rate is measured. With this
	// number the rate of a busy queue is known within a fraction of a second, and
	// two jobs that arrive together on a quiet queue do not inflate its rate. The
	// error of the estimate is about a third.
	sampleSize = 8
	// minSpan is the shortest time over which the rate is measured; it limits the
	// rate of a few jobs that arrive at the same moment.
	minSpan = 200 * time.Millisecond
	// burstEndGaps is the number of mean gaps without a job after which a burst is
	// over. Jobs that arrive at random leave such a gap in one of fifty cases.
	burstEndGaps = 4
	// minWorkWeight is the smallest weight of a new job in the mean work; the
	// first jobs weigh more.
	minWorkWeight = 0.1
)

// Tracker estimates the rate of the work that is submitted to one pool. Its
// zero value is ready to use.
type Tracker struct {
	arrivals [sampleSize]time.Duration
	count    int
	// meanWork is the mean work of a job in core-seconds.
	meanWork float64
}

// AddJob records a submitted job, accepted or refused, with its work in
// core-seconds.
func (t *Tracker) AddJob(now time.Duration, work float64) {
	t.arrivals[t.count%sampleSize] = now
	t.count++
	weight := max(minWorkWeight, 1/float64(t.count))
	t.meanWork += (work - t.meanWork) * weight
}

// Rate returns the rate of submitted work in cores. It falls as time passes
// without jobs, and is zero before sampleSize jobs were recorded and once a burst
// is over.
func (t *Tracker) Rate(now time.Duration) float64 {
	if t.count < sampleSize {
		return 0
	}
	oldest, newest := t.arrivals[t.count%sampleSize], t.arrivals[(t.count-1)%sampleSize]
	if gap := max(newest-oldest, minSpan) / (sampleSize - 1); now-newest > burstEndGaps*gap+minSpan {
		return 0
	}
	return t.meanWork * sampleSize / max(now-oldest, minSpan).Seconds()
}
