package estimate

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// Limits of what is learnt.
const (
	// maxQueues and maxImages bound the entries of a Book; the least recently used go first.
	maxQueues = 64
	maxImages = 256
	// maxWeight is the weight, in whole steps, beyond which older reports count less: a change
	// of the callers' habits shows after about as many steps.
	maxWeight = 200
	// halfLife is the time after which a report counts half.
	halfLife = 10 * time.Minute
	// priorWeight is how many steps the caller's word weighs. With as many reports the
	// prediction lies half way between the word and what was measured.
	priorWeight = 4
	// priorSpread is the weight of the assumption that run times are in proportion to the
	// estimates, in steps times the square of a factor's logarithm.
	priorSpread = 4
	// maxFactor is the largest factor between a run time and an estimate that is believed, of
	// a single report as well as of a prediction.
	maxFactor = 16
	// longFactor is from which factor on a run time counts as one of the tail.
	longFactor = 3
	// minSigma and maxSigma bound the assumed spread of run times about a prediction, as the
	// standard deviation of the logarithm. priorSigma is assumed without reports.
	minSigma, maxSigma, priorSigma = 0.1, 1.2, 0.4
	// A report counts once its run would have ended even if it took ripeFactor times as long as
	// expected, at least minRipeAge and at most maxRipeAge after its start: of the runs that
	// begin together the short ones end first, and would pass for all.
	ripeFactor             = 2
	minRipeAge, maxRipeAge = time.Second, 30 * time.Second
	// maxPending bounds the reports that wait to be counted.
	maxPending = 4096
	// maxEstimate bounds estimates, so that sums over many steps do not overflow.
	maxEstimate = 1 << 30 * time.Millisecond
)

// Kind says what a report shows.
type Kind uint8

// The kinds of reports.
const (
	// Whole runs ended by themselves, from the start of the task to its end.
	Whole Kind = iota
	// Cut runs did not show how long the task takes: they were stopped, lapsed, resumed
	// from a checkpoint, or ran on a slow executor or away from their data. Their time is
	// a lower bound at most.
	Cut
	// Faulty runs failed by the fault of their task.
	Faulty
)

// Report tells how a run ended.
type Report struct {
	Queue, Image string
	Kind         Kind
	// Estimate is what the caller said, Took the time of the run. A report without either
	// shows no run time.
	Estimate, Took time.Duration
	// Began is when the run began, zero if the report counts at once.
	Began time.Duration
	// Weight is the share of the report in its step, 1 if zero: the tasks of a step are
	// alike, and many of them show little more than one.
	Weight float64
}

// Prediction is what is expected of the run time of a task.
type Prediction struct {
	// Typical is the median, Mean the mean.
	Typical, Mean time.Duration
	// Sigma is the standard deviation of the logarithm of the run time.
	Sigma float64
	// Tail is the share of runs that take longFactor times as long as predicted or longer.
	Tail float64
	// Confidence is from 0, the caller's word alone, to 1.
	Confidence float64
}

// Late returns the run time that a task exceeds only if it belongs to the longest of its kind:
// three standard deviations above the median.
func (p Prediction) Late() time.Duration {
	return time.Duration(float64(p.Typical) * math.Exp(3*p.Sigma))
}

// moments holds sums over weighted reports, of x, the logarithm of the estimate, and d, the
// logarithm of the run time less x.
type moments struct {
	N, X, D, XX, XD, DD float64
	// Long is the weight of the reports of the tail.
	Long float64
	// Ended and Failed count ends by the task itself.
	Ended, Failed float64
	at            time.Duration
}

func (m *moments) add(x, d, w float64) {
	m.N += w
	m.X += w * x
	m.D += w * d
	m.XX += w * x * x
	m.XD += w * x * d
	m.DD += w * d * d
}

func (m *moments) scale(f float64) {
	for _, v := range []*float64{&m.N, &m.X, &m.D, &m.XX, &m.XD, &m.DD, &m.Long, &m.Ended, &m.Failed} {
		*v *= f
	}
}

// fade lets older reports count less.
func (m *moments) fade(now time.Duration) {
	if age := now - m.at; age > halfLife/100 {
		m.scale(math.Exp2(-age.Seconds() / halfLife.Seconds()))
		m.at = now
	}
	if m.N > maxWeight {
		m.scale(maxWeight / m.N)
	}
}

// line is a linear prediction of d by x.
type line struct{ x, d, slope, variance float64 }

// fit returns the line through the reports. The slope is regular: with few reports, or
// estimates that hardly differ, run times count as in proportion to the estimates.
func (m *moments) fit() line {
	if m.N <= 0 {
		return line{variance: priorSigma * priorSigma}
	}
	l := line{x: m.X / m.N, d: m.D / m.N}
	xx, xd, dd := max(m.XX-m.N*l.x*l.x, 0), m.XD-m.N*l.x*l.d, max(m.DD-m.N*l.d*l.d, 0)
	l.slope = min(max(xd/(xx+priorSpread), -1), 1)
	residual := max(dd-2*l.slope*xd+l.slope*l.slope*xx, 0)
	l.variance = (residual + priorWeight*priorSigma*priorSigma) / (m.N + priorWeight)
	return l
}

// Book holds what was learnt of the run times of all queues and images. The zero value is
// ready for use.
type Book struct {
	queues map[string]*moments
	images map[imageKey]*moments
	// pending holds the reports that do not count yet, the ripest first.
	pending reports
	// Odd counts reports whose factor was beyond what is believed.
	Odd int64
}

// imageKey names an image of a queue.
type imageKey struct{ queue, image string }

// Record takes a report, and learns from those that are ripe.
func (b *Book) Record(now time.Duration, r Report) {
	if r.Began == 0 {
		b.learn(now, r)
	} else {
		expected := max(b.Predict(r.Queue, r.Image, r.Estimate).Typical, r.Estimate)
		ripe := min(max(ripeFactor*min(expected, maxRipeAge), minRipeAge), maxRipeAge)
		heap.Push(&b.pending, pendingReport{r, r.Began + ripe})
	}
	for len(b.pending) > 0 && (b.pending[0].ripeAt <= now || len(b.pending) > maxPending) {
		b.learn(now, heap.Pop(&b.pending).(pendingReport).Report)
	}
}

// IsOdd reports whether the run time of a report is beyond what is believed, and counts as less.
func (r Report) IsOdd() bool {
	return r.Estimate > 0 && r.Took > 0 && math.Abs(math.Log(r.Took.Seconds()/r.Estimate.Seconds())) > math.Log(maxFactor)
}

// learn learns from a report.
func (b *Book) learn(now time.Duration, r Report) {
	w := cmp.Or(r.Weight, 1)
	if !(w > 0 && w <= 1) {
		w = 1
	}
	q := entry(&b.queues, r.Queue, maxQueues)
	q.fade(now)
	touched := []*moments{q}
	if r.Image != "" {
		i := entry(&b.images, imageKey{r.Queue, r.Image}, maxImages)
		i.fade(now)
		touched = append(touched, i)
	}
	for _, m := range touched {
		switch r.Kind {
		case Faulty:
			m.Ended, m.Failed = m.Ended+w, m.Failed+w
		case Whole:
			m.Ended += w
		}
	}
	if r.Kind == Faulty || r.Estimate <= 0 || r.Took <= 0 {
		return
	}
	x := math.Log(r.Estimate.Seconds())
	d := math.Log(r.Took.Seconds()) - x
	if r.IsOdd() {
		d = min(max(d, -math.Log(maxFactor)), math.Log(maxFactor))
		b.Odd++
	}
	p := b.Predict(r.Queue, r.Image, r.Estimate)
	if r.Kind == Cut && r.Took <= p.Typical {
		// That it takes longer than this was expected anyway.
		return
	}
	isLong := r.Took >= longFactor*p.Typical
	if isLong {
		// The tail is counted, and does not shift the rest.
		d = min(d, math.Log(longFactor*p.Typical.Seconds())-x)
	}
	for _, m := range touched {
		m.add(x, d, w)
		if isLong {
			m.Long += w
		}
	}
}

// entry returns the entry of a key, which it adds if needed in place of the one that has not
// been used for longest.
func entry[K comparable](entries *map[K]*moments, key K, limit int) *moments {
	if m := (*entries)[key]; m != nil {
		return m
	}
	if *entries == nil {
		*entries = map[K]*moments{}
	}
	if len(*entries) >= limit {
		var oldest K
		found := false
		for k, m := range *entries {
			if !found || m.at < (*entries)[oldest].at || (m.at == (*entries)[oldest].at && m.N < (*entries)[oldest].N) {
				oldest, found = k, true
			}
		}
		delete(*entries, oldest)
	}
	m := &moments{}
	(*entries)[key] = m
	return m
}

// Predict returns what to expect of a task of a queue, with or without an image, for which the
// caller estimates the given time. Without an estimate nothing is predicted.
func (b *Book) Predict(queue, image string, estimate time.Duration) Prediction {
	estimate = min(estimate, maxEstimate)
	if estimate <= 0 {
		return Prediction{}
	}
	q := b.queues[queue]
	if q == nil {
		return newPrediction(estimate, 0, priorSigma*priorSigma, 0, 0)
	}
	x := math.Log(estimate.Seconds())
	l := q.fit()
	confidence := q.N / (q.N + priorWeight)
	d := confidence*l.d + l.slope*(x-l.x)*confidence
	if i := b.images[imageKey{queue, image}]; image != "" && i != nil && i.N > 0 {
		// How the image differs from what its queue would suggest.
		own := i.D/i.N - confidence*(l.d+l.slope*(i.X/i.N-l.x))
		d += own * i.N / (i.N + priorWeight)
	}
	return newPrediction(estimate, d, l.variance, q.Long/(q.N+priorWeight), confidence)
}

// newPrediction returns the prediction for the logarithm d of the factor to an estimate.
func newPrediction(estimate time.Duration, d, variance, tail, confidence float64) Prediction {
	bound := math.Log(maxFactor)
	d = min(max(d, -bound), bound)
	sigma := min(max(math.Sqrt(variance), minSigma), maxSigma)
	typical := float64(estimate) * math.Exp(d)
	p := Prediction{Typical: time.Duration(typical), Sigma: sigma, Tail: tail, Confidence: confidence}
	// The mean exceeds the median by the spread that was measured, not by the assumed one.
	p.Mean = time.Duration(typical * (1 + confidence*(math.Exp(sigma*sigma/2)-1)))
	p.Typical, p.Mean = min(max(p.Typical, time.Millisecond), maxEstimate), min(max(p.Mean, time.Millisecond), maxEstimate)
	return p
}

// Summary describes what was learnt of a queue.
type Summary struct {
	Queue string `json:"queue"`
	// Factor is the typical ratio of run times to estimates, Slope how much less than in
	// proportion run times grow with the estimates: 0 in proportion, -1 not at all.
	Factor float64 `json:"factor"`
	Slope  float64 `json:"slope"`
	// Sigma, Tail and Confidence are those of a Prediction.
	Sigma      float64 `json:"sigma"`
	Tail       float64 `json:"tail"`
	Confidence float64 `json:"confidence"`
	// Failed is the share of ends that failed by their own fault.
	Failed float64 `json:"failed"`
}

// Summaries describes all queues, in the order of their names.
func (b *Book) Summaries() []Summary {
	var all []Summary
	for queue, m := range b.queues {
		l := m.fit()
		s := Summary{
			Queue: queue, Factor: math.Exp(l.d), Slope: l.slope, Sigma: math.Sqrt(l.variance),
			Tail: m.Long / (m.N + priorWeight), Confidence: m.N / (m.N + priorWeight),
		}
		if m.Ended > 0 {
			s.Failed = m.Failed / m.Ended
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Summary) int { return cmp.Compare(a.Queue, b.Queue) })
	return all
}
