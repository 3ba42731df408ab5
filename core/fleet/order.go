package fleet

// StartOrder orders an executor to start a run of a task.
type StartOrder struct {
	Address  string `json:"address"`
	Executor string `json:"executor"`
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec,omitempty"`
	// DeadlineMs is a time on the executor's clock. After it the executor refuses
	// the order, and it ends all its runs at that time unless a later order or
	// renewal extends the deadline.
	DeadlineMs int64 `json:"deadline_ms"`
	Token      int64 `json:"token"`
	// Checkpoint is the checkpoint to resume from, empty to start from the
	// beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
}

// StopOrder orders an executor to end a run.
type StopOrder struct {
	Address  string `json:"address"`
	Executor string `json:"executor"`
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Token    int64  `json:"token"`
}

// ThrottleOrder orders an executor to throttle a run to a percentage of its
// speed.
type ThrottleOrder struct {
	StopOrder
	Percent int `json:"percent"`
}

// Renewal extends the deadline of all runs of an executor, acknowledges ended
// runs and requests the executor's state.
type Renewal struct {
	Address    string `json:"address"`
	Executor   string `json:"executor"`
	DeadlineMs int64  `json:"deadline_ms,omitempty"`
	Token      int64  `json:"token"`
	// Acknowledged is the number of the last ended run that has been stored.
	Acknowledged int64 `json:"acknowledged,omitempty"`
	// WaitMs is how long the executor may wait for a run to end before it answers.
	WaitMs int64 `json:"wait_ms,omitempty"`
}

// OrderOutcome is the result of an order to an executor.
type OrderOutcome string

// The outcomes of an order to an executor.
const (
	OrderDone OrderOutcome = "done"
	// OrderUnknown means that no answer came; the order may take effect later.
	OrderUnknown OrderOutcome = "unknown"
	// OrderFenced means that the executor has seen a higher fencing token.
	OrderFenced OrderOutcome = "fenced"
	// OrderSuperseded means that the executor knows a later run of the task.
	OrderSuperseded OrderOutcome = "old"
	// OrderDeadlinePassed means that the deadline has passed on the executor's clock.
	OrderDeadlinePassed OrderOutcome = "late"
	// OrderNoCapacity means that the executor has no capacity for the run.
	OrderNoCapacity OrderOutcome = "no_room"
	// OrderNoTicket means that the ticket is missing or has expired.
	OrderNoTicket OrderOutcome = "no_ticket"
	// OrderRefused means that the executor cannot serve the order at present.
	OrderRefused OrderOutcome = "refused"
	// OrderInvalid means that the executor cannot decode the order.
	OrderInvalid OrderOutcome = "invalid"
	// OrderOtherIncarnation means that another incarnation of the executor answered.
	OrderOtherIncarnation OrderOutcome = "other_incarnation"
)

// OrderAnswer is an executor's answer to an order.
type OrderAnswer struct {
	Outcome OrderOutcome `json:"outcome"`
	// ClockMs is the time on the executor's clock, zero if the answer has none.
	ClockMs int64 `json:"clock_ms,omitempty"`
}

// ExecutorState is an executor's answer to a renewal.
type ExecutorState struct {
	Outcome OrderOutcome `json:"outcome"`
	ClockMs int64        `json:"clock_ms,omitempty"`
	// StartedMs is the Unix time in milliseconds at which the incarnation started.
	StartedMs int64       `json:"started_ms,omitempty"`
	Active    []ActiveRun `json:"active,omitempty"`
	Ended     []EndedRun  `json:"ended,omitempty"`
	// MoreEnded is true if Ended may hold only the first of the unacknowledged ends: a
	// run that is in neither list may have ended.
	MoreEnded bool `json:"more_ended,omitempty"`
	// IsCopy is true if this answers a copy that grants and acknowledges nothing. Whether the
	// renewal itself was carried out is not known.
	IsCopy bool `json:"is_copy,omitempty"`
}

// ActiveRun is a run in progress on an executor.
type ActiveRun struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is the progress of the work; a service task that serves reports 100.
	Percent int `json:"percent,omitempty"`
	// Load is the tail latency in milliseconds for a service task, and the
	// processor time in use in thousandths of a core for any other task.
	Load int64 `json:"load,omitempty"`
}

// RunEnd is how a run ended.
type RunEnd string

// The ways in which a run ends.
const (
	EndDone    RunEnd = "done"
	EndFailed  RunEnd = "failed"
	EndStopped RunEnd = "stopped"
	// EndDeadlinePassed means that the deadline of the executor's runs passed.
	EndDeadlinePassed RunEnd = "lapsed"
	// EndGangBroken means that another task of the gang ended.
	EndGangBroken RunEnd = "broken"
	// EndGangIncomplete means that the other tasks of the gang did not start in time.
	EndGangIncomplete RunEnd = "alone"
)

// EndedRun is a run that ended and has not been acknowledged.
type EndedRun struct {
	// Number increases with every run end of an incarnation of the executor.
	Number     int64  `json:"number"`
	Task       string `json:"task"`
	Run        int    `json:"run"`
	End        RunEnd `json:"end"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// VMOrderOutcome is the result of an order for a VM.
type VMOrderOutcome string

// The outcomes of an order for a VM.
const (
	VMOrderDone    VMOrderOutcome = "done"
	VMOrderUnknown VMOrderOutcome = "unknown"
	VMOrderFenced  VMOrderOutcome = "fenced"
	// VMOrderBusy means that the platform cannot carry out the order in the VM's
	// present state, and a retry may succeed.
	VMOrderBusy VMOrderOutcome = "busy"
	// VMOrderNotOfWave means that the wave does not include the VM.
	VMOrderNotOfWave VMOrderOutcome = "not_of_wave"
	VMOrderInvalid   VMOrderOutcome = "invalid"
	// VMOrderRefused means that nothing changed and a retry may succeed.
	VMOrderRefused VMOrderOutcome = "refused"
)

// Advice holds the tickets of the executors that may run a step, by executor.
type Advice struct {
	Tickets map[string]string
	// ValidMs is how long the tickets are valid after the call, in milliseconds.
	ValidMs int64
}
