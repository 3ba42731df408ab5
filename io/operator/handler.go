package operator

import (
	"context"
	"net/http"

	"jacinthwind/common/jsonhttp"
	"jacinthwind/core/config"
)

// defaultHistoryCount is the number of changes returned if the query has no count.
const defaultHistoryCount = 20

// Service is implemented by the node to serve the operator interface.
type Service interface {
	// Config returns the configuration in force.
	Config(ctx context.Context) (ConfigReply, error)
	// History returns up to count of the latest changes, newest first.
	History(ctx context.Context, count int) ([]config.Change, error)
	// Apply validates a change and puts it in force.
	Apply(ctx context.Context, q ChangeQuery) (ChangeReply, error)
	// Forget records that the VM of a node is permanently gone.
	Forget(ctx context.Context, q ForgetQuery) (ForgetReply, error)
	// Status returns the status of all live nodes.
	Status(ctx context.Context) StatusReply
	// Dump returns the whole state of the process.
	Dump(ctx context.Context) Dump
	// Metrics returns the handler that serves the node's metrics.
	Metrics() http.Handler
}

// Handler returns the handler of the operator interface.
func Handler(s Service) http.Handler {
	mux := http.NewServeMux()
	jsonhttp.Handle(mux, "GET "+PathConfig, func(ctx context.Context, _ struct{}) (ConfigReply, error) {
		return s.Config(ctx)
	})
	jsonhttp.Handle(mux, "POST "+PathHistory, func(ctx context.Context, q HistoryQuery) (HistoryReply, error) {
		if q.Count <= 0 {
			q.Count = defaultHistoryCount
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
