package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/event"
	"jacinthwind/core/membership"
)

// Messages about the content of the store to the membership actor.
type (
	membersChanged struct {
		members  []membership.Member
		revision int64
	}
	assignmentChanged struct{ assignment membership.Assignment }
	viewChanged       struct{ view *config.View }
)

// watchTimeout is longer than any store holds a watch open without changes.
const watchTimeout = 90 * time.Second

// storeFollower applies the changes of the store and holds this node's copy of
// its content.
type storeFollower struct {
	node    *Node
	config  config.Follower
	members map[string]membership.Member
	// revision is the store revision up to which all changes are applied.
	revision int64
}

// followStore watches the store until ctx ends. While the store is unreachable it
// asks peers instead.
func (n *Node) followStore(ctx context.Context) error {
	f := &storeFollower{node: n, members: make(map[string]membership.Member)}
	loaded := false
	for ctx.Err() == nil {
		err := f.loadOrWatch(ctx, loaded)
		switch {
		case err == nil:
			loaded = true
		case errors.Is(err, core.ErrCompacted), errors.Is(err, errWatchCancelled):
			loaded = false
		default:
			f.loadFromPeer(ctx)
			sleepWithJitter(ctx, storeRetryWait)
		}
	}
	return nil
}

// errWatchCancelled reports that a watch was cancelled because it missed changes.
var errWatchCancelled = errors.New("watch store: cancelled to reload the whole content")

// setRevision records the store revision up to which all changes are applied.
func (f *storeFollower) setRevision(revision int64) {
	f.revision = revision
	f.node.followedRevision.Store(revision)
}

// loadOrWatch reads the whole store content if that is necessary, and waits for
// changes otherwise.
func (f *storeFollower) loadOrWatch(ctx context.Context, loaded bool) error {
	if !loaded || f.config.HasGap() {
		return f.loadSnapshot(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	f.node.cancelWatch.Store(&cancel)
	batch, err := f.node.store.Watch(ctx, prefixRoot, f.revision)
	if errors.Is(ctx.Err(), context.Canceled) {
		return errWatchCancelled
	}
	if err != nil {
		return err
	}
	f.applyEvents(batch.Events)
	f.setRevision(batch.Revision)
	f.sendMembers()
	return nil
}

// loadSnapshot reads the whole store content. It refuses a listing that is older
// than the changes applied so far.
func (f *storeFollower) loadSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	listing, err := f.node.store.List(ctx, prefixRoot)
	if err != nil {
		return err
	}
	if listing.Revision < f.revision {
		return fmt.Errorf("load store content: listing has revision %d, want at least %d: %w", listing.Revision, f.revision, core.ErrUnavailable)
	}
	clear(f.members)
	events := make([]core.StoreEvent, len(listing.Entries))
	for i, e := range listing.Entries {
		events[i] = core.StoreEvent{Entry: e}
	}
	f.applyEvents(events)
	f.setRevision(listing.Revision)
	f.sendMembers()
	// The empty assignment is the initial one if the store has no record yet. The
	// kernel ignores it otherwise.
	f.node.send(f.node.membership, &assignmentChanged{})
	f.node.log.Write(event.ConfigReloaded, f.node.settings.Name, fmt.Sprintf("store revision %d", listing.Revision))
	return nil
}

// applyEvents applies changes in the given order, which is that of the revisions for
// configuration changes. It logs an invalid change and skips it.
func (f *storeFollower) applyEvents(events []core.StoreEvent) {
	before := f.config.State().Revision
	for _, ev := range events {
		if err := f.applyEvent(ev); err != nil {
			f.node.log.Write(event.ConfigRefused, ev.Entry.Key, err.Error())
		}
	}
	f.publishConfig(before)
}

// publishConfig puts the configuration in force if its revision is greater than
// before.
func (f *storeFollower) publishConfig(before int64) {
	if f.config.State().Revision > before {
		f.node.setConfig(f.config.State(), f.config.View())
	}
}

// applyChange applies a configuration change once all earlier ones are applied.
// The next change in order is also recorded, so that peers can ask for it.
func (f *storeFollower) applyChange(c *config.Change) {
	if c.Revision == f.config.State().Revision+1 {
		f.node.changes.add(*c)
	}
	if _, err := f.config.ApplyInOrder(c); err != nil {
		f.node.log.Write(event.ConfigRefused, c.ID, err.Error())
	}
}

// applyEvent applies one change of the store.
func (f *storeFollower) applyEvent(ev core.StoreEvent) error {
	switch key := ev.Entry.Key; {
	case isMemberKey(key) && ev.Deleted:
		delete(f.members, key)
	case isMemberKey(key):
		var m membership.Member
		if err := json.Unmarshal(ev.Entry.Value, &m); err != nil {
			return fmt.Errorf("decode member record: %w", err)
		}
		f.members[key] = m
	case key == keyAssignment && !ev.Deleted:
		a, err := membership.DecodeAssignment(ev.Entry.Value, ev.Entry.Revision)
		if err != nil {
			return err
		}
		f.node.send(f.node.membership, &assignmentChanged{a})
	case isForgottenKey(key) && !ev.Deleted:
		f.node.forgotten.Store(strings.TrimPrefix(key, prefixForgotten), struct{}{})
	case isChangeKey(key) && !ev.Deleted:
		var c config.Change
		if err := json.Unmarshal(ev.Entry.Value, &c); err != nil {
			return fmt.Errorf("decode configuration change: %w", err)
		}
		f.applyChange(&c)
	}
	return nil
}

// sendMembers sends the nodes that hold a lease to the membership actor, even if
// only the revision has changed.
func (f *storeFollower) sendMembers() {
	members := slices.Collect(maps.Values(f.members))
	f.node.send(f.node.membership, &membersChanged{members, f.revision})
}
