package store

import (
	"context"
	"errors"
	"net/http"

	"jacinthwind/common/jsonhttp"
	"jacinthwind/core"
	"jacinthwind/io/store"
)

// Handler returns a handler that serves s as JSON over HTTP.
func Handler(s core.Store) http.Handler {
	mux := http.NewServeMux()
	handlePost(mux, store.PathGet, func(ctx context.Context, q store.KeyQuery) (core.Entry, error) {
		return s.Get(ctx, q.Key)
	})
	handlePost(mux, store.PathList, func(ctx context.Context, q store.KeyQuery) (core.Listing, error) {
		return s.List(ctx, q.Key)
	})
	handlePost(mux, store.PathWrite, func(ctx context.Context, w core.Write) (core.WriteResult, error) {
		result := s.CompareAndSwap(ctx, w)
		if result.Status == core.WriteUnknown {
			return result, core.ErrUnavailable
		}
		return result, nil
	})
	handlePost(mux, store.PathGrant, func(ctx context.Context, q store.GrantQuery) (store.LeaseReply, error) {
		id, err := s.GrantLease(ctx, q.TTL())
		return store.LeaseReply{Lease: id}, err
	})
	handlePost(mux, store.PathRenew, func(ctx context.Context, q store.LeaseQuery) (store.LeaseReply, error) {
		revision, err := s.RenewLease(ctx, q.Lease)
		return store.LeaseReply{Lease: q.Lease, Revision: revision}, err
	})
	handlePost(mux, store.PathRevoke, func(ctx context.Context, q store.LeaseQuery) (store.LeaseReply, error) {
		return store.LeaseReply{Lease: q.Lease}, s.RevokeLease(ctx, q.Lease)
	})
	handlePost(mux, store.PathWatch, func(ctx context.Context, q store.WatchQuery) (core.WatchBatch, error) {
		return s.Watch(ctx, q.Prefix, q.Revision)
	})
	return mux
}

// handlePost registers one store call for POST requests and maps its errors to
// statuses.
func handlePost[Q, A any](mux *http.ServeMux, path string, call func(context.Context, Q) (A, error)) {
	jsonhttp.Handle(mux, "POST "+path, func(ctx context.Context, q Q) (A, error) {
		answer, err := call(ctx, q)
		if err != nil {
			return answer, &jsonhttp.StatusError{Code: statusForError(err), Body: []byte(err.Error())}
		}
		return answer, nil
	})
}

func statusForError(err error) int {
	switch {
	case errors.Is(err, core.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, core.ErrCompacted):
		return http.StatusGone
	}
	return http.StatusServiceUnavailable
}
