package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"jacinthwind/core"
)

// contactStore is a store that remembers whether it answered lately.
type contactStore struct {
	core.Store
	answered atomic.Int64
	failed   atomic.Int64
	// changed is told when the store begins or ceases to be silent.
	changed func(silent bool)
}

// isSilent reports whether the latest call got no answer.
func (s *contactStore) isSilent() bool {
	return s.failed.Load() > s.answered.Load()
}

// sinceAnswer is the time since the store last answered, zero where it never
// did.
func (s *contactStore) sinceAnswer() time.Duration {
	if at := s.answered.Load(); at > 0 {
		return time.Since(time.Unix(0, at))
	}
	return 0
}

// observe takes the result of a call that was not given up by this node.
func (s *contactStore) observe(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	before := s.isSilent()
	if errors.Is(err, core.ErrUnavailable) {
		s.failed.Store(time.Now().UnixNano())
	} else {
		s.answered.Store(time.Now().UnixNano())
	}
	if after := s.isSilent(); after != before {
		s.changed(after)
	}
}

// Get implements core.Store.
func (s *contactStore) Get(ctx context.Context, key string) (core.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.observe(ctx, err)
	return e, err
}

// List implements core.Store.
func (s *contactStore) List(ctx context.Context, prefix string) (core.Listing, error) {
	l, err := s.Store.List(ctx, prefix)
	s.observe(ctx, err)
	return l, err
}

// CompareAndSwap implements core.Store.
func (s *contactStore) CompareAndSwap(ctx context.Context, w core.Write) core.WriteResult {
	r := s.Store.CompareAndSwap(ctx, w)
	if r.Status == core.WriteUnknown {
		s.observe(ctx, core.ErrUnavailable)
	} else {
		s.observe(ctx, nil)
	}
	return r
}

// GrantLease implements core.Store.
func (s *contactStore) GrantLease(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	id, err := s.Store.GrantLease(ctx, ttl)
	s.observe(ctx, err)
	return id, err
}

// RenewLease implements core.Store.
func (s *contactStore) RenewLease(ctx context.Context, id core.LeaseID) (int64, error) {
	revision, err := s.Store.RenewLease(ctx, id)
	s.observe(ctx, err)
	return revision, err
}

// Watch implements core.Store.
func (s *contactStore) Watch(ctx context.Context, prefix string, revision int64) (core.WatchBatch, error) {
	b, err := s.Store.Watch(ctx, prefix, revision)
	s.observe(ctx, err)
	return b, err
}
