package store_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core"
	client "jacinthwind/io/store"
	"jacinthwind/standin/store"
)

// runInMemoryAndOverHTTP runs test against the store directly and through its
// HTTP client.
func runInMemoryAndOverHTTP(t *testing.T, test func(t *testing.T, m *store.Memory, s core.Store)) {
	t.Run("memory", func(t *testing.T) {
		m := &store.Memory{WatchWait: 20 * time.Millisecond}
		test(t, m, m)
	})
	t.Run("http", func(t *testing.T) {
		m := &store.Memory{WatchWait: 20 * time.Millisecond}
		server := httptest.NewServer(store.Handler(m))
		defer server.Close()
		test(t, m, &client.Client{Base: server.URL, HTTP: server.Client()})
	})
}

func TestCompareAndSwapAppliesOnlyAtExpectedRevision(t *testing.T) {
	runInMemoryAndOverHTTP(t, func(t *testing.T, m *store.Memory, s core.Store) {
		ctx := t.Context()
		first := s.CompareAndSwap(ctx, core.Write{Key: "a", Value: []byte("1")})
		require.Equal(t, core.WriteOK, first.Status)
		require.Equal(t, core.WriteConflict, s.CompareAndSwap(ctx, core.Write{Key: "a", Value: []byte("2")}).Status)
		second := s.CompareAndSwap(ctx, core.Write{Key: "a", Value: []byte("2"), Expect: first.Revision})
		require.Equal(t, core.WriteOK, second.Status)
		require.Greater(t, second.Revision, first.Revision)
		e, err := s.Get(ctx, "a")
		require.NoError(t, err)
		require.Equal(t, "2", string(e.Value))
		require.Equal(t, core.WriteOK, s.CompareAndSwap(ctx, core.Write{Key: "a", Delete: true, Expect: second.Revision}).Status)
		_, err = s.Get(ctx, "a")
		require.ErrorIs(t, err, core.ErrNotFound)
	})
}

func TestCallsFailAsConfigured(t *testing.T) {
	runInMemoryAndOverHTTP(t, func(t *testing.T, m *store.Memory, s core.Store) {
		ctx := t.Context()
		m.SetFaults(store.Faults{LoseAnswers: 1})
		require.Equal(t, core.WriteUnknown, s.CompareAndSwap(ctx, core.Write{Key: "a", Value: []byte("1")}).Status)
		_, err := s.Get(ctx, "a")
		require.NoError(t, err, "the write must take effect although its answer is lost")
		m.SetFaults(store.Faults{Down: true})
		require.Equal(t, core.WriteUnknown, s.CompareAndSwap(ctx, core.Write{Key: "b"}).Status)
		_, err = s.List(ctx, "")
		require.ErrorIs(t, err, core.ErrUnavailable)
		_, err = s.Watch(ctx, "", 0)
		require.ErrorIs(t, err, core.ErrUnavailable)
		m.SetFaults(store.Faults{})
		_, err = s.Get(ctx, "b")
		require.ErrorIs(t, err, core.ErrNotFound)
		m.SetFaults(store.Faults{Delay: time.Minute})
		shortCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		_, err = s.Get(shortCtx, "a")
		require.ErrorIs(t, err, core.ErrUnavailable)
	})
}

func TestWatchReturnsEventsOfPrefixAndFailsAfterCompaction(t *testing.T) {
	runInMemoryAndOverHTTP(t, func(t *testing.T, m *store.Memory, s core.Store) {
		ctx := t.Context()
		first := s.CompareAndSwap(ctx, core.Write{Key: "x/a", Value: []byte("1")})
		s.CompareAndSwap(ctx, core.Write{Key: "y/a", Value: []byte("1")})
		s.CompareAndSwap(ctx, core.Write{Key: "x/a", Delete: true, Expect: first.Revision})
		batch, err := s.Watch(ctx, "x/", 0)
		require.NoError(t, err)
		require.Len(t, batch.Events, 2)
		require.True(t, batch.Events[1].Deleted)
		unchanged, err := s.Watch(ctx, "x/", batch.Revision)
		require.NoError(t, err)
		require.Empty(t, unchanged.Events)
		m.Compact()
		_, err = s.Watch(ctx, "x/", 1)
		require.ErrorIs(t, err, core.ErrCompacted)
		listing, err := s.List(ctx, "y/")
		require.NoError(t, err)
		require.Len(t, listing.Entries, 1)
		require.Equal(t, batch.Revision, listing.Revision)
	})
}

func TestEndedLeaseDeletesItsEntriesAndCannotBeRenewed(t *testing.T) {
	runInMemoryAndOverHTTP(t, func(t *testing.T, m *store.Memory, s core.Store) {
		ctx := t.Context()
		lease, err := s.GrantLease(ctx, time.Hour)
		require.NoError(t, err)
		s.CompareAndSwap(ctx, core.Write{Key: "n", Value: []byte("1"), Lease: lease})
		revision, err := s.RenewLease(ctx, lease)
		require.NoError(t, err)
		require.Positive(t, revision)
		require.NoError(t, s.RevokeLease(ctx, lease))
		_, err = s.Get(ctx, "n")
		require.ErrorIs(t, err, core.ErrNotFound)
		_, err = s.RenewLease(ctx, lease)
		require.ErrorIs(t, err, core.ErrNotFound)
		require.Equal(t, core.WriteConflict, s.CompareAndSwap(ctx, core.Write{Key: "n", Lease: lease}).Status)
		shortLease, err := s.GrantLease(ctx, time.Millisecond)
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			_, err := s.RenewLease(ctx, shortLease)
			time.Sleep(5 * time.Millisecond)
			return err != nil
		}, 5*time.Second, time.Millisecond)
	})
}
