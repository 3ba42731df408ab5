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
	// longSpan is the time over which the rate of many jobs is measured, with less
	// error than over minSpan. While the rate rises, that over minSpan counts, less
	// shortSpanMargin of it for its error.
	longSpan        = 600 * time.Millisecond
	shortSpanMargin = 0.1
	// historySize is how many arrivals are kept: those of longSpan at 850 jobs a
	// second.
	historySize = 512
	// burstEndGaps is the number of mean gaps without a job after which a burst is
	// over. Jobs that arrive at random leave such a gap in one of fifty cases.
	burstEndGaps = 4
	// minWorkWeight is the smallest weight of a new job in the mean work; the
	// first jobs weigh more. The work of jobs of one queue differs by a factor of
	// ten and more.
	minWorkWeight = 0.03
)

// Tracker estimates the rate of the work that is submitted to one pool. Its
// zero value is ready to use.
type Tracker struct {
	arrivals []time.Duration
	count    int
	// meanWork is the mean work of a job in core-seconds.
	meanWork float64
}

// AddJob records a submitted job, accepted or refused, with its work in
// core-seconds.
func (t *Tracker) AddJob(now time.Duration, work float64) {
	if len(t.arrivals) < historySize {
		t.arrivals = append(t.arrivals, now)
	} else {
		t.arrivals[t.count%historySize] = now
	}
	t.count++
	weight := max(minWorkWeight, 1/float64(t.count))
	t.meanWork += (work - t.meanWork) * weight
}

// arrival returns when the job that is the given number of jobs before the last one
// arrived.
func (t *Tracker) arrival(back int) time.Duration {
	return t.arrivals[(t.count-1-back)%historySize]
}

// Rate returns the rate of submitted work in cores: of the last sampleSize jobs, or of
// all jobs in minSpan and longSpan if they are more. It falls as time passes without jobs, and is
// zero before sampleSize jobs were recorded and once a burst is over.
func (t *Tracker) Rate(now time.Duration) float64 {
	if t.count < sampleSize {
		return 0
	}
	oldest, newest := t.arrival(sampleSize-1), t.arrival(0)
	if gap := max(newest-oldest, minSpan) / (sampleSize - 1); now-newest > burstEndGaps*gap+minSpan {
		return 0
	}
	if now-oldest >= minSpan {
		return t.meanWork * sampleSize / (now - oldest).Seconds()
	}
	short := float64(t.countSince(now-minSpan)) / minSpan.Seconds()
	long := float64(t.countSince(now-longSpan)) / longSpan.Seconds()
	return t.meanWork * max(short*(1-shortSpanMargin), long)
}

// countSince returns how many of the recorded jobs arrived after a time.
func (t *Tracker) countSince(start time.Duration) int {
	n := 0
	for n < len(t.arrivals) && t.arrival(n) > start {
		n++
	}
	return n
}
