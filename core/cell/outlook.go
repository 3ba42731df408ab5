package cell

import (
	"time"

	"jacinthwind/core/estimate"
	"jacinthwind/core/event"
	"jacinthwind/core/job"
)

const (
	// estimatesStoreInterval is the shortest time between two records of what was learnt. It
	// is only written together with other records.
	estimatesStoreInterval = 5 * time.Second
	// estimatesLogInterval is the time between two reports of what was learnt.
	estimatesLogInterval = 10 * time.Second
)

// outlook is what is expected of a job. Every decision about the job uses the same one, worked
// out when the job is submitted or loaded.
type outlook struct {
	steps []estimate.Prediction
	// chain is the expected length of the job's critical path, and work the expected processor
	// time of its tasks, in thousandths of a core times milliseconds.
	chain time.Duration
	work  int64
}

// foresee returns what is expected of a job, by what was learnt of earlier ones and by what its
// caller says.
func (k *Kernel) foresee(j *job.Job) outlook {
	o := outlook{steps: make([]estimate.Prediction, len(j.Steps))}
	times := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		s := &j.Steps[i]
		// A service does not end; its estimate says how long it takes to start.
		times[i] = s.Estimate()
		if !s.Service {
			o.steps[i] = k.estimates.Predict(j.Queue, s.Image, s.Estimate())
			times[i] = o.steps[i].Typical
		}
	}
	o.chain = j.CriticalPath(times)
	for i := range j.Steps {
		if !j.Steps[i].Service {
			times[i] = o.steps[i].Mean
		}
	}
	o.work = j.Work(times)
	return o
}

// criticalPaths returns for each step the longest expected time from its start to the end of
// the job.
func (o *outlook) criticalPaths(j *job.Job) []time.Duration {
	t := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		if j.Steps[i].Service {
			t[i] += j.Steps[i].Estimate()
		} else {
			t[i] += o.steps[i].Typical
		}
		for _, a := range j.Steps[i].After {
			t[a] = max(t[a], t[i])
		}
	}
	return t
}

// expectedTaskWork returns the expected processor time of one task, in thousandths of a core
// times milliseconds.
func (s *stepRun) expectedTaskWork() int64 { return s.TaskWork(s.expected.Mean) }

// learnFromEnd reports the end of a run to the estimates.
func (k *Kernel) learnFromEnd(r *run, how runOutcome) {
	s := r.step
	if s.Service || s.BestEffort || s.Gang {
		// Services do not end, and best-effort tasks and gangs take as long as others let them.
		return
	}
	report := estimate.Report{
		Queue: s.job.Queue, Image: s.Image, Kind: estimate.Whole, Estimate: s.Estimate(),
		Took: k.now.Monotonic - r.beganAt, Began: r.beganAt, Weight: 1 / float64(s.Count),
	}
	awayFactor := k.awayFactor(r)
	switch {
	case how == runFailed:
		report.Kind, report.Began = estimate.Faulty, 0
	case r.beganAt == 0 || r.sentAt == 0:
		// An earlier owner started it: when is not known.
		return
	case r.resumed || r.throttledAt != 0:
		return
	case r.executor.isSlow:
		k.noteSpeed(r, report.Took)
		return
	case how == runCut || awayFactor > 1:
		report.Kind = estimate.Cut
		report.Took = time.Duration(float64(report.Took) / awayFactor)
	}
	if how == runWhole {
		k.noteSpeed(r, k.now.Monotonic-r.beganAt)
	}
	k.estimates.Record(k.now.Monotonic, report)
	if report.IsOdd() {
		k.log(event.RunTimeOdd, "task", r.name, "run", r.number, "executor", r.executor.ID,
			"took_ms", report.Took.Milliseconds(), "estimate_ms", s.EstimateMs)
	}
}

// runOutcome is what the end of a run shows of its run time.
type runOutcome uint8

const (
	runWhole runOutcome = iota
	runFailed
	runCut
)

// awayFactor returns the factor by which a run takes longer since it is outside the rack of its
// data.
func (k *Kernel) awayFactor(r *run) float64 {
	if r.step.Rack == "" || r.executor.Rack() == r.step.Rack {
		return 1
	}
	return max(k.OffRackFactor, 1)
}

// storeEstimates adds what was learnt to a write that is made anyway.
func (k *Kernel) storeEstimates() {
	if k.now.Monotonic < k.estimatesStoredAt+estimatesStoreInterval {
		return
	}
	k.estimatesStoredAt = k.now.Monotonic
	if s := k.estimates.Store(); len(s.Queues) > 0 {
		k.outbox.records["estimates"] = Record{Kind: EstimatesRecord, Value: s}
	}
}

// loadEstimates adds what earlier owners have learnt. Jobs that are known already keep their
// outlook.
func (k *Kernel) loadEstimates(s estimate.Stored) {
	if err := k.estimates.Load(k.now.Monotonic, s); err != nil {
		k.log(event.EstimatesDropped, "error", err.Error())
		return
	}
	k.log(event.EstimatesLoaded, "queues", len(s.Queues), "images", len(s.Images))
}

// logEstimates reports what was learnt of each queue.
func (k *Kernel) logEstimates() {
	if k.now.Monotonic < k.estimatesLoggedAt+estimatesLogInterval {
		return
	}
	k.estimatesLoggedAt = k.now.Monotonic
	for _, s := range k.estimates.Summaries() {
		k.log(event.EstimatesLearnt, "queue", s.Queue, "factor", round(s.Factor), "slope", round(s.Slope), "sigma", round(s.Sigma),
			"tail", round(s.Tail), "failed", round(s.Failed), "confidence", round(s.Confidence), "odd", k.estimates.Odd)
	}
}

// round rounds a figure for a log line.
func round(v float64) float64 { return float64(int64(v*1000+0.5)) / 1000 }
