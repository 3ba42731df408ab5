package cell

import (
	"maps"
	"math"
	"slices"
	"time"

	"jacinthwind/core/event"
)

// Thresholds of straggler detection.
const (
	// stallTimeout is how long a run may report no progress. A run's percentage
	// changes every few tens of milliseconds, and it is read at least once a second.
	stallTimeout = 900 * time.Millisecond
	// minSpeedWindow is how long a run is observed before its speed is judged.
	minSpeedWindow = 600 * time.Millisecond
	// slowSpeed is the speed, as a share of the expected one, below which an executor
	// counts as slow.
	slowSpeed = 0.35
	// minSlowRuns is how many runs must show that an executor is slow, since a single
	// one may just be long.
	minSlowRuns = 2
	// slowDeviations is how many standard deviations the speed must lie below slowSpeed:
	// the runs of one job may all take longer than expected.
	slowDeviations = 2
	// keptSpeeds is how many ended runs of an executor are kept to judge it.
	keptSpeeds = 16
	// recentEnds is for how long the end of a run shows how fast its executor is, also without
	// runs in progress that began before it.
	recentEnds = 2 * time.Second
	// minSpeed is the lowest speed that counts, as a share of the expected one.
	minSpeed = 0.005
	// restartGainPercent is the time left for a run, as a percentage of the time that
	// a new run takes, above which a restart pays off.
	restartGainPercent = 150
	// maxPatience limits how often the time that a task gets is doubled, once each time
	// it is stopped as a straggler: a task may be slow wherever it runs.
	maxPatience = 8
)

// stopStragglers stops runs that make no progress, and runs on a slow executor that would
// finish sooner elsewhere. A run that takes long on a sound executor is left alone.
func (k *Kernel) stopStragglers(x *executor) {
	var stalled []*run
	judged := map[*run]float64{}
	var speeds executorSpeed
	oldest := k.now.Monotonic - recentEnds
	for _, r := range sortedRuns(x) {
		if r.state != runActive || r.unlisted || r.step.Service || r.step.BestEffort || r.step.Gang || r.step.EstimateMs <= 0 || r.firstReportAt == 0 {
			continue
		}
		if k.now.Monotonic >= r.progressedAt+stallTimeout<<min(r.task().straggled, maxPatience) {
			stalled = append(stalled, r)
			continue
		}
		observed := k.now.Monotonic - r.firstReportAt
		if observed < minSpeedWindow {
			continue
		}
		expected := time.Duration(float64(r.step.expected.Typical) * k.awayFactor(r))
		speed := max(float64(r.percent-r.firstPercent)/100*expected.Seconds()/observed.Seconds(), minSpeed)
		judged[r] = speed
		speeds.add(r.step.job.ID, r.step.expected.Sigma, speed)
		oldest = min(oldest, r.startedAt())
	}
	if len(judged) > 0 || x.isSlow {
		// Of the runs that began together, those that last are the long ones. Those that have
		// ended meanwhile count as well.
		for _, e := range x.endedSpeeds {
			if e.at >= oldest {
				speeds.add(e.job, e.sigma, e.speed)
			}
		}
		if isSlow := speeds.isSlow(); isSlow != x.isSlow && (isSlow || speeds.runs >= minSlowRuns) {
			x.isSlow = isSlow
			k.log(event.ExecutorSlow, "executor", x.ID, "slow", isSlow, "runs", speeds.runs, "jobs", len(speeds.jobs), "speed", round(speeds.typical()))
		}
	}
	var late []*run
	if x.isSlow {
		for _, r := range sortedRuns(x) {
			if speed, ok := judged[r]; ok && k.isFasterElsewhere(r, speed) {
				late = append(late, r)
			}
		}
	}
	for _, r := range append(stalled, late...) {
		t := r.task()
		if t.straggled < ownFaultAfter {
			x.avoidUntil = max(x.avoidUntil, k.now.Monotonic+failureAvoidance)
		}
		t.straggled++
		k.log(event.RunStraggles, "task", r.name, "run", r.number, "executor", x.ID, "percent", r.percent,
			"unchanged_ms", (k.now.Monotonic - r.progressedAt).Milliseconds(), "estimate_ms", r.step.EstimateMs,
			"expected_ms", r.step.expected.Typical.Milliseconds(), "confidence", round(r.step.expected.Confidence), "executor_slow", x.isSlow)
		k.stopRun(r)
	}
}

// endedSpeed is the speed of a run that has ended.
type endedSpeed struct {
	at           time.Duration
	job          string
	sigma, speed float64
}

// noteSpeed keeps the speed of a run that has ended by itself on its executor.
func (k *Kernel) noteSpeed(r *run, took time.Duration) {
	if r.step.expected.Typical <= 0 || took <= 0 {
		return
	}
	x := r.executor
	if len(x.endedSpeeds) >= keptSpeeds {
		x.endedSpeeds = append(x.endedSpeeds[:0], x.endedSpeeds[1:]...)
	}
	expected := float64(r.step.expected.Typical) * k.awayFactor(r)
	x.endedSpeeds = append(x.endedSpeeds, endedSpeed{k.now.Monotonic, r.step.job.ID, r.step.expected.Sigma, max(expected/float64(took), minSpeed)})
}

// executorSpeed collects the speeds of the runs on an executor, as shares of the expected ones.
type executorSpeed struct {
	runs int
	jobs map[string]*jobSpeed
}

// jobSpeed holds sums over the runs of one job: of the logarithms of their speeds, and of the
// variances of their expected run times.
type jobSpeed struct{ runs, log, variance float64 }

// add adds the speed of a run of a job whose run time is expected with a deviation of sigma.
func (e *executorSpeed) add(id string, sigma, speed float64) {
	if e.jobs == nil {
		e.jobs = map[string]*jobSpeed{}
	}
	j := e.jobs[id]
	if j == nil {
		j = &jobSpeed{}
		e.jobs[id] = j
	}
	e.runs++
	j.runs++
	j.log += math.Log(speed)
	j.variance += sigma * sigma
}

// sums returns the mean logarithm of the speeds of the jobs and the variance of that mean. The
// runs of one job count as one, since its caller's estimate is wrong for all of them.
func (e *executorSpeed) sums() (mean, variance float64) {
	n := float64(len(e.jobs))
	// In the order of their ids, so that the sums do not depend on the order of the map.
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		j := e.jobs[id]
		mean += j.log / j.runs / n
		variance += j.variance / j.runs / (n * n)
	}
	return mean, variance
}

// typical returns the typical speed.
func (e *executorSpeed) typical() float64 {
	mean, _ := e.sums()
	return math.Exp(mean)
}

// isSlow reports whether the runs show that the executor is slow.
func (e *executorSpeed) isSlow() bool {
	mean, variance := e.sums()
	return e.runs >= minSlowRuns && mean+slowDeviations*math.Sqrt(variance) < math.Log(slowSpeed)
}

// isFasterElsewhere reports whether a new run would finish well before a run that
// continues at the given speed, as a share of the expected one.
func (k *Kernel) isFasterElsewhere(r *run, speed float64) bool {
	expected := r.step.expected
	left := float64(100-r.percent) / 100 * expected.Typical.Seconds() / speed
	again := expected.Mean.Seconds()
	if r.step.Checkpoints {
		again *= float64(100-r.percent) / 100
	}
	restart := again + k.MaxStopDuration.Seconds()
	return left*100 > restart*float64(int64(restartGainPercent)<<min(r.task().straggled, maxPatience))
}
