package fleet

// StartOrder tells an executor to start a run of a task.
type StartOrder struct {
	Address  string
	Executor string
	Task     string
	Run      int
	Spec     string
	// DeadlineMs is on the executor's clock; the executor refuses the order
	// afterwards and ends all its runs then, unless a later order extends it.
	DeadlineMs int64
	Token      int64
	// Checkpoint resumes the task, empty to start from the beginning.
	Checkpoint string
	Ticket     string
}

// StopOrder tells an executor to end a run.
type StopOrder struct {
	Address  string
	Executor string
	Task     string
	Run      int
	Token    int64
}

// PaceOrder tells an executor to let a run work at a share of its speed.
type PaceOrder struct {
	StopOrder
	Percent int
}

// Renewal extends the deadline of all runs of an executor, acknowledges ends
// and asks what runs.
type Renewal struct {
	Address    string
	Executor   string
	DeadlineMs int64
	Token      int64
	// Acknowledged is the number of the last end that is stored.
	Acknowledged int64
	// WaitMs is how long the executor may wait for an end before it answers.
	WaitMs int64
}

// OrderOutcome is what became of an order.
type OrderOutcome string

// The outcomes of an order.
const (
	OrderDone OrderOutcome = "done"
	// OrderUnknown means that no answer came; the order may be carried out later.
	OrderUnknown OrderOutcome = "unknown"
	// OrderFenced means that the executor has seen a higher token.
	OrderFenced OrderOutcome = "fenced"
	// OrderOld means that a later run is known there.
	OrderOld OrderOutcome = "old"
	// OrderLate means that the deadline has passed on the executor's clock.
	OrderLate OrderOutcome = "late"
	// OrderNoRoom means that the executor has no room for the run.
	OrderNoRoom OrderOutcome = "no_room"
	// OrderNoTicket means that the ticket is missing or has ended.
	OrderNoTicket OrderOutcome = "no_ticket"
	// OrderRefused means that the executor is not able to serve at present.
	OrderRefused OrderOutcome = "refused"
	// OrderInvalid means that the executor cannot read the order.
	OrderInvalid OrderOutcome = "invalid"
	// OrderOtherIncarnation means that another incarnation answered.
	OrderOtherIncarnation OrderOutcome = "other_incarnation"
)

// OrderAnswer is an executor's answer to an order.
type OrderAnswer struct {
	Outcome OrderOutcome
	// ClockMs is the executor's clock, zero where the answer carried none.
	ClockMs int64
}

// ExecutorState is an executor's answer to a renewal.
type ExecutorState struct {
	Outcome OrderOutcome
	ClockMs int64
	Born    int64
	Active  []ActiveRun
	Ended   []EndedRun
}

// ActiveRun is a run that an executor has.
type ActiveRun struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress of the work; a service task at work has 100.
	Percent int
	// Load is the tail of the response times in ms of a service task, and the
	// processor time in use in thousandths of a core of any other.
	Load int64
}

// RunEnd says how a run ended.
type RunEnd string

// The ways in which a run ends.
const (
	EndDone    RunEnd = "done"
	EndFailed  RunEnd = "failed"
	EndStopped RunEnd = "stopped"
	// EndLapsed means that the deadline of the executor's runs passed.
	EndLapsed RunEnd = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken RunEnd = "broken"
	// EndAlone means that the other members of the gang did not come in time.
	EndAlone RunEnd = "alone"
)

// EndedRun is a run that ended and is not yet acknowledged.
type EndedRun struct {
	Number     int64
	Task       string
	Run        int
	How        RunEnd
	Checkpoint string
}

// VMOrderOutcome is what became of an order for a VM.
type VMOrderOutcome string

// The outcomes of an order for a VM.
const (
	VMOrderDone    VMOrderOutcome = "done"
	VMOrderUnknown VMOrderOutcome = "unknown"
	VMOrderFenced  VMOrderOutcome = "fenced"
	VMOrderBusy    VMOrderOutcome = "busy"
	// VMOrderNotOfWave means that the wave does not name the VM.
	VMOrderNotOfWave VMOrderOutcome = "not_of_wave"
	VMOrderInvalid   VMOrderOutcome = "invalid"
	// VMOrderRefused means that nothing was done and a retry may succeed.
	VMOrderRefused VMOrderOutcome = "refused"
)

// Advice names the executors that may run a step, with their tickets.
type Advice struct {
	Tickets map[string]string
	ValidMs int64
}
