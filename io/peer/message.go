package peer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"jacinthwind/common/header"
	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/limit"
	"jacinthwind/core/membership"
	"jacinthwind/core/scheduler"
)

// ProtocolVersion is the version of the messages between nodes.
const ProtocolVersion = "1"

// Paths of the calls between nodes.
const (
	PathSubmit       = "/v1/peer/submit"
	PathCancel       = "/v1/peer/cancel"
	PathQuery        = "/v1/peer/query"
	PathLimits       = "/v1/peer/limits"
	PathHandover     = "/v1/peer/handover"
	PathAttemptEnded = "/v1/peer/attempt-ended"
	PathNodeStatus   = "/v1/peer/node"
	PathPromise      = "/v1/peer/promise"
	PathLock         = "/v1/peer/lock"
	PathStoreState   = "/v1/peer/knowledge"
)

// PoolOwnership identifies the pool and the ownership that a message is addressed
// to.
type PoolOwnership struct {
	Pool string `json:"pool"`
	// Epoch is the epoch of the ownership that the sender knows.
	Epoch uint64 `json:"epoch"`
}

// Submission is a request that one node sends to the owner of its pool.
type Submission struct {
	PoolOwnership
	Request *core.Request
	SentAt  time.Time
}

// submissionMeta holds the fields of a Submission that are sent as a header.
type submissionMeta struct {
	PoolOwnership
	ID         string        `json:"id"`
	IssuedMS   int64         `json:"issued_ms,omitempty"`
	Queue      string        `json:"queue"`
	Team       string        `json:"team,omitempty"`
	KeyDigest  string        `json:"key,omitempty"`
	Priority   core.Priority `json:"priority,omitempty"`
	Idempotent bool          `json:"idempotent,omitempty"`
	DeadlineMS int64         `json:"deadline_ms"`
	SentMS     int64         `json:"sent_ms"`
}

// encodeSubmissionMeta encodes the header of a submission.
func encodeSubmissionMeta(s *Submission) (string, error) {
	r := s.Request
	m := submissionMeta{
		PoolOwnership: s.PoolOwnership, ID: r.ID, Queue: r.Queue, Team: r.Team, KeyDigest: r.KeyDigest,
		Priority: r.Priority, Idempotent: r.Idempotent,
		DeadlineMS: r.Deadline.UnixMilli(), SentMS: s.SentAt.UnixMilli(),
	}
	if !r.IssuedAt.IsZero() {
		m.IssuedMS = r.IssuedAt.UnixMilli()
	}
	raw, err := json.Marshal(m)
	return string(raw), err
}

// decodeSubmissionMeta decodes and validates the header of a submission.
func decodeSubmissionMeta(text string) (*Submission, error) {
	var m submissionMeta
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		return nil, fmt.Errorf("submission header: %w", err)
	}
	if m.ID == "" || m.Queue == "" || m.DeadlineMS == 0 || m.SentMS == 0 || m.Priority > core.Urgent {
		return nil, fmt.Errorf("submission header: incomplete")
	}
	s := &Submission{PoolOwnership: m.PoolOwnership, SentAt: time.UnixMilli(m.SentMS), Request: &core.Request{
		ID: m.ID, Queue: m.Queue, Team: m.Team, KeyDigest: m.KeyDigest, Priority: m.Priority,
		Idempotent: m.Idempotent, Deadline: time.UnixMilli(m.DeadlineMS),
	}}
	if m.IssuedMS != 0 {
		s.Request.IssuedAt = time.UnixMilli(m.IssuedMS)
	}
	return s, nil
}

// Reply is the result of a request, and whether the owner accepted the request.
type Reply struct {
	Result core.Result
	// Accepted reports whether the owner accepted the request. If not, the request
	// may be sent to another node.
	Accepted bool
}

// resultMeta holds the fields of a Reply that are sent as a header.
type resultMeta struct {
	Outcome      string      `json:"outcome"`
	Reason       core.Reason `json:"reason,omitempty"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
	Status       int         `json:"status,omitempty"`
	Running      bool        `json:"running,omitempty"`
	Accepted     bool        `json:"taken"`
}

// writeReply writes a Reply with the answer's headers, body and trailers.
func writeReply(w http.ResponseWriter, r Reply) {
	m := resultMeta{
		Outcome: r.Result.Outcome.String(), Reason: r.Result.Reason,
		RetryAfterMS: r.Result.RetryAfter.Milliseconds(), Running: r.Result.Running, Accepted: r.Accepted,
	}
	answer := r.Result.Answer
	if answer == nil {
		answer = &core.Answer{}
	}
	m.Status = answer.Status
	raw, err := json.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	header.AddAll(w.Header(), answer.Header)
	w.Header().Set(header.Meta, string(raw))
	header.WriteResponse(w, http.StatusOK, answer.Trailer, answer.Body)
}

// readReply decodes a Reply from an HTTP response and its body.
func readReply(resp *http.Response, body []byte) (Reply, error) {
	var m resultMeta
	if err := json.Unmarshal([]byte(resp.Header.Get(header.Meta)), &m); err != nil {
		return Reply{}, fmt.Errorf("decode reply header: %w", err)
	}
	outcome, ok := core.ParseOutcome(m.Outcome)
	if !ok {
		return Reply{}, fmt.Errorf("decode reply header: unknown outcome %q", m.Outcome)
	}
	r := Reply{Accepted: m.Accepted, Result: core.Result{
		Outcome: outcome, Reason: m.Reason, Running: m.Running,
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
	}}
	if m.Status != 0 {
		r.Result.Answer = &core.Answer{Status: m.Status, Payload: core.Payload{
			Header: header.SelectEndToEnd(resp.Header), Trailer: resp.Trailer, Body: body,
		}}
	}
	return r, nil
}

// RequestQuery identifies the request to query or cancel.
type RequestQuery struct {
	PoolOwnership
	Key scheduler.RequestKey `json:"key"`
}

// StateReply holds the state of a request without its answer.
type StateReply struct {
	Outcome  string      `json:"outcome"`
	Reason   core.Reason `json:"reason,omitempty"`
	Running  bool        `json:"running,omitempty"`
	Accepted bool        `json:"taken"`
}

// LimitsQuery holds the reports about several teams that are sent to one node.
type LimitsQuery struct {
	Reports []limit.Report `json:"reports"`
}

// LimitsReply holds the answers of the homes on one node.
type LimitsReply struct {
	Answers []limit.Answer `json:"answers"`
}

// HandoverQuery transfers a shard's state to its next owner.
type HandoverQuery struct {
	Shard membership.Shard `json:"shard"`
	Epoch uint64           `json:"epoch"`
	Pool  *scheduler.State `json:"pool,omitempty"`
	Team  *limit.State     `json:"team,omitempty"`
}

// AttemptEndQuery reports how an attempt of a previous owner ended.
type AttemptEndQuery struct {
	Attempt core.AttemptID     `json:"attempt"`
	Status  core.AttemptStatus `json:"status"`
}

// StoreStateQuery asks a peer for its copy of the store content.
type StoreStateQuery struct {
	// Config is the configuration revision in force on the querying node.
	Config int64 `json:"config"`
}

// StoreStateReply holds a peer's copy of the store content.
type StoreStateReply struct {
	Members            []membership.Member   `json:"members"`
	MembersRevision    int64                 `json:"members_revision"`
	Assignment         membership.Assignment `json:"assignment"`
	AssignmentRevision int64                 `json:"assignment_revision"`
	// Changes are the configuration changes after the queried revision, in order.
	Changes []config.Change `json:"changes,omitempty"`
	// FullConfig is the configuration in force. It is set if the peer no longer has all
	// changes after the queried revision.
	FullConfig *config.State `json:"whole,omitempty"`
}

// VoteReply is a voter's answer to a promise or lock query.
type VoteReply struct {
	// ID is the incarnation ID of the answering node.
	ID      string `json:"id"`
	Granted bool   `json:"granted"`
	// WaitMS is how long the voter's latest promise is still valid, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// NodeStatus holds what a node reports about itself.
type NodeStatus struct {
	Name       string `json:"name"`
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Leaving    bool   `json:"leaving,omitempty"`
	// Revision is the configuration revision in force.
	Revision int64 `json:"revision"`
	// StoreAgeMS is the time since the store last answered, in milliseconds.
	StoreAgeMS int64 `json:"store_age_ms"`
	// OwnedForMS is the time until the node's ownership expires, in milliseconds.
	OwnedForMS int64    `json:"owned_for_ms"`
	Pools      []string `json:"pools"`
	Teams      []string `json:"teams"`
	Violations int64    `json:"violations"`
	// Error is the reason why the node could not be queried.
	Error string `json:"error,omitempty"`
}

// Empty is a message without fields.
type Empty struct{}
