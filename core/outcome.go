package core

import "time"

// Outcome says what is known about the execution of a request.
type Outcome uint8

// The outcomes of a request.
const (
	// Pending means that the request has not settled.
	Pending Outcome = iota
	// Done means that the request ran and the answer is the executor's.
	Done
	// NotRun means that no attempt started and none can start later.
	NotRun
	// Unknown means that an attempt may have started.
	Unknown
)

var outcomeNames = [...]string{"pending", "done", "not_run", "unknown"}

// String returns the name used in messages.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// ParseOutcome returns the outcome with the given name and whether there is one.
func ParseOutcome(name string) (Outcome, bool) {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i), true
		}
	}
	return Pending, false
}

// Reason is the code that explains an outcome.
type Reason string

// The reasons for an outcome other than Done.
const (
	ReasonNone               Reason = ""
	ReasonBadRequest         Reason = "bad_request"
	ReasonBadID              Reason = "bad_id"
	ReasonIDFromFuture       Reason = "id_from_future"
	ReasonIDExpired          Reason = "id_expired"
	ReasonIDBeforeTakeover   Reason = "id_before_takeover"
	ReasonKeyUnknown         Reason = "key_unknown"
	ReasonKeyMissing         Reason = "key_missing"
	ReasonKeyWithdrawn       Reason = "key_withdrawn"
	ReasonQueueUnknown       Reason = "queue_unknown"
	ReasonTooLarge           Reason = "too_large"
	ReasonDeadlinePassed     Reason = "deadline_passed"
	ReasonOverloaded         Reason = "overloaded"
	ReasonShed               Reason = "shed"
	ReasonNoExecutor         Reason = "no_executor"
	ReasonCancelled          Reason = "cancelled"
	ReasonCancelledRunning   Reason = "cancelled_while_running"
	ReasonAttemptLost        Reason = "attempt_lost"
	ReasonAttemptsSpent      Reason = "attempts_spent"
	ReasonDeadlineRunning    Reason = "deadline_while_running"
	ReasonAnswerTooLarge     Reason = "answer_too_large"
	ReasonAnswerExpired      Reason = "answer_expired"
	ReasonOwnerUnreachable   Reason = "owner_unreachable"
	ReasonOwnerLost          Reason = "owner_lost"
	ReasonConfigurationStale Reason = "configuration_stale"
	ReasonNotFound           Reason = "not_found"
	ReasonNotOwner           Reason = "not_owner"
	ReasonStaleForward       Reason = "stale_forward"
	ReasonStopped            Reason = "stopped"
)

// Result is what a caller learns about its request.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the advised wait before a retry, zero where none helps.
	RetryAfter time.Duration
	// Answer is set when the outcome is Done and the answer is still held.
	Answer *Answer
	// Running says whether an attempt of a pending request is in progress.
	Running bool
}
