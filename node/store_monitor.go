package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"jacinthwind/core"
)

// storeMonitor wraps a store and records whether it answers.
type storeMonitor struct {
	core.Store
	// lastAnswer and lastFailure are the times of the latest call with and without
	// an answer, in nanoseconds since the Unix epoch.
	lastAnswer  atomic.Int64
	lastFailure atomic.Int64
	// onChange is called when the store becomes unreachable or reachable.
	onChange func(unreachable bool)
}

// isUnreachable reports whether the latest call got no answer.
func (s *storeMonitor) isUnreachable() bool {
	return s.lastFailure.Load() > s.lastAnswer.Load()
}

// timeSinceAnswer returns the time since the store's latest answer, or zero if it
// never answered.
func (s *storeMonitor) timeSinceAnswer() time.Duration {
	if at := s.lastAnswer.Load(); at > 0 {
		return time.Since(time.Unix(0, at))
	}
	return 0
}

// recordResult records the result of a call. It ignores calls that this node
// cancelled, as they say nothing about the store.
func (s *storeMonitor) recordResult(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	before := s.isUnreachable()
	if errors.Is(err, core.ErrUnavailable) {
		s.lastFailure.Store(time.Now().UnixNano())
	} else {
		s.lastAnswer.Store(time.Now().UnixNano())
	}
	if after := s.isUnreachable(); after != before {
		s.onChange(after)
	}
}

// Get implements core.Store.
func (s *storeMonitor) Get(ctx context.Context, key string) (core.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.recordResult(ctx, err)
	return e, err
}

// List implements core.Store.
func (s *storeMonitor) List(ctx context.Context, prefix string) (core.Listing, error) {
	l, err := s.Store.List(ctx, prefix)
	s.recordResult(ctx, err)
	return l, err
}

// CompareAndSwap implements core.Store.
func (s *storeMonitor) CompareAndSwap(ctx context.Context, w core.Write) core.WriteResult {
	r := s.Store.CompareAndSwap(ctx, w)
	if r.Status == core.WriteUnknown {
		s.recordResult(ctx, core.ErrUnavailable)
	} else {
		s.recordResult(ctx, nil)
	}
	return r
}

// GrantLease implements core.Store.
func (s *storeMonitor) GrantLease(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	id, err := s.Store.GrantLease(ctx, ttl)
	s.recordResult(ctx, err)
	return id, err
}

// RenewLease implements core.Store.
func (s *storeMonitor) RenewLease(ctx context.Context, id core.LeaseID) (int64, error) {
	revision, err := s.Store.RenewLease(ctx, id)
	s.recordResult(ctx, err)
	return revision, err
}

// Watch implements core.Store.
func (s *storeMonitor) Watch(ctx context.Context, prefix string, revision int64) (core.WatchBatch, error) {
	b, err := s.Store.Watch(ctx, prefix, revision)
	s.recordResult(ctx, err)
	return b, err
}
