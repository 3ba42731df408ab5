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

// Service is the node's side of the calls between nodes.
type Service interface {
	SubmitLocal(ctx context.Context, s *Submission) Reply
	CancelLocal(ctx context.Context, q KeyQuery) Reply
	QueryLocal(ctx context.Context, q KeyQuery) Reply
	LimitsLocal(ctx context.Context, q LimitsQuery) LimitsReply
	HandoverLocal(ctx context.Context, q HandoverQuery) error
	AttemptEndedLocal(ctx context.Context, q AttemptQuery) error
	KnowledgeLocal(q KnowledgeQuery) KnowledgeReply
	PromiseLocal(q membership.PromiseQuery) VoteReply
	LockLocal(q membership.LockQuery) VoteReply
	// NodeStatus returns the status of this node.
	NodeStatus() NodeStatus
}

// Handler serves the calls between nodes; bodies over maxBody bytes are
// refused.
func Handler(s Service, maxBody int64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathSubmit, func(w http.ResponseWriter, r *http.Request) {
		submit(w, r, s, maxBody)
	})
	jsonhttp.Handle(mux, "POST "+PathCancel, func(ctx context.Context, q KeyQuery) (StateReply, error) {
		return stateReply(s.CancelLocal(ctx, q)), nil
	})
	jsonhttp.Handle(mux, "POST "+PathQuery, func(ctx context.Context, q KeyQuery) (StateReply, error) {
		return stateReply(s.QueryLocal(ctx, q)), nil
	})
	jsonhttp.Handle(mux, "POST "+PathLimits, func(ctx context.Context, q LimitsQuery) (LimitsReply, error) {
		return s.LimitsLocal(ctx, q), nil
	})
	jsonhttp.Handle(mux, "POST "+PathHandover, func(ctx context.Context, q HandoverQuery) (Empty, error) {
		return Empty{}, s.HandoverLocal(ctx, q)
	})
	jsonhttp.Handle(mux, "POST "+PathAttemptEnded, func(ctx context.Context, q AttemptQuery) (Empty, error) {
		return Empty{}, s.AttemptEndedLocal(ctx, q)
	})
	jsonhttp.Handle(mux, "POST "+PathKnowledge, func(_ context.Context, q KnowledgeQuery) (KnowledgeReply, error) {
		return s.KnowledgeLocal(q), nil
	})
	jsonhttp.Handle(mux, "POST "+PathPromise, func(_ context.Context, q membership.PromiseQuery) (VoteReply, error) {
		return s.PromiseLocal(q), nil
	})
	jsonhttp.Handle(mux, "POST "+PathLock, func(_ context.Context, q membership.LockQuery) (VoteReply, error) {
		return s.LockLocal(q), nil
	})
	jsonhttp.Handle(mux, "POST "+PathNode, func(context.Context, Empty) (NodeStatus, error) {
		return s.NodeStatus(), nil
	})
	return mux
}

func stateReply(r Reply) StateReply {
	return StateReply{Outcome: r.Result.Outcome.String(), Reason: r.Result.Reason, Running: r.Result.Running, Taken: r.Taken}
}

// Reply returns the state as a Reply without answer.
func (s StateReply) Reply() (Reply, error) {
	outcome, ok := core.ParseOutcome(s.Outcome)
	if !ok {
		return Reply{}, fmt.Errorf("state reply: outcome %q", s.Outcome)
	}
	return Reply{Taken: s.Taken, Result: core.Result{Outcome: outcome, Reason: s.Reason, Running: s.Running}}, nil
}

func submit(w http.ResponseWriter, r *http.Request, s Service, maxBody int64) {
	if v := r.Header.Get(header.Protocol); v != ProtocolVersion {
		jsonhttp.Write(w, http.StatusUpgradeRequired, jsonhttp.ErrorBody{
			Error: fmt.Sprintf("protocol version %q, want %s", v, ProtocolVersion),
		})
		return
	}
	submission, err := decodeMeta(r.Header.Get(header.Meta))
	if err != nil {
		jsonhttp.Write(w, http.StatusBadRequest, jsonhttp.ErrorBody{Error: err.Error()})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		jsonhttp.Write(w, http.StatusBadRequest, jsonhttp.ErrorBody{Error: err.Error()})
		return
	}
	submission.Request.Payload = &core.Payload{Header: header.EndToEnd(r.Header), Body: body}
	writeReply(w, s.SubmitLocal(r.Context(), submission))
}
