package cell

import (
	"time"

	"jacinthwind/core/demand"
	"jacinthwind/core/estimate"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
	"jacinthwind/core/share"
	"jacinthwind/core/suspicion"
)

// jobState is a job with its progress.
type jobState struct {
	*job.Job
	state job.State
	// visibleState is the state that callers see: a final state only once it is
	// stored.
	visibleState job.State
	// stored is true once the store holds the job; a job must be stored before it
	// runs.
	stored bool
	// started is true once a task has been started, or the job has ended.
	started bool
	endedMs int64
	// arrivedAt is when the latency objective began to count.
	arrivedAt time.Duration
	// due is the end of the latency objective, counted from arrivedAt. The
	// occurrences of a scheduled job have their own in stepRun.
	due       time.Duration
	steps     []*stepRun
	openSteps int
	// outlook is what is expected of the steps.
	outlook outlook
	// turnAt is when the turn of the job comes if its team has its share of the pool. Until then
	// jobs of other teams go first whose turn has come.
	turnAt time.Duration
	// remainingWork is the expected work that is not done, in thousandths of a core
	// times milliseconds.
	remainingWork int64
	queue         *fleet.Queue
	dirty         bool
	// version counts the changes that are to be stored, and storedVersion is the one that is.
	version, storedVersion int64
	// heldBytes is the part of Kernel.heldBytes that the job takes.
	heldBytes int64
	// partTasks is the number of tasks whose progress one of the parts holds, zero if all
	// is stored in one record. dirtyParts holds the numbers of those that have changed.
	partTasks, parts int
	dirtyParts       map[int]bool
	cancelCalls      []CallID
	submitCalls      []CallID
}

// stepRun is one step of one occurrence of a job.
type stepRun struct {
	job        *jobState
	occurrence int
	index      int
	*job.Step
	tasks []task
	// firstTask is the number of the first task among all tasks of the job.
	firstTask int
	// pendingDependencies counts the earlier steps that are not done.
	pendingDependencies int
	waitingTasks        int
	doneTasks           int
	readyAt             time.Duration
	// notBeforeMs is the start of a scheduled occurrence as Unix time in
	// milliseconds.
	notBeforeMs int64
	// due is the end of the latency objective of the job or the occurrence, and worthUntil the
	// time after which its result is worth nothing to the caller.
	due, worthUntil time.Duration
	activated       bool
	// expected is what is expected of the run time of a task.
	expected estimate.Prediction
	// criticalPath is the expected time from the start of the step to the end of the
	// job.
	criticalPath time.Duration
	// tickets holds the tickets that the advice service issued, by executor.
	tickets           map[string]string
	ticketsExpireAt   time.Duration
	adviceRequestedAt time.Duration
	// adviceWantedAt is since when the step has waited for its turn to request advice, zero
	// if it does not wait.
	adviceWantedAt time.Duration
	// allowed holds the executors that ever got a ticket, and namedAt when an executor was
	// last named in a request.
	allowed map[string]bool
	namedAt map[string]time.Duration
	// aside holds the places that are set aside for the tasks, nil if there are none; until
	// noAsideUntil the step gets no others.
	aside        *aside
	noAsideUntil time.Duration
	// suspected is true once an executor has crashed under one of the tasks.
	suspected bool
}

// taskState is the scheduling state of a task.
type taskState uint8

const (
	// taskWaiting includes tasks whose step is not ready yet.
	taskWaiting taskState = iota
	taskPlaced
	taskDone
	taskFailed
)

// task is one task of a step.
type task struct {
	state taskState
	// highestRun is the highest run number that was started or has ended, and
	// highestEndedRun the highest that has ended.
	highestRun      int
	highestEndedRun int
	// failedRuns lists the numbers of the runs that failed.
	failedRuns  []int
	checkpoint  string
	anyRunEnded bool
	// uncertain is true while a run of the task may exist that this owner does not
	// know, on an executor that has not answered it or by order of a later owner.
	uncertain    bool
	lastFailedOn string
	// straggled counts how often the task was stopped as a straggler, and promptFailures
	// how often in a row a service task failed soon after its start.
	straggled, promptFailures int
	retryAt                   time.Duration
	// waitingSince is when the task last began to wait for an executor again.
	waitingSince time.Duration
	currentRun   *run
	// crashes holds the crashes of executors under the task. The task does not start
	// again before the job's version crashesVersion is stored, or until crashHoldUntil.
	crashes        suspicion.Record
	crashesVersion int64
	crashHoldUntil time.Duration
}

// runState is the state of a run.
type runState uint8

const (
	runStarting runState = iota
	// runUnknown means that the start order got no answer.
	runUnknown
	runActive
	runStopping
)

// run is one start of a task on an executor. It reserves resources until it is
// known to have ended.
type run struct {
	step     *stepRun
	index    int
	number   int
	name     string
	executor *executor
	state    runState
	reserved fleet.Vector
	// charged is what the run counts against the team's limit.
	charged fleet.Vector
	sentAt  time.Duration
	// answeredAt is when the start order was answered or failed, a stop order was last
	// confirmed, or a renewal first listed the run.
	answeredAt time.Duration
	// unansweredEnd is when the call with the start order ended without an answer, or ends at a
	// node that still carries it, zero if it was answered.
	unansweredEnd time.Duration
	stopSentAt    time.Duration
	stopConfirmed bool
	percent       int
	// firstReportAt is when progress was first reported, and firstPercent the
	// progress reported then.
	firstReportAt time.Duration
	firstPercent  int
	// resumed is true if the run continues from a checkpoint.
	resumed bool
	// progressedAt is when percent last changed.
	progressedAt time.Duration
	// beganAt is when the known incarnation of the executor first showed that it has the run,
	// zero if it has not.
	beganAt         time.Duration
	load            int64
	throttlePercent int
	throttledAt     time.Duration
	// isCarriedOut is true once an incarnation has answered that it has the run.
	isCarriedOut bool
	// blamed is true once the loss of the executor was charged to the task.
	blamed bool
	// pendingCharge is charged once it is known that the next incarnation of the executor does
	// not have the run, nil if there is none.
	pendingCharge *charge
	// unlisted is true while the executor's lists do not show whether the run is active or
	// has ended.
	unlisted bool
	// isolated is true while nothing else may start on the executor, so that a crash
	// shows what this run does.
	isolated bool
}

// runKey identifies a run on an executor.
type runKey struct {
	task string
	run  int
}

// executor is the owner's view of an executor.
type executor struct {
	// Executor is what an entry said of the incarnation that started at describesMs, which is the
	// present one if isDescribed. Address is where the next call goes.
	fleet.Executor
	// describesMs is zero while no answer has shown the start of an incarnation whose entries
	// name none.
	describesMs int64
	// latestEntry is the entry that was read last. Another incarnation or another writer may
	// have left it.
	latestEntry fleet.Executor
	// incarnation is the present one.
	incarnation
	listed bool
	// listedAddress is the address in the executor's entry and answeredAddress the one at
	// which it last answered a renewal. While it answers, Address is that one.
	listedAddress, answeredAddress string
	// fullCapacity is the largest capacity that the executor has had; its present one may
	// shrink and grow.
	fullCapacity fleet.Vector
	// expectedStartMs is the start of a later incarnation that the executor's entry has
	// named and that no answer has shown yet, zero if there is none. refutedStartMs is the
	// last one that an answer has refuted.
	expectedStartMs, refutedStartMs int64
	// used is what all runs reserve, and serviceUsed what the service runs do, of which there
	// are serviceRuns.
	used, serviceUsed fleet.Vector
	serviceRuns       int
	runs              map[runKey]*run
	// runOrder caches the runs in the order of their names; it is nil after a change.
	runOrder []*run
	// strayCallsUntil is until when starts and renewals with a deadline that got no answer may
	// be carried out.
	strayCallsUntil time.Duration
	// openAcks counts the renewals under way that acknowledge ends. Nothing starts here while
	// there are any, for the reason that hasOpenStarts gives.
	openAcks int
	// strayAcksUntil is until when such renewals that got no answer may be carried out.
	strayAcksUntil time.Duration
	// answerWanted is true if a task could start here if the executor had answered recently.
	answerWanted bool
	// renewing is true while a renewal that was sent at renewalsSince or later is under way.
	// renewalWaits is true if it is answered only once a run ends.
	renewing, renewalWaits bool
	renewalsSince          time.Duration
	// renewalEndedAt is when the last renewal was answered or failed.
	renewalEndedAt time.Duration
	// isolatedRuns counts the runs in isolation.
	isolatedRuns int
	// promisedTo is the task for which the executor is kept until promisedUntil, nil if there
	// was none.
	promisedTo    *task
	promisedUntil time.Duration
	// hasSuspects is true if a task under suspicion may run here.
	hasSuspects bool
	vmName      string
	// lastVM is the VM that was last listed with this executor.
	lastVM string
	// place is set aside for a step, nil if none is.
	place *setPlace
	// cordoned executors get no new work because their VM is to be taken away.
	cordoned bool
	// unplaced is true while the executor may be on a VM that an order takes away, and no
	// list of VMs has named it.
	unplaced bool
	// cordonAfter is until when the executor is not cordoned for a wave, since a task that
	// waited was let in.
	cordonAfter time.Duration
	// maintenanceDue is true if a wave will take the VM down.
	maintenanceDue bool
	// lastBusyAt is when the executor last had a run.
	lastBusyAt time.Duration
}

// pool is a pool with the steps that wait for its executors.
type pool struct {
	name       string
	readySteps []*stepRun
	// demand measures the work submitted to the pool, whether accepted or not.
	demand demand.Tracker
	// shares holds what the pool has taken of each team.
	shares share.Ledger
	// usualSize is the usual size of its tasks that end, in the units of fleet.Vector.
	usualSize [3]float64
	// asidesAt is when places were last searched for large tasks.
	asidesAt time.Duration
	// openJobs holds the jobs with work left; the admission counts them.
	openJobs map[string]*jobState
	// backlog holds the work that is left of the open jobs.
	backlog backlog
	// turns holds the same work by the times at which the turns of the jobs come.
	turns backlog
}
