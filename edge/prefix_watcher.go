package edge

import (
	"context"
	"errors"
	"maps"
	"strings"
	"time"

	"jacinthwind/core"
)

// Follower times.
const (
	// watchWait bounds how long a silent connection hides changes; a
	// configuration has to be in force within 2 s.
	watchWait   = time.Second
	rangeWithin = 1500 * time.Millisecond
	retryPause  = 150 * time.Millisecond
)

// follower keeps the items under a prefix and reports each change.
type follower struct {
	store  core.MetadataStore
	prefix string
	// changed gets a copy of all items after each change and each full reading.
	changed func(items map[string]core.Item)
	// lost and regained report the contact to the store.
	lost     func(error)
	regained func()

	items map[string]core.Item
	asOf  int64
}

// run follows the prefix until ctx ends.
func (f *follower) run(ctx context.Context) {
	synced, silent := false, false
	for ctx.Err() == nil {
		var err error
		if synced {
			err = f.watch(ctx)
		} else {
			err = f.read(ctx)
		}
		switch {
		case err == nil:
			synced = true
			if silent && f.regained != nil {
				f.regained()
			}
			silent = false
		case errors.Is(err, core.ErrCompacted):
			synced = false
		default:
			if !silent && f.lost != nil && ctx.Err() == nil {
				f.lost(err)
			}
			silent = true
			pause(ctx, retryPause)
		}
	}
}

// read takes all items anew.
func (f *follower) read(ctx context.Context) error {
	items, asOf, err := readAll(ctx, f.store, f.prefix)
	if err != nil {
		return err
	}
	f.items, f.asOf = items, asOf
	f.changed(maps.Clone(items))
	return nil
}

// readAll returns the items under a prefix and the revision from which a watch
// completes them; pages are no snapshot, so that is the first page's.
func readAll(ctx context.Context, store core.MetadataStore, prefix string) (map[string]core.Item, int64, error) {
	items := map[string]core.Item{}
	var asOf int64
	after := ""
	for {
		page, err := readPage(ctx, store, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if asOf == 0 {
			asOf = page.AsOf
		}
		for _, item := range page.Items {
			items[item.Key] = item
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return items, asOf, nil
		}
	}
}

func readPage(ctx context.Context, store core.MetadataStore, prefix, after string) (core.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, rangeWithin)
	defer cancel()
	return store.Range(ctx, prefix, after)
}

// watch waits for the next changes.
func (f *follower) watch(ctx context.Context) error {
	page, err := f.store.Watch(ctx, f.prefix, f.asOf, watchWait)
	if err != nil {
		return err
	}
	f.asOf = max(f.asOf, page.AsOf)
	if len(page.Items) == 0 {
		return nil
	}
	for _, item := range page.Items {
		if !strings.HasPrefix(item.Key, f.prefix) {
			continue
		}
		if item.Deleted {
			delete(f.items, item.Key)
		} else {
			f.items[item.Key] = item
		}
	}
	f.changed(maps.Clone(f.items))
	return nil
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
