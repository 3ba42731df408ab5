package edge

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/job"
)

// fakeStore keeps keys in memory; outcomes are the outcomes of its commits in
// order.
type fakeStore struct {
	core.MetadataStore
	revision int64
	items    map[string]core.Item
	outcomes []commitOutcome
	commits  int
	// delayed holds a transaction that is carried out after the next one.
	delayed *core.Transaction
}

// commitOutcome is what happens to a commit.
type commitOutcome int

const (
	answered commitOutcome = iota
	// appliedUnanswered commits are carried out and get no answer.
	appliedUnanswered
	// lostUnanswered commits are never carried out.
	lostUnanswered
	// delayedUnanswered commits get no answer and are carried out after the next one.
	delayedUnanswered
	// refused commits are answered with an error, and nothing is done.
	refused
)

func (s *fakeStore) Commit(_ context.Context, t core.Transaction) (int64, []core.Item, error) {
	outcome := answered
	if s.commits < len(s.outcomes) {
		outcome = s.outcomes[s.commits]
	}
	s.commits++
	delayed := s.delayed
	s.delayed = nil
	var revision int64
	var present []core.Item
	var err error
	switch outcome {
	case answered:
		revision, present, err = s.apply(t)
	case appliedUnanswered:
		_, _, _ = s.apply(t)
		err = core.ErrUncertain
	case delayedUnanswered:
		s.delayed = &t
		err = core.ErrUncertain
	case lostUnanswered:
		err = core.ErrUncertain
	case refused:
		err = core.ErrUnavailable
	}
	if delayed != nil {
		_, _, _ = s.apply(*delayed)
	}
	return revision, present, err
}

func (s *fakeStore) apply(t core.Transaction) (int64, []core.Item, error) {
	for _, c := range t.Expect {
		if s.items[c.Key].Revision != c.Revision {
			return 0, []core.Item{s.items[c.Key]}, core.ErrConflict
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.items[p.Key] = core.Item{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	for _, key := range t.Remove {
		delete(s.items, key)
	}
	return s.revision, nil, nil
}

func newWriter(outcomes ...commitOutcome) (*fakeStore, *writer) {
	s := &fakeStore{items: map[string]core.Item{}, outcomes: outcomes}
	w := &writer{store: s, log: eventlog.Nop(), sequence: sequenceRecord{Generation: 1}}
	return s, w
}

// TestWritesAreCommittedOnceInOrder checks each way in which the answer to a commit
// can get lost.
func TestWritesAreCommittedOnceInOrder(t *testing.T) {
	for name, outcomes := range map[string][]commitOutcome{
		"all answered":                 nil,
		"the first applied, no answer": {appliedUnanswered},
		"the first lost":               {lostUnanswered},
		"the first delayed":            {delayedUnanswered},
		"refused":                      {refused, refused},
		"all outcomes in turn":         {delayedUnanswered, appliedUnanswered, lostUnanswered, refused, delayedUnanswered, delayedUnanswered},
	} {
		t.Run(name, func(t *testing.T) {
			s, w := newWriter(outcomes...)
			for n := range 4 {
				state := job.Progress{State: job.Running, EndedMs: int64(n)}
				require.NoError(t, w.write(context.Background(), cell.Write{Puts: []cell.Record{{Kind: cell.ProgressRecord, Name: "a", Value: state}}}))
				require.Equal(t, mustEncode(state), s.items[prefixProgress+"a"].Value, "write %d was overwritten by an earlier one", n)
			}
			require.Equal(t, int64(4), s.revision, "each write is carried out once")
		})
	}
}

// TestWriteFailsAfterAnotherOwnerHasWritten lets another owner claim between two
// writes, and checks that the second changes nothing.
func TestWriteFailsAfterAnotherOwnerHasWritten(t *testing.T) {
	for name, outcomes := range map[string][]commitOutcome{"answered": nil, "after a lost answer": {answered, lostUnanswered}} {
		t.Run(name, func(t *testing.T) {
			s, w := newWriter(outcomes...)
			put := cell.Write{Puts: []cell.Record{{Kind: cell.ProgressRecord, Name: "a", Value: job.Progress{State: job.Running}}}}
			require.NoError(t, w.write(context.Background(), put))
			s.revision++
			s.items[keySequence] = core.Item{Key: keySequence, Value: mustEncode(sequenceRecord{Generation: 2}), Revision: s.revision}
			put.Puts[0].Value = job.Progress{State: job.Failed}
			require.ErrorIs(t, w.write(context.Background(), put), errDeposed)
			require.NotContains(t, string(s.items[prefixProgress+"a"].Value), job.Failed)
		})
	}
}

// TestLargeWriteIsSplitWithinStoreLimit checks that no transaction exceeds the
// number of entries that the store accepts.
func TestLargeWriteIsSplitWithinStoreLimit(t *testing.T) {
	s, w := newWriter()
	var e cell.Write
	for i := range 100 {
		e.Puts = append(e.Puts, cell.Record{Kind: cell.ProgressRecord, Name: fmt.Sprint(i), Value: job.Progress{}})
		e.Remove = append(e.Remove, fmt.Sprint("old", i))
	}
	largest := 0
	limited := &sizeRecordingStore{fakeStore: s, largest: &largest}
	w.store = limited
	require.NoError(t, w.write(context.Background(), e))
	require.LessOrEqual(t, largest, 32)
	require.Len(t, s.items, 101)
}

// sizeRecordingStore records the number of entries of the largest transaction.
type sizeRecordingStore struct {
	*fakeStore
	largest *int
}

func (l *sizeRecordingStore) Commit(ctx context.Context, t core.Transaction) (int64, []core.Item, error) {
	*l.largest = max(*l.largest, len(t.Expect)+len(t.Puts)+len(t.Remove))
	return l.fakeStore.Commit(ctx, t)
}
