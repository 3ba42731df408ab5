package cell

import (
	"time"

	"jacinthwind/core/demand"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// jobState is a job with its way so far.
type jobState struct {
	*job.Job
	state job.State
	// visible is the state that is stored, which callers may see.
	visible job.State
	// stored says that the store holds the job, so that it may run.
	stored bool
	// started says that a task has begun.
	started bool
	endedMs int64
	// arrived is when the objective began to count.
	arrived time.Duration
	// due is when the latency objective passes, that of the first occurrence.
	due   time.Duration
	steps []*stepRun
	open  int
	// left is the estimated work that is not done, in thousandths of a core
	// times ms.
	left    int64
	queue   *fleet.Queue
	dirty   bool
	cancels []CallID
	calls   []CallID
}

// stepRun is one step of one occurrence of a job.
type stepRun struct {
	job   *jobState
	k     int
	index int
	*job.Step
	tasks []task
	// waitsFor counts the earlier steps that are not done.
	waitsFor int
	waiting  int
	done     int
	readyAt  time.Duration
	// notBefore is the Unix time in ms of a scheduled occurrence.
	notBefore int64
	// due is when the latency objective of the job or the occurrence passes.
	due    time.Duration
	active bool
	// tail is the estimated time from the step's begin to the job's end.
	tail time.Duration
	// tickets are what the advice service allows, by executor.
	tickets     map[string]string
	ticketsEnd  time.Duration
	adviceAsked time.Duration
}

// taskState is where a task stands.
type taskState uint8

const (
	// taskWaiting also covers tasks whose step is not ready.
	taskWaiting taskState = iota
	taskPlaced
	taskDone
	taskFailed
)

// task is one task of a step.
type task struct {
	state taskState
	// run is the highest run that was started or has ended, and endedRun the
	// highest that has ended.
	run      int
	endedRun int
	// failed lists the runs that ended failed.
	failed []int
	saved  string
	ended  bool
	// uncertain tasks may run at an executor that has not answered this owner.
	uncertain bool
	failedOn  string
	notBefore time.Duration
	current   *run
}

// runState is where a run stands.
type runState uint8

const (
	runStarting runState = iota
	// runUnknown means that a start got no answer.
	runUnknown
	runActive
	runStopping
)

// run is one start of a task on an executor; it holds room until it is known
// to have ended.
type run struct {
	step     *stepRun
	index    int
	number   int
	name     string
	executor *executor
	state    runState
	reserved fleet.Vector
	// charged is what the run takes of the team's limit.
	charged fleet.Vector
	sent    time.Duration
	// settled is when the last answer on the run arrived.
	settled  time.Duration
	stopSent time.Duration
	stopped  bool
	percent  int
	// seen is when progress was first reported, and seenPercent how much.
	seen        time.Duration
	seenPercent int
	// moved is when the percent last changed.
	moved time.Duration
	began time.Duration
	load  int64
	pace  int
	paced time.Duration
}

// runKey names a run at an executor.
type runKey struct {
	task string
	run  int
}

// executor is an executor as the owner knows it.
type executor struct {
	fleet.Executor
	listed bool
	// fenced says that the incarnation has answered a call with our token, since
	// fencedAt.
	fenced   bool
	fencedAt time.Duration
	// absent says that no VM that is up has this executor.
	absent bool
	born   int64
	// incarnationAt is when the present incarnation was noticed; answers to calls
	// that were sent before may come from an earlier one.
	incarnationAt time.Duration
	used          fleet.Vector
	runs          map[runKey]*run
	// clock is the executor's clock at the time clockAt.
	clock   int64
	clockAt time.Duration
	// granted is the latest deadline that was sent, on the executor's clock.
	granted int64
	// knownSince bounds the deadlines that an earlier owner granted.
	knownSince time.Duration
	ackSeq     int64
	seenSeq    int64
	renewing   bool
	answeredAt time.Duration
	// reachedAt is when the executor last answered a call.
	reachedAt time.Duration
	misses    int
	// failures counts failed runs since the last success.
	failures  int
	succeeded time.Duration
	avoid     time.Duration
	vm        string
	cordoned  bool
	// maintenanceDue says that a wave will take the VM down.
	maintenanceDue bool
	// busyAt is when the executor last had a run.
	busyAt time.Duration
}

// pool is a pool with the steps that wait for it.
type pool struct {
	name  string
	ready []*stepRun
	// demand measures what is asked of the pool, taken or not.
	demand demand.Tracker
	// jobs are those that have work left, for the admission.
	jobs map[string]*jobState
}
