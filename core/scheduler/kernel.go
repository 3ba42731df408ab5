package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthwind/common/defaults"
	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/event"
)

// Settings holds the timings and limits of a pool's kernel. Zero fields take
// the defaults.
type Settings struct {
	// StartWindow is the time after dispatch within which an executor may start
	// a task.
	StartWindow time.Duration
	// TaskLease is how long a task may run without a lease renewal.
	TaskLease time.Duration
	// UsageInterval is the time between two usage polls of a busy executor.
	UsageInterval time.Duration
	// ClockSkew bounds the difference between the wall clocks of two machines.
	ClockSkew time.Duration
	// MaxForwardAge is the age at which a forwarded copy of a request is
	// refused.
	MaxForwardAge time.Duration
	// MaxHeldAnswerBytes bounds the bytes of answers kept for repeated requests.
	MaxHeldAnswerBytes int
	// Order and Placement name the registered plug-ins.
	Order     string
	Placement string
	// Seed seeds the random source of the retry back-off.
	Seed uint64
}

// Defaults of Settings.
const (
	DefaultStartWindow        = 500 * time.Millisecond
	DefaultTaskLease          = 10 * time.Second
	DefaultUsageInterval      = 4 * time.Second
	DefaultClockSkew          = 250 * time.Millisecond
	DefaultMaxForwardAge      = 2 * time.Second
	DefaultMaxHeldAnswerBytes = 4 << 20 // bytes
	DefaultOrder              = "fair"
	DefaultPlacement          = "spread"
)

const (
	// initialRunEstimateSeconds is the expected run time until the first task of
	// a team has ended.
	initialRunEstimateSeconds = 0.05
	// runEstimateGain is the weight of the latest run in the moving averages.
	runEstimateGain = 0.1
)

// withDefaults returns s with its zero fields set to the defaults.
func (s Settings) withDefaults() Settings {
	defaults.Set(&s.StartWindow, DefaultStartWindow)
	defaults.Set(&s.TaskLease, DefaultTaskLease)
	defaults.Set(&s.UsageInterval, DefaultUsageInterval)
	defaults.Set(&s.ClockSkew, DefaultClockSkew)
	defaults.Set(&s.MaxForwardAge, DefaultMaxForwardAge)
	defaults.Set(&s.MaxHeldAnswerBytes, DefaultMaxHeldAnswerBytes)
	defaults.Set(&s.Order, DefaultOrder)
	defaults.Set(&s.Placement, DefaultPlacement)
	return s
}

// Activation describes how a node became the owner of a pool.
type Activation struct {
	Pool  string
	Epoch uint64
	View  *config.View
	// State is the state that the previous owner handed over, nil if it failed
	// without a handover.
	State *State
	// First is set if the pool never had an owner.
	First bool
	// OwnedUntil is when the ownership ends unless it is extended. Zero means
	// that it has no end.
	OwnedUntil time.Time
}

// Kernel is the scheduling state machine of one pool. It is not safe for
// concurrent use.
type Kernel struct {
	pool      string
	epoch     uint64
	settings  Settings
	view      *config.View
	order     core.TeamOrder
	placement core.Placement
	rand      *rand.Rand

	now time.Time
	// minIssuedAt is the time before which a request id may have been issued and
	// run under a failed owner.
	minIssuedAt time.Time
	// reconcileAfter is the time from which no task of an earlier owner can
	// start, so that a usage report requested then lists all of them.
	reconcileAfter time.Time
	// reconciled means that all tasks started by earlier owners are known.
	reconciled bool
	// orphanSlots is the number of slots in which unknown tasks of a failed
	// owner may still run.
	orphanSlots int
	frozen      bool
	// ownedUntil bounds the start time of every task. Zero means that the
	// ownership has no end.
	ownedUntil time.Time

	teams     map[string]*team
	executors []*executor
	// freeExecutors holds the executors with a free slot, in no particular
	// order.
	freeExecutors []*executor
	// endedAttempts holds the attempts that ended in the current step. The next
	// step moves them to spareAttempts for reuse.
	endedAttempts []*attempt
	spareAttempts []*attempt
	tasks         map[RequestKey]*task
	attempts      map[core.AttemptID]*attempt

	// readyHeaps holds the teams that may start a queued request, by priority.
	readyHeaps [priorities]*readyHeap
	deadlines  *taskHeap
	retries    *taskHeap
	// refusals and settledTasks hold the settled records until they expire.
	refusals     recordQueue
	settledTasks recordQueue
	// heldAnswers lists the settled tasks whose answer is still kept, oldest
	// first.
	heldAnswers     []*task
	heldAnswerBytes int

	queued       int
	quarantined  int
	urgentInARow int
	// attemptSeq is the sequence number of the latest attempt id.
	attemptSeq uint64
	// startCount numbers the starts for TeamLoad.LastStartSeq.
	startCount  uint64
	virtualTime float64
	retryBudget float64
	// meanRunSeconds is the moving average of all run times in the pool.
	meanRunSeconds float64
	// noUsableExecutorSince is the time since which no executor is in service and
	// not draining. It is zero while one is.
	noUsableExecutorSince time.Time
	nextSweep             time.Time

	effects Effects
	counts  Counts
}

// Counts holds the kernel's totals since its activation.
type Counts struct {
	Submitted uint64 `json:"submitted"`
	Started   uint64 `json:"started"`
	Done      uint64 `json:"done"`
	NotRun    uint64 `json:"not_run"`
	Unknown   uint64 `json:"unknown"`
	Retried   uint64 `json:"retried"`
	// LateAnswers counts the results of attempts whose request had settled or that
	// were no longer tracked.
	LateAnswers uint64 `json:"late_answers"`
	// RepliedBefore counts the repeated requests that got the result on record.
	RepliedBefore uint64 `json:"replied_before"`
	Violations    uint64 `json:"violations"`
}

// New returns the kernel of a pool that this node has become the owner of.
func New(now time.Time, settings Settings, a Activation) (*Kernel, error) {
	s := settings.withDefaults()
	newOrder, err := core.TeamOrders.Lookup(s.Order)
	if err != nil {
		return nil, fmt.Errorf("look up the order plug-in of pool %s: %w", a.Pool, err)
	}
	newPlacement, err := core.Placements.Lookup(s.Placement)
	if err != nil {
		return nil, fmt.Errorf("look up the placement plug-in of pool %s: %w", a.Pool, err)
	}
	k := &Kernel{
		pool:        a.Pool,
		ownedUntil:  a.OwnedUntil,
		epoch:       a.Epoch,
		settings:    s,
		order:       newOrder(),
		placement:   newPlacement(),
		rand:        rand.New(rand.NewPCG(s.Seed, a.Epoch)),
		now:         now,
		teams:       make(map[string]*team),
		tasks:       make(map[RequestKey]*task),
		attempts:    make(map[core.AttemptID]*attempt),
		deadlines:   newDeadlineHeap(),
		retries:     newRetryHeap(),
		retryBudget: initialRetryBudget,
	}
	for p := range k.readyHeaps {
		k.readyHeaps[p] = &readyHeap{order: k.order, priority: core.Priority(p)}
	}
	k.activate(a)
	return k, nil
}

// activate initializes the kernel from the state of the previous owner, or
// without it if that owner failed.
func (k *Kernel) activate(a Activation) {
	// The state of earlier owners is known, or there was none.
	knowsAll := a.State != nil || a.First
	if !knowsAll {
		k.minIssuedAt = k.now.Add(2 * k.settings.ClockSkew)
		// The failed owner's own tasks cannot start after its ownership ended, but
		// those of the owner that handed over to it may start until their
		// start-by time.
		k.reconcileAfter = k.now.Add(k.settings.StartWindow + 2*k.settings.ClockSkew)
	}
	k.setView(a.View)
	for _, e := range k.executors {
		e.reconciled = knowsAll
		e.mayRunOrphans = !knowsAll
	}
	k.updateFreeExecutors()
	if a.State != nil {
		k.restoreState(a.State)
	}
	k.updateOrphanSlots()
	k.addNote(event.PoolActivated, k.pool, fmt.Sprintf("epoch %d, state of earlier owners known %t", k.epoch, knowsAll))
}

// Step applies one event and returns its effects, which are valid until the
// next call.
func (k *Kernel) Step(now time.Time, ev Event) *Effects {
	k.effects.reset()
	k.recycleAttempts()
	if now.After(k.now) {
		k.now = now
	}
	if tick, ok := ev.(*Tick); ok {
		k.ownedUntil = tick.OwnedUntil
	}
	// An owner that was paused past the end of its ownership must not answer
	// not_run: a later owner may have accepted the same requests.
	if !k.frozen && k.hasOwnershipEnded() {
		k.freeze()
	}
	switch ev := ev.(type) {
	case *Submit:
		k.submit(ev)
	case *Cancel:
		k.cancel(ev)
	case *Query:
		k.query(ev)
	case *AttemptEnded:
		k.handleAttemptEnded(ev)
	case *UsageReported:
		k.handleUsageReported(ev)
	case *UsageFailed:
		k.handleUsageFailed(ev)
	case *LimitGranted:
		k.handleLimitGranted(ev)
	case *HomeChanged:
		k.handleHomeChanged(ev)
	case *ConfigChanged:
		k.setView(ev.View)
	case *Freeze:
		k.freeze()
	case *Tick:
		k.handleTick()
	}
	k.dispatch()
	return &k.effects
}

// ActivationEffects returns the effects of the activation, which are valid until
// the first call of Step.
func (k *Kernel) ActivationEffects() *Effects {
	return &k.effects
}

// Counts returns the totals since the activation.
func (k *Kernel) Counts() Counts {
	return k.counts
}

// addNote adds a note to the effects and counts it if it reports a violation.
func (k *Kernel) addNote(n event.Number, subject, detail string) {
	if n.IsViolation() {
		k.counts.Violations++
	}
	k.effects.Notes = append(k.effects.Notes, event.Note{Number: n, Subject: subject, Detail: detail})
}

// addReply adds a reply to the effects.
func (k *Kernel) addReply(w WaiterID, r core.Result, accepted bool) {
	k.effects.Replies = append(k.effects.Replies, Reply{Waiter: w, Result: r, Accepted: accepted})
}

// updateReadyHeaps updates the position of t in the ready heaps of all
// priorities.
func (k *Kernel) updateReadyHeaps(t *team) {
	for p := range k.readyHeaps {
		k.readyHeaps[p].update(t)
	}
}
