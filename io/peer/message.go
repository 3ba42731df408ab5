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

// The paths of the calls between nodes.
const (
	PathSubmit       = "/v1/peer/submit"
	PathCancel       = "/v1/peer/cancel"
	PathQuery        = "/v1/peer/query"
	PathLimits       = "/v1/peer/limits"
	PathHandover     = "/v1/peer/handover"
	PathAttemptEnded = "/v1/peer/attempt-ended"
	PathNode         = "/v1/peer/node"
	PathPromise      = "/v1/peer/promise"
	PathLock         = "/v1/peer/lock"
	PathKnowledge    = "/v1/peer/knowledge"
)

// Place names the owner that a message is meant for.
type Place struct {
	Pool string `json:"pool"`
	// Epoch is the ownership that the sender knows of.
	Epoch uint64 `json:"epoch"`
}

// Submission is a request on its way to the owner of its pool.
type Submission struct {
	Place
	Request *core.Request
	SentAt  time.Time
}

// submissionMeta is the header part of a Submission.
type submissionMeta struct {
	Place
	ID         string        `json:"id"`
	IssuedMS   int64         `json:"issued_ms,omitempty"`
	Queue      string        `json:"queue"`
	Team       string        `json:"team,omitempty"`
	KeyHash    string        `json:"key,omitempty"`
	Priority   core.Priority `json:"priority,omitempty"`
	Idempotent bool          `json:"idempotent,omitempty"`
	DeadlineMS int64         `json:"deadline_ms"`
	SentMS     int64         `json:"sent_ms"`
}

func encodeMeta(s *Submission) (string, error) {
	r := s.Request
	m := submissionMeta{
		Place: s.Place, ID: r.ID, Queue: r.Queue, Team: r.Team, KeyHash: r.KeyHash,
		Priority: r.Priority, Idempotent: r.Idempotent,
		DeadlineMS: r.Deadline.UnixMilli(), SentMS: s.SentAt.UnixMilli(),
	}
	if !r.IssuedAt.IsZero() {
		m.IssuedMS = r.IssuedAt.UnixMilli()
	}
	raw, err := json.Marshal(m)
	return string(raw), err
}

func decodeMeta(text string) (*Submission, error) {
	var m submissionMeta
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		return nil, fmt.Errorf("submission header: %w", err)
	}
	if m.ID == "" || m.Queue == "" || m.DeadlineMS == 0 || m.SentMS == 0 || m.Priority > core.Urgent {
		return nil, fmt.Errorf("submission header: incomplete")
	}
	s := &Submission{Place: m.Place, SentAt: time.UnixMilli(m.SentMS), Request: &core.Request{
		ID: m.ID, Queue: m.Queue, Team: m.Team, KeyHash: m.KeyHash, Priority: m.Priority,
		Idempotent: m.Idempotent, Deadline: time.UnixMilli(m.DeadlineMS),
	}}
	if m.IssuedMS != 0 {
		s.Request.IssuedAt = time.UnixMilli(m.IssuedMS)
	}
	return s, nil
}

// Reply is the result of a request together with whether the owner took it.
type Reply struct {
	Result core.Result
	// Taken is false when the request may be sent elsewhere.
	Taken bool
}

// resultMeta is the header part of a Reply.
type resultMeta struct {
	Outcome      string      `json:"outcome"`
	Reason       core.Reason `json:"reason,omitempty"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
	Status       int         `json:"status,omitempty"`
	Running      bool        `json:"running,omitempty"`
	Taken        bool        `json:"taken"`
}

// writeReply sends a Reply with the answer's headers, body and trailers.
func writeReply(w http.ResponseWriter, r Reply) {
	m := resultMeta{
		Outcome: r.Result.Outcome.String(), Reason: r.Result.Reason,
		RetryAfterMS: r.Result.RetryAfter.Milliseconds(), Running: r.Result.Running, Taken: r.Taken,
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
	header.Copy(w.Header(), answer.Header)
	w.Header().Set(header.Meta, string(raw))
	header.WriteWhole(w, http.StatusOK, answer.Trailer, answer.Body)
}

func readReply(resp *http.Response, body []byte) (Reply, error) {
	var m resultMeta
	if err := json.Unmarshal([]byte(resp.Header.Get(header.Meta)), &m); err != nil {
		return Reply{}, fmt.Errorf("reply header: %w", err)
	}
	outcome, ok := core.ParseOutcome(m.Outcome)
	if !ok {
		return Reply{}, fmt.Errorf("reply header: outcome %q", m.Outcome)
	}
	r := Reply{Taken: m.Taken, Result: core.Result{
		Outcome: outcome, Reason: m.Reason, Running: m.Running,
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
	}}
	if m.Status != 0 {
		r.Result.Answer = &core.Answer{Status: m.Status, Payload: core.Payload{
			Header: header.EndToEnd(resp.Header), Trailer: resp.Trailer, Body: body,
		}}
	}
	return r, nil
}

// KeyQuery names a request for a status or a cancellation.
type KeyQuery struct {
	Place
	Key scheduler.RequestKey `json:"key"`
}

// StateReply is the state of a request without its answer.
type StateReply struct {
	Outcome string      `json:"outcome"`
	Reason  core.Reason `json:"reason,omitempty"`
	Running bool        `json:"running,omitempty"`
	Taken   bool        `json:"taken"`
}

// LimitsQuery carries the reports of several teams to one home.
type LimitsQuery struct {
	Reports []limit.Report `json:"reports"`
}

// LimitsReply carries the answers of the homes on one node.
type LimitsReply struct {
	Answers []limit.Answer `json:"answers"`
}

// HandoverQuery sends a shard's state to its next owner.
type HandoverQuery struct {
	Shard membership.Shard `json:"shard"`
	Epoch uint64           `json:"epoch"`
	Pool  *scheduler.State `json:"pool,omitempty"`
	Team  *limit.State     `json:"team,omitempty"`
}

// AttemptQuery tells the next owner how an attempt of its predecessor ended.
type AttemptQuery struct {
	Attempt core.AttemptID     `json:"attempt"`
	Status  core.AttemptStatus `json:"status"`
}

// KnowledgeQuery asks a peer what it knows of the store.
type KnowledgeQuery struct {
	// Config is the configuration revision in force at the asking node.
	Config int64 `json:"config"`
}

// KnowledgeReply is what a peer knows of the store.
type KnowledgeReply struct {
	Members            []membership.Member   `json:"members"`
	MembersRevision    int64                 `json:"members_revision"`
	Assignment         membership.Assignment `json:"assignment"`
	AssignmentRevision int64                 `json:"assignment_revision"`
	// Changes are the configuration changes after the asked revision, in order.
	Changes []config.Change `json:"changes,omitempty"`
	// Whole is the configuration in force where the peer no longer has all of
	// these changes.
	Whole *config.State `json:"whole,omitempty"`
}

// VoteReply is a voter's answer to an owner or a proposer.
type VoteReply struct {
	// ID is the incarnation that answers.
	ID      string `json:"id"`
	Granted bool   `json:"granted"`
	// WaitMS is how long the latest promise still lasts, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// NodeStatus is what a node tells of itself.
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
	// OwnedForMS is the time left of the node's ownership, in milliseconds.
	OwnedForMS int64    `json:"owned_for_ms"`
	Pools      []string `json:"pools"`
	Teams      []string `json:"teams"`
	Violations int64    `json:"violations"`
	// Error says why the node could not be asked.
	Error string `json:"error,omitempty"`
}

// Empty is a message without content.
type Empty struct{}
