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

// Settings are the timings of a pool's kernel; zero fields take defaults.
type Settings struct {
	// StartWindow is the time within which an executor may start a sent task.
	StartWindow time.Duration
	// TaskLease is the time for which a task runs without renewal.
	TaskLease time.Duration
	// UsageInterval is the time between two reports of a busy executor.
	UsageInterval time.Duration
	// ClockSkew bounds the difference of the wall clocks of two machines.
	ClockSkew time.Duration
	// ForwardWindow is the age at which a copy of a request is refused.
	ForwardWindow time.Duration
	// MaxHeldAnswers bounds the bytes of answers kept for repeated requests.
	MaxHeldAnswers int
	// Order and Placement name the plug-ins.
	Order     string
	Placement string
	Seed      uint64
}

// Defaults of Settings.
const (
	DefaultStartWindow    = 500 * time.Millisecond
	DefaultTaskLease      = 10 * time.Second
	DefaultUsageInterval  = 4 * time.Second
	DefaultClockSkew      = 250 * time.Millisecond
	DefaultForwardWindow  = 2 * time.Second
	DefaultMaxHeldAnswers = 4 << 20
	DefaultOrder          = "fair"
	DefaultPlacement      = "spread"
)

const (
	initialRunEstimate = 0.05
	runEstimateGain    = 0.1
)

func (s Settings) withDefaults() Settings {
	defaults.Set(&s.StartWindow, DefaultStartWindow)
	defaults.Set(&s.TaskLease, DefaultTaskLease)
	defaults.Set(&s.UsageInterval, DefaultUsageInterval)
	defaults.Set(&s.ClockSkew, DefaultClockSkew)
	defaults.Set(&s.ForwardWindow, DefaultForwardWindow)
	defaults.Set(&s.MaxHeldAnswers, DefaultMaxHeldAnswers)
	defaults.Set(&s.Order, DefaultOrder)
	defaults.Set(&s.Placement, DefaultPlacement)
	return s
}

// Activation says how a node comes to own a pool.
type Activation struct {
	Pool  string
	Epoch uint64
	View  *config.View
	// State is the predecessor's hand-over, nil where it vanished.
	State *State
	// First is set when the pool never had an owner.
	First bool
	// OwnedUntil is when the ownership ends unless it is extended, zero where
	// it has no end.
	OwnedUntil time.Time
}

// Kernel is the state machine of one pool.
type Kernel struct {
	pool     string
	epoch    uint64
	settings Settings
	view     *config.View
	order    core.Order
	place    core.Placement
	rand     *rand.Rand

	now time.Time
	// fence is the time before which issued ids belong to a vanished owner.
	fence time.Time
	// provedAfter is when no task of an earlier owner can start any more.
	provedAfter time.Time
	// settled means that everything earlier owners started is known.
	settled bool
	doubt   int
	frozen  bool
	// ownedUntil bounds every start, zero where the ownership has no end.
	ownedUntil time.Time

	teams     map[string]*team
	executors []*executor
	// free holds the executors that have a slot for a task.
	free []*executor
	// ended holds the attempts of this step that may be used again.
	ended    []*attempt
	spare    []*attempt
	tasks    map[RequestKey]*task
	attempts map[core.AttemptID]*attempt

	ready     [priorities]*readyHeap
	deadlines *taskHeap
	retries   *taskHeap
	// refusals and settledTasks hold the records until they expire.
	refusals     recordQueue
	settledTasks recordQueue
	// held lists settled tasks that still have their answer, oldest first.
	held      []*task
	heldBytes int

	queued       int
	quarantined  int
	urgentInARow int
	seq          uint64
	starts       uint64
	virtualTime  float64
	retryBudget  float64
	meanRun      float64
	// noCapacityAt is since when no executor is in service, zero when one is.
	noCapacityAt time.Time
	nextSweep    time.Time

	effects Effects
	counts  Counts
}

// Counts are the kernel's totals since its activation.
type Counts struct {
	Submitted     uint64 `json:"submitted"`
	Started       uint64 `json:"started"`
	Done          uint64 `json:"done"`
	NotRun        uint64 `json:"not_run"`
	Unknown       uint64 `json:"unknown"`
	Retried       uint64 `json:"retried"`
	LateAnswers   uint64 `json:"late_answers"`
	RepliedBefore uint64 `json:"replied_before"`
	Violations    uint64 `json:"violations"`
}

// New returns the kernel of a pool that this node has come to own.
func New(now time.Time, settings Settings, a Activation) (*Kernel, error) {
	s := settings.withDefaults()
	newOrder, err := core.Orders.Lookup(s.Order)
	if err != nil {
		return nil, fmt.Errorf("order of pool %s: %w", a.Pool, err)
	}
	newPlacement, err := core.Placements.Lookup(s.Placement)
	if err != nil {
		return nil, fmt.Errorf("placement of pool %s: %w", a.Pool, err)
	}
	k := &Kernel{
		pool:        a.Pool,
		ownedUntil:  a.OwnedUntil,
		epoch:       a.Epoch,
		settings:    s,
		order:       newOrder(),
		place:       newPlacement(),
		rand:        rand.New(rand.NewPCG(s.Seed, a.Epoch)),
		now:         now,
		teams:       make(map[string]*team),
		tasks:       make(map[RequestKey]*task),
		attempts:    make(map[core.AttemptID]*attempt),
		deadlines:   newDeadlineHeap(),
		retries:     newRetryHeap(),
		retryBudget: initialRetryBudget,
	}
	for p := range k.ready {
		k.ready[p] = &readyHeap{order: k.order, priority: core.Priority(p)}
	}
	k.activate(a)
	return k, nil
}

// activate takes over from the predecessor.
func (k *Kernel) activate(a Activation) {
	inherited := a.State != nil || a.First
	if !inherited {
		k.fence = k.now.Add(2 * k.settings.ClockSkew)
		// The predecessor's own starts end with its ownership, but those of an
		// owner that handed over to it may arrive until their start-by time.
		k.provedAfter = k.now.Add(k.settings.StartWindow + 2*k.settings.ClockSkew)
	}
	k.setView(a.View)
	for _, e := range k.executors {
		e.proved = inherited
		e.doubtful = !inherited
	}
	k.updateAllFree()
	if a.State != nil {
		k.adopt(a.State)
	}
	k.countDoubt()
	k.note(event.PoolActivated, k.pool, fmt.Sprintf("epoch %d, inherited %t", k.epoch, inherited))
}

// Step applies one event and returns its effects, valid until the next step.
func (k *Kernel) Step(now time.Time, ev Event) *Effects {
	k.effects.reset()
	k.recycle()
	if now.After(k.now) {
		k.now = now
	}
	if tick, ok := ev.(*Tick); ok {
		k.ownedUntil = tick.OwnedUntil
	}
	// An owner that was paused past the end of its ownership no longer knows
	// what a refusal would have to say about requests that went elsewhere.
	if !k.frozen && k.ownershipOver() {
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
		k.attemptEnded(ev)
	case *UsageReported:
		k.usageReported(ev)
	case *UsageFailed:
		k.usageFailed(ev)
	case *LimitGranted:
		k.limitGranted(ev)
	case *HomeChanged:
		k.homeChanged(ev)
	case *ConfigChanged:
		k.setView(ev.View)
	case *Freeze:
		k.freeze()
	case *Tick:
		k.tick()
	}
	k.dispatch()
	return &k.effects
}

// TakeEffects returns the effects of the activation.
func (k *Kernel) TakeEffects() *Effects {
	return &k.effects
}

// Counts returns the totals since the activation.
func (k *Kernel) Counts() Counts {
	return k.counts
}

func (k *Kernel) note(n event.Number, subject, detail string) {
	if n.IsViolation() {
		k.counts.Violations++
	}
	k.effects.Notes = append(k.effects.Notes, event.Note{Number: n, Subject: subject, Detail: detail})
}

func (k *Kernel) reply(w WaiterID, r core.Result, taken bool) {
	k.effects.Replies = append(k.effects.Replies, Reply{Waiter: w, Result: r, Taken: taken})
}

// updateReady brings the team's place in both heaps up to date.
func (k *Kernel) updateReady(t *team) {
	for p := range k.ready {
		k.ready[p].update(t)
	}
}
