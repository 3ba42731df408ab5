package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core"
)

// readOnlyStore serves reads from functions.
type readOnlyStore struct {
	core.MetadataStore
	list  func(after string) (core.Page, error)
	watch func(after int64) (core.Page, error)
}

func (s *readOnlyStore) Range(_ context.Context, _, after string) (core.Page, error) {
	return s.list(after)
}

func (s *readOnlyStore) Watch(_ context.Context, _ string, after int64, _ time.Duration) (core.Page, error) {
	return s.watch(after)
}

// TestWatchGoesOnAfterUnreadableAnswer lets a watch from one revision answer what cannot be
// decoded, each time: the watcher reads all items anew and goes on from there.
func TestWatchGoesOnAfterUnreadableAnswer(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	revision := int64(1)
	store := &readOnlyStore{
		list: func(string) (core.Page, error) {
			return core.Page{Items: []core.Item{{Key: "p/1", Revision: revision}}, Revision: revision}, nil
		},
		watch: func(after int64) (core.Page, error) {
			if after == 1 {
				revision = 2
				return core.Page{}, fmt.Errorf("%w: %w", core.ErrUnavailable, core.ErrUnreadable)
			}
			return core.Page{Items: []core.Item{{Key: "p/2", Revision: 3}}, Revision: 3}, nil
		},
	}
	w := prefixWatcher{store: store, prefix: "p/", onChange: func(items map[string]core.Item) {
		if _, ok := items["p/2"]; ok {
			cancel()
		}
	}}
	w.run(ctx)
	require.ErrorIs(t, ctx.Err(), context.Canceled, "the watch never went on")
	require.Equal(t, int64(2), w.items["p/1"].Revision)
}

// TestKeyThatIsNotTextEndsTheList lets the last key of a page arrive changed, so that the
// next page is the same one again: the list ends with what has been read.
func TestKeyThatIsNotTextEndsTheList(t *testing.T) {
	pages := 0
	store := &readOnlyStore{list: func(after string) (core.Page, error) {
		if pages++; pages > 10 {
			return core.Page{}, fmt.Errorf("%w: read again and again", core.ErrUnavailable)
		}
		if after == "" {
			return core.Page{Items: []core.Item{{Key: "p/1"}}, More: true, Revision: 1}, nil
		}
		return core.Page{Items: []core.Item{{Key: "p/\ufffd"}}, More: true, Revision: 1}, nil
	}}
	items, _, err := readPrefix(t.Context(), store, "p/")
	require.NoError(t, err)
	require.Len(t, items, 2)
}
