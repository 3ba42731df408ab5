package operator

import (
	"context"
	"net/http"

	"jacinthwind/common/jsonhttp"
	"jacinthwind/core/config"
)

const defaultHistory = 20

// Service is the node's side of the operators' interface.
type Service interface {
	Config(ctx context.Context) (ConfigReply, error)
	History(ctx context.Context, count int) ([]config.Change, error)
	Apply(ctx context.Context, q ChangeQuery) (ChangeReply, error)
	Forget(ctx context.Context, q ForgetQuery) (ForgetReply, error)
	// Status returns the status of all live nodes.
	Status(ctx context.Context) StatusReply
	Dump(ctx context.Context) Dump
	// Metrics serves the node's metrics.
	Metrics() http.Handler
}

// Handler serves the operators' interface.
func Handler(s Service) http.Handler {
	mux := http.NewServeMux()
	jsonhttp.Handle(mux, "GET "+PathConfig, func(ctx context.Context, _ struct{}) (ConfigReply, error) {
		return s.Config(ctx)
	})
	jsonhttp.Handle(mux, "POST "+PathHistory, func(ctx context.Context, q HistoryQuery) (HistoryReply, error) {
		if q.Count <= 0 {
			q.Count = defaultHistory
		}
		changes, err := s.History(ctx, q.Count)
		return HistoryReply{Changes: changes}, err
	})
	jsonhttp.Handle(mux, "POST "+PathChanges, s.Apply)
	jsonhttp.Handle(mux, "POST "+PathForget, s.Forget)
	jsonhttp.Handle(mux, "GET "+PathStatus, func(ctx context.Context, _ struct{}) (StatusReply, error) {
		return s.Status(ctx), nil
	})
	jsonhttp.Handle(mux, "GET "+PathDump, func(ctx context.Context, _ struct{}) (Dump, error) {
		return s.Dump(ctx), nil
	})
	mux.Handle("GET "+PathMetrics, s.Metrics())
	return mux
}
