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
	// maxPuts and the condition, the sequence and the store's limit of 32
	// entries a transaction belong together.
	maxPuts      = 30
	maxPutsBytes = 512 << 10
	commitWithin = 800 * time.Millisecond
	commitRetry  = 150 * time.Millisecond
)

// errDeposed means that another owner wrote.
var errDeposed = errors.New("another owner has written")

// writer carries out the writes of one owner, one after the other, exactly once.
type writer struct {
	store core.MetadataStore
	codec core.Codec
	log   *eventlog.Log
	// sequence and revision are the last write that is known to be done.
	sequence sequenceRecord
	revision int64
}

// write stores a whole write, in several transactions where it is large.
func (w *writer) write(ctx context.Context, e cell.Write) error {
	var puts []core.Put
	for _, r := range e.Puts {
		puts = append(puts, put(w.codec, r))
	}
	var remove []string
	for _, id := range e.Remove {
		remove = append(remove, prefixJob+id, prefixProgress+id)
	}
	for len(puts) > 0 || len(remove) > 0 {
		n := chunk(puts)
		m := min(len(remove), maxPuts-n)
		if err := w.commit(ctx, puts[:n], remove[:m]); err != nil {
			return err
		}
		puts, remove = puts[n:], remove[m:]
	}
	return nil
}

// chunk returns how many puts fit one transaction.
func chunk(puts []core.Put) int {
	size := 0
	for i, p := range puts {
		size += len(p.Value)
		if i == maxPuts || (size > maxPutsBytes && i > 0) {
			return i
		}
	}
	return len(puts)
}

// commit repeats a transaction until it is known to be done once. A transaction
// that got no answer cannot take effect after its repetition has, since each
// expects the sequence before it.
func (w *writer) commit(ctx context.Context, puts []core.Put, remove []string) error {
	next := sequenceRecord{w.sequence.Generation, w.sequence.Number + 1}
	t := core.Transaction{
		Expect: []core.Condition{{Key: keySequence, Revision: w.revision}},
		Puts:   append([]core.Put{{Key: keySequence, Value: encode(next)}}, puts...),
		Remove: remove,
	}
	for ctx.Err() == nil {
		revision, items, err := w.try(ctx, t)
		if errors.Is(err, core.ErrConflict) {
			revision, err = resolve(items, next)
		}
		switch {
		case err == nil:
			w.sequence, w.revision = next, revision
			return nil
		case errors.Is(err, errDeposed):
			return err
		}
		w.log.Event(event.WriteUnanswered, zap.Int64("number", next.Number), zap.Error(err))
		pause(ctx, commitRetry)
	}
	return ctx.Err()
}

func (w *writer) try(ctx context.Context, t core.Transaction) (int64, []core.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, commitWithin)
	defer cancel()
	return w.store.Commit(ctx, t)
}

// resolve tells from the sequence that stands in the store whether the write
// next was done by an earlier try.
func resolve(items []core.Item, next sequenceRecord) (int64, error) {
	for _, item := range items {
		if item.Key != keySequence {
			continue
		}
		var present sequenceRecord
		if err := json.Unmarshal(item.Value, &present); err != nil {
			return 0, errDeposed
		}
		if present == next {
			return item.Revision, nil
		}
	}
	return 0, errDeposed
}
