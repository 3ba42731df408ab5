package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
)

// Writer limits.
const (
	// maxCommitPuts, the condition and the sequence record together are the store's
	// limit of 32 entries per transaction.
	maxCommitPuts       = 30
	maxCommitBytes      = 512 << 10
	commitTimeout       = 800 * time.Millisecond
	commitRetryInterval = 150 * time.Millisecond
)

// errDeposed means that another owner has written to the store.
var errDeposed = errors.New("write to store: another owner has written since")

// writer carries out the writes of one owner in order, each exactly once.
type writer struct {
	store core.MetadataStore
	codec core.Codec
	log   *eventlog.Log
	// sequence and revision belong to the last write that is known to be done.
	sequence sequenceRecord
	revision int64
}

// write stores a write, split into several transactions if it is large.
func (w *writer) write(ctx context.Context, e cell.Write) error {
	var puts []core.Put
	for _, r := range e.Puts {
		puts = append(puts, encodeRecord(w.codec, r))
	}
	var remove []string
	for _, id := range e.Remove {
		remove = append(remove, prefixJob+id, prefixProgress+id)
	}
	for len(puts) > 0 || len(remove) > 0 {
		n := countFittingPuts(puts)
		m := min(len(remove), maxCommitPuts-n)
		if err := w.commit(ctx, puts[:n], remove[:m]); err != nil {
			return err
		}
		puts, remove = puts[n:], remove[m:]
	}
	return nil
}

// countFittingPuts returns how many of the puts fit into one transaction.
func countFittingPuts(puts []core.Put) int {
	size := 0
	for i, p := range puts {
		size += len(p.Value)
		if i == maxCommitPuts || (size > maxCommitBytes && i > 0) {
			return i
		}
	}
	return len(puts)
}

// commit repeats a transaction until it is known to be done once. A transaction
// without an answer cannot take effect after its repetition has, since each expects
// the sequence record before it.
func (w *writer) commit(ctx context.Context, puts []core.Put, remove []string) error {
	next := sequenceRecord{w.sequence.Generation, w.sequence.Number + 1}
	t := core.Transaction{
		Expect: []core.Condition{{Key: keySequence, Revision: w.revision}},
		Puts:   append([]core.Put{{Key: keySequence, Value: mustEncode(next)}}, puts...),
		Remove: remove,
	}
	for ctx.Err() == nil {
		revision, items, err := w.commitOnce(ctx, t)
		if errors.Is(err, core.ErrConflict) {
			revision, err = findEarlierCommit(items, next)
		}
		switch {
		case err == nil:
			w.sequence, w.revision = next, revision
			return nil
		case errors.Is(err, errDeposed):
			return err
		}
		w.log.Event(event.WriteUnanswered, zap.Int64("number", next.Number), zap.Error(err))
		sleep(ctx, commitRetryInterval)
	}
	return ctx.Err()
}

// commitOnce sends a transaction with a timeout.
func (w *writer) commitOnce(ctx context.Context, t core.Transaction) (int64, []core.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return w.store.Commit(ctx, t)
}

// findEarlierCommit returns the revision of the sequence record in the store if it
// is next, so that an earlier attempt of the write was done, and errDeposed if it
// is not.
func findEarlierCommit(items []core.Item, next sequenceRecord) (int64, error) {
	for _, item := range items {
		if item.Key != keySequence {
			continue
		}
		var stored sequenceRecord
		if err := json.Unmarshal(item.Value, &stored); err != nil {
			return 0, errDeposed
		}
		if stored == next {
			return item.Revision, nil
		}
	}
	return 0, errDeposed
}
