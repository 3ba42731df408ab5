package event

import "fmt"

// Number identifies a kind of log event. The meaning of a number never changes.
type Number int

// The events of the scheduler, the limit ledgers, the membership, the
// configuration and the node. Numbers from 100 to 199 report violations of an
// invariant.
const (
	ViolationTeamLimit      Number = 101
	ViolationSlots          Number = 102
	ViolationDoubleStart    Number = 103
	ViolationKey            Number = 104
	ViolationDataCentre     Number = 105
	ViolationNotRun         Number = 106
	ViolationLedger         Number = 108
	ViolationConfigReverted Number = 109

	PoolActivated       Number = 201
	PoolDeactivated     Number = 202
	PoolHandedOver      Number = 203
	ExecutorProved      Number = 204
	ExecutorQuarantined Number = 205
	ExecutorReinstated  Number = 206
	AttemptLost         Number = 207
	AttemptLeaseRanOut  Number = 208
	RequestShed         Number = 209
	TeamActivated       Number = 210
	TeamDeactivated     Number = 211

	LeaseGranted      Number = 301
	LeaseLost         Number = 302
	AssignmentWritten Number = 303
	AssignmentLost    Number = 304
	HandoverSent      Number = 305
	HandoverFailed    Number = 306
	StoreUnreachable  Number = 307
	StoreReachable    Number = 308

	ConfigInForce  Number = 401
	ConfigAccepted Number = 402
	ConfigRefused  Number = 403
	ConfigReloaded Number = 404

	NodeStarted  Number = 501
	NodeDraining Number = 502
	NodeStopped  Number = 503
	RequestFault Number = 504
)

// Catalogue maps the number of every event to its description.
var Catalogue = map[Number]string{
	ViolationTeamLimit:      "a team would exceed its limit of running tasks",
	ViolationSlots:          "an executor would run more tasks than it has slots",
	ViolationDoubleStart:    "a non-idempotent request would start a second time",
	ViolationKey:            "a task would start with a key that is not in force",
	ViolationDataCentre:     "a task would start in a data centre that is out of service or on a leaving VM",
	ViolationNotRun:         "a request that was answered not_run has an attempt that may have started",
	ViolationLedger:         "a team's loans exceed its limit, or a pool holds more than it was lent",
	ViolationConfigReverted: "a configuration change would return a node to an earlier revision",

	PoolActivated:       "this node became the owner of a pool",
	PoolDeactivated:     "this node stopped being the owner of a pool",
	PoolHandedOver:      "this node handed a pool over to its next owner",
	ExecutorProved:      "the tasks running on an executor are confirmed after a change of owner",
	ExecutorQuarantined: "an executor that failed distinct requests is quarantined and gets only probes",
	ExecutorReinstated:  "an executor left quarantine",
	AttemptLost:         "an attempt ended without a complete answer",
	AttemptLeaseRanOut:  "the task lease of an attempt expired",
	RequestShed:         "a waiting request was shed to make room in the queue",
	TeamActivated:       "this node became the home of a team's limit",
	TeamDeactivated:     "this node stopped being the home of a team's limit",

	LeaseGranted:      "the store granted this node's lease",
	LeaseLost:         "this node's lease expired",
	AssignmentWritten: "this node wrote a new assignment of pools and teams",
	AssignmentLost:    "the write of an assignment lost a race or got no answer",
	HandoverSent:      "the state of a pool or team was sent to its next owner",
	HandoverFailed:    "a handover failed; the next owner may have to recover without the state",
	StoreUnreachable:  "the platform's store does not answer",
	StoreReachable:    "the platform's store answers again",

	ConfigInForce:  "a configuration revision took effect on this node",
	ConfigAccepted: "an operator's change was accepted",
	ConfigRefused:  "an operator's change was refused",
	ConfigReloaded: "the whole configuration was read from the store",

	NodeStarted:  "the node serves requests",
	NodeDraining: "the node is stopping gracefully",
	NodeStopped:  "the node stopped",
	RequestFault: "a request from a caller, peer or operator could not be served",
}

// Note is an occurrence of an event that a kernel reports.
type Note struct {
	Number Number
	// Subject is the pool, team, executor or request that the event is about.
	Subject string
	Detail  string
}

// IsViolation reports whether the event means that an invariant was violated.
func (n Number) IsViolation() bool {
	return n >= 100 && n < 200
}

// String returns the event with its description, subject and detail on one line.
func (n Note) String() string {
	return fmt.Sprintf("event %d: %s: %s: %s", n.Number, Catalogue[n.Number], n.Subject, n.Detail)
}
