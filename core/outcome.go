package core

import "time"

// Outcome is what is known about the execution of a request.
type Outcome uint8

// The outcomes of a request.
const (
	// Pending means that the request has no final outcome yet.
	Pending Outcome = iota
	// Done means that the request ran and the executor answered it.
	Done
	// NotRun means that no attempt of the request started or can start later.
	NotRun
	// Unknown means that an attempt of the request may have started.
	Unknown
)

var outcomeNames = [...]string{"pending", "done", "not_run", "unknown"}

// String returns the outcome's name on the wire.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// ParseOutcome returns the outcome with the given name and whether it exists.
func ParseOutcome(name string) (Outcome, bool) {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i), true
		}
	}
	return Pending, false
}

// Reason is the code that explains an outcome to the caller.
type Reason string

// The reasons for an outcome other than Done.
const (
	ReasonNone         Reason = ""
	ReasonBadRequest   Reason = "bad_request"
	ReasonBadID        Reason = "bad_id"
	ReasonIDFromFuture Reason = "id_from_future"
	ReasonIDExpired    Reason = "id_expired"
	// ReasonIDBeforeTakeover means that the id was issued before the owner took over
	// from one that failed and may have run the request.
	ReasonIDBeforeTakeover Reason = "id_before_takeover"
	ReasonKeyUnknown       Reason = "key_unknown"
	ReasonKeyMissing       Reason = "key_missing"
	ReasonKeyWithdrawn     Reason = "key_withdrawn"
	ReasonQueueUnknown     Reason = "queue_unknown"
	ReasonTooLarge         Reason = "too_large"
	ReasonDeadlinePassed   Reason = "deadline_passed"
	ReasonOverloaded       Reason = "overloaded"
	ReasonShed             Reason = "shed"
	ReasonNoExecutor       Reason = "no_executor"
	ReasonCancelled        Reason = "cancelled"
	ReasonCancelledRunning Reason = "cancelled_while_running"
	ReasonAttemptLost      Reason = "attempt_lost"
	ReasonAttemptsSpent    Reason = "attempts_spent"
	// ReasonDeadlineRunning means that the deadline passed during an attempt.
	ReasonDeadlineRunning Reason = "deadline_while_running"
	ReasonAnswerTooLarge  Reason = "answer_too_large"
	ReasonAnswerExpired   Reason = "answer_expired"
	// ReasonOwnerUnreachable means that no owner accepted the request or call in time.
	ReasonOwnerUnreachable Reason = "owner_unreachable"
	// ReasonOwnerLost means that an owner that may have run the request did not
	// report its outcome.
	ReasonOwnerLost          Reason = "owner_lost"
	ReasonConfigurationStale Reason = "configuration_stale"
	ReasonNotFound           Reason = "not_found"
	ReasonNotOwner           Reason = "not_owner"
	// ReasonStaleForward means that a forwarded copy of the request arrived too late:
	// its refusal may no longer be on record.
	ReasonStaleForward Reason = "stale_forward"
	ReasonStopped      Reason = "stopped"
)

// Result is the state of a request as it is reported to its caller.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the recommended wait before a retry, zero if a retry does not
	// help.
	RetryAfter time.Duration
	// Answer is set if the outcome is Done and the answer is still stored.
	Answer *Answer
	// Running is true while an attempt of a pending request is in progress.
	Running bool
}
