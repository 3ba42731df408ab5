package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/job"
)

// memoryStore holds keys; fate says what becomes of each commit.
type memoryStore struct {
	core.MetadataStore
	revision int64
	items    map[string]core.Item
	fate     []fate
	commits  int
	// late holds a transaction that is carried out after the next one.
	late *core.Transaction
}

// fate is what becomes of a commit.
type fate int

const (
	fine fate = iota
	// doneUnanswered commits are carried out and get no answer.
	doneUnanswered
	// lostUnanswered commits are never carried out.
	lostUnanswered
	// lateUnanswered commits are carried out after the next one.
	lateUnanswered
	// refused commits are answered that nothing was done.
	refused
)

func (m *memoryStore) Commit(_ context.Context, t core.Transaction) (int64, []core.Item, error) {
	f := fine
	if m.commits < len(m.fate) {
		f = m.fate[m.commits]
	}
	m.commits++
	late := m.late
	m.late = nil
	var revision int64
	var present []core.Item
	var err error
	switch f {
	case fine:
		revision, present, err = m.apply(t)
	case doneUnanswered:
		_, _, _ = m.apply(t)
		err = core.ErrUncertain
	case lateUnanswered:
		m.late = &t
		err = core.ErrUncertain
	case lostUnanswered:
		err = core.ErrUncertain
	case refused:
		err = core.ErrUnavailable
	}
	if late != nil {
		_, _, _ = m.apply(*late)
	}
	return revision, present, err
}

func (m *memoryStore) apply(t core.Transaction) (int64, []core.Item, error) {
	for _, c := range t.Expect {
		if m.items[c.Key].Revision != c.Revision {
			return 0, []core.Item{m.items[c.Key]}, core.ErrConflict
		}
	}
	m.revision++
	for _, p := range t.Puts {
		m.items[p.Key] = core.Item{Key: p.Key, Value: p.Value, Revision: m.revision}
	}
	for _, key := range t.Remove {
		delete(m.items, key)
	}
	return m.revision, nil, nil
}

func newWriter(fates ...fate) (*memoryStore, *writer) {
	m := &memoryStore{items: map[string]core.Item{}, fate: fates}
	w := &writer{store: m, log: eventlog.Nop(), sequence: sequenceRecord{Generation: 1}}
	return m, w
}

// TestWritesAreDoneOnceInOrder is a row for each way in which answers get lost.
func TestWritesAreDoneOnceInOrder(t *testing.T) {
	for name, fates := range map[string][]fate{
		"all answered":              nil,
		"the first done, no answer": {doneUnanswered},
		"the first lost":            {lostUnanswered},
		"the first late":            {lateUnanswered},
		"refused":                   {refused, refused},
		"each in turn":              {lateUnanswered, doneUnanswered, lostUnanswered, refused, lateUnanswered, lateUnanswered},
	} {
		t.Run(name, func(t *testing.T) {
			m, w := newWriter(fates...)
			for n := range 4 {
				state := job.Progress{State: job.Running, EndedMs: int64(n)}
				require.NoError(t, w.write(context.Background(), cell.Write{Puts: []cell.Record{{Kind: cell.ProgressRecord, Name: "a", Value: state}}}))
				require.Equal(t, encode(state), m.items[prefixProgress+"a"].Value, "an earlier write came after write %d", n)
			}
			require.Equal(t, int64(4), m.revision, "each write is carried out once")
		})
	}
}

// TestDeposedOwnerWritesNothing lets another owner claim between two writes.
func TestDeposedOwnerWritesNothing(t *testing.T) {
	for name, fates := range map[string][]fate{"answered": nil, "after a lost answer": {fine, lostUnanswered}} {
		t.Run(name, func(t *testing.T) {
			m, w := newWriter(fates...)
			put := cell.Write{Puts: []cell.Record{{Kind: cell.ProgressRecord, Name: "a", Value: job.Progress{State: job.Running}}}}
			require.NoError(t, w.write(context.Background(), put))
			m.revision++
			m.items[keySequence] = core.Item{Key: keySequence, Value: encode(sequenceRecord{Generation: 2}), Revision: m.revision}
			put.Puts[0].Value = job.Progress{State: job.Failed}
			require.ErrorIs(t, w.write(context.Background(), put), errDeposed)
			require.NotContains(t, string(m.items[prefixProgress+"a"].Value), job.Failed)
		})
	}
}

// TestLargeWritesAreDivided keeps transactions within the store's entries.
func TestLargeWritesAreDivided(t *testing.T) {
	m, w := newWriter()
	var e cell.Write
	for i := range 100 {
		e.Puts = append(e.Puts, cell.Record{Kind: cell.ProgressRecord, Name: fmt.Sprint(i), Value: job.Progress{}})
		e.Remove = append(e.Remove, fmt.Sprint("old", i))
	}
	most := 0
	limited := &limitedStore{memoryStore: m, most: &most}
	w.store = limited
	require.NoError(t, w.write(context.Background(), e))
	require.LessOrEqual(t, most, 32)
	require.Len(t, m.items, 101)
}

// limitedStore notes the largest transaction.
type limitedStore struct {
	*memoryStore
	most *int
}

func (l *limitedStore) Commit(ctx context.Context, t core.Transaction) (int64, []core.Item, error) {
	*l.most = max(*l.most, len(t.Expect)+len(t.Puts)+len(t.Remove))
	return l.memoryStore.Commit(ctx, t)
}

// TestRelay is a row for each state of the store and of the peer.
func TestRelay(t *testing.T) {
	failed := errors.New("no answer")
	for name, c := range map[string]struct {
		status int
		err    error
		served bool
	}{
		"done":            {200, nil, true},
		"not found":       {404, nil, true},
		"condition fails": {412, nil, true},
		"busy":            {503, nil, false},
		"many":            {429, nil, false},
		"broken":          {500, nil, false},
		"no answer":       {0, failed, false},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			var healed atomic.Bool
			r := &Relay{
				Direct: func(context.Context, core.StoreCall) (int, []byte, error) {
					calls.Add(1)
					if healed.Load() {
						return 404, nil, nil
					}
					return c.status, nil, c.err
				},
				Log: eventlog.Nop(), peers: func() []string { return nil },
			}
			status, _, err := r.Carry(context.Background(), core.StoreCall{})
			require.Equal(t, c.served, err == nil)
			require.Equal(t, !c.served, r.isBroken())
			if c.served {
				require.Equal(t, c.status, status)
				return
			}
			_, _, err = r.Carry(context.Background(), core.StoreCall{})
			require.Error(t, err)
			require.Equal(t, int32(1), calls.Load(), "the store is left alone until the next probe")
			require.False(t, r.probeOnce())
			_, _, err = r.Carry(context.Background(), core.StoreCall{})
			require.Error(t, err)
			require.Equal(t, int32(2), calls.Load())
			healed.Store(true)
			require.True(t, r.probeOnce())
			_, _, err = r.Carry(context.Background(), core.StoreCall{})
			require.NoError(t, err)
		})
	}
}

// TestRelayKeepsAPeerThatServes replays scale-2 of zkw-tarcza-grown, where 15 of 42
// nodes, the owner among them, have no store: one peer that has it is found, and
// then carries all calls until it fails.
func TestRelayKeepsAPeerThatServes(t *testing.T) {
	asked := map[string]int{}
	var down string
	has := func(name string) bool { return name != down && (name == "p3" || name == "p7") }
	client := &http.Client{Transport: roundTrip(func(q *http.Request) (*http.Response, error) {
		asked[q.URL.Host]++
		status := http.StatusServiceUnavailable
		if has(q.URL.Host) {
			status = http.StatusOK
		}
		return &http.Response{StatusCode: status, Body: http.NoBody}, nil
	})}
	r := &Relay{broken: true, Client: client, Log: eventlog.Nop(), peers: func() []string {
		return []string{"p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"}
	}}
	find := func() string {
		for range 200 {
			if _, _, err := r.Carry(context.Background(), core.StoreCall{}); err == nil {
				return r.good
			}
		}
		return ""
	}
	good := find()
	require.True(t, has(good))
	clear(asked)
	for range 20 {
		_, _, err := r.Carry(context.Background(), core.StoreCall{})
		require.NoError(t, err)
	}
	require.Equal(t, map[string]int{good: 20}, asked)
	down = good
	next := find()
	require.NotEqual(t, good, next)
	require.True(t, has(next))
}

// TestLostAnswersAreNoCut lets a store lose the answers to some calls, which a peer
// then carries: the node is not cut off while other calls get answers.
func TestLostAnswersAreNoCut(t *testing.T) {
	for name, c := range map[string]struct {
		answered time.Duration
		cut      bool
	}{
		"another call was answered just now": {0, false},
		"no call is answered":                {time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			client := &http.Client{Transport: roundTrip(func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
			})}
			r := &Relay{
				Direct: func(ctx context.Context, _ core.StoreCall) (int, []byte, error) {
					<-ctx.Done()
					return 0, nil, ctx.Err()
				},
				Client: client, Log: eventlog.Nop(), peers: func() []string { return []string{"p"} },
			}
			r.direct.Store(int64(mono() - c.answered + silentAfter))
			_, _, err := r.Carry(context.Background(), core.StoreCall{})
			require.NoError(t, err)
			require.Equal(t, c.cut, r.isCutOff())
		})
	}
}

// roundTrip answers requests without a network.
type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(q *http.Request) (*http.Response, error) { return f(q) }
