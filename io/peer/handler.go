package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"jacinthwind/common/header"
	"jacinthwind/common/jsonhttp"
	"jacinthwind/core"
	"jacinthwind/core/membership"
)

// Service is implemented by the node to serve the calls of other nodes.
type Service interface {
	// SubmitLocal submits a request to a pool on this node.
	SubmitLocal(ctx context.Context, s *Submission) Reply
	// CancelLocal cancels a request of a pool on this node.
	CancelLocal(ctx context.Context, q RequestQuery) Reply
	// QueryLocal returns the state of a request of a pool on this node.
	QueryLocal(ctx context.Context, q RequestQuery) Reply
	// HandleLimits answers reports to the homes of teams on this node.
	HandleLimits(ctx context.Context, q LimitsQuery) LimitsReply
	// HandleHandover stores the state of a shard for its next owner, this node.
	HandleHandover(ctx context.Context, q HandoverQuery) error
	// HandleAttemptEnd accepts the end of an attempt that a previous owner started.
	HandleAttemptEnd(ctx context.Context, q AttemptEndQuery) error
	// HandleStoreState returns this node's copy of the store content.
	HandleStoreState(q StoreStateQuery) StoreStateReply
	// HandlePromise decides whether an owner may keep its ownership without the store.
	HandlePromise(q membership.PromiseQuery) VoteReply
	// HandleLock stops giving promises under an assignment.
	HandleLock(q membership.LockQuery) VoteReply
	// NodeStatus returns the status of this node.
	NodeStatus() NodeStatus
}

// Handler returns the handler of the calls between nodes. It refuses a submission
// whose body is larger than maxBody bytes.
func Handler(s Service, maxBody int64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathSubmit, func(w http.ResponseWriter, r *http.Request) {
		handleSubmit(w, r, s, maxBody)
	})
	jsonhttp.Handle(mux, "POST "+PathCancel, func(ctx context.Context, q RequestQuery) (StateReply, error) {
		return newStateReply(s.CancelLocal(ctx, q)), nil
	})
	jsonhttp.Handle(mux, "POST "+PathQuery, func(ctx context.Context, q RequestQuery) (StateReply, error) {
		return newStateReply(s.QueryLocal(ctx, q)), nil
	})
	jsonhttp.Handle(mux, "POST "+PathLimits, func(ctx context.Context, q LimitsQuery) (LimitsReply, error) {
		return s.HandleLimits(ctx, q), nil
	})
	jsonhttp.Handle(mux, "POST "+PathHandover, func(ctx context.Context, q HandoverQuery) (Empty, error) {
		return Empty{}, s.HandleHandover(ctx, q)
	})
	jsonhttp.Handle(mux, "POST "+PathAttemptEnded, func(ctx context.Context, q AttemptEndQuery) (Empty, error) {
		return Empty{}, s.HandleAttemptEnd(ctx, q)
	})
	jsonhttp.Handle(mux, "POST "+PathStoreState, func(_ context.Context, q StoreStateQuery) (StoreStateReply, error) {
		return s.HandleStoreState(q), nil
	})
	jsonhttp.Handle(mux, "POST "+PathPromise, func(_ context.Context, q membership.PromiseQuery) (VoteReply, error) {
		return s.HandlePromise(q), nil
	})
	jsonhttp.Handle(mux, "POST "+PathLock, func(_ context.Context, q membership.LockQuery) (VoteReply, error) {
		return s.HandleLock(q), nil
	})
	jsonhttp.Handle(mux, "POST "+PathNodeStatus, func(context.Context, Empty) (NodeStatus, error) {
		return s.NodeStatus(), nil
	})
	return mux
}

// newStateReply returns the state in a reply, without the answer.
func newStateReply(r Reply) StateReply {
	return StateReply{Outcome: r.Result.Outcome.String(), Reason: r.Result.Reason, Running: r.Result.Running, Accepted: r.Accepted}
}

// ToReply converts the state to a Reply without an answer.
func (s StateReply) ToReply() (Reply, error) {
	outcome, ok := core.ParseOutcome(s.Outcome)
	if !ok {
		return Reply{}, fmt.Errorf("decode state reply: unknown outcome %q", s.Outcome)
	}
	return Reply{Accepted: s.Accepted, Result: core.Result{Outcome: outcome, Reason: s.Reason, Running: s.Running}}, nil
}

// handleSubmit decodes a submission and answers with the service's reply.
func handleSubmit(w http.ResponseWriter, r *http.Request, s Service, maxBody int64) {
	if v := r.Header.Get(header.Protocol); v != ProtocolVersion {
		jsonhttp.Write(w, http.StatusUpgradeRequired, jsonhttp.ErrorBody{
			Error: fmt.Sprintf("protocol version %q, want %s", v, ProtocolVersion),
		})
		return
	}
	submission, err := decodeSubmissionMeta(r.Header.Get(header.Meta))
	if err != nil {
		jsonhttp.Write(w, http.StatusBadRequest, jsonhttp.ErrorBody{Error: err.Error()})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		jsonhttp.Write(w, http.StatusBadRequest, jsonhttp.ErrorBody{Error: err.Error()})
		return
	}
	submission.Request.Payload = &core.Payload{Header: header.SelectEndToEnd(r.Header), Body: body}
	writeReply(w, s.SubmitLocal(r.Context(), submission))
}
