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

// The messages about the store's content to the membership's actor.
type (
	membersChanged struct {
		members  []membership.Member
		revision int64
	}
	assignmentChanged struct{ assignment membership.Assignment }
	viewChanged       struct{ view *config.View }
)

// watchTimeout is longer than any store lets a watch wait.
const watchTimeout = 90 * time.Second

// storeFollower keeps what the node knows of the store's content.
type storeFollower struct {
	node    *Node
	config  config.Follower
	members map[string]membership.Member
	// revision is the store revision up to which everything is known.
	revision int64
}

// followStore watches the store until ctx ends.
func (n *Node) followStore(ctx context.Context) error {
	f := &storeFollower{node: n, members: make(map[string]membership.Member)}
	loaded := false
	for ctx.Err() == nil {
		err := f.next(ctx, loaded)
		switch {
		case err == nil:
			loaded = true
		case errors.Is(err, core.ErrCompacted), errors.Is(err, errWatchEnded):
			loaded = false
		default:
			f.learnFromPeer(ctx)
			sleepJitter(ctx, storeRetryWait)
		}
	}
	return nil
}

// errWatchEnded tells that a watch was ended because it missed changes.
var errWatchEnded = errors.New("watch ended to read the whole content")

func (f *storeFollower) setRevision(revision int64) {
	f.revision = revision
	f.node.followed.Store(revision)
}

// next reads the whole content or waits for changes.
func (f *storeFollower) next(ctx context.Context, loaded bool) error {
	if !loaded || f.config.HasGap() {
		return f.load(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	f.node.endWatch.Store(&cancel)
	batch, err := f.node.store.Watch(ctx, keyRoot, f.revision)
	if errors.Is(ctx.Err(), context.Canceled) {
		return errWatchEnded
	}
	if err != nil {
		return err
	}
	f.take(batch.Events)
	f.setRevision(batch.Revision)
	f.sendMembers()
	return nil
}

func (f *storeFollower) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	listing, err := f.node.store.List(ctx, keyRoot)
	if err != nil {
		return err
	}
	if listing.Revision < f.revision {
		return fmt.Errorf("store listing at revision %d, %d is known: %w", listing.Revision, f.revision, core.ErrUnavailable)
	}
	clear(f.members)
	events := make([]core.StoreEvent, len(listing.Entries))
	for i, e := range listing.Entries {
		events[i] = core.StoreEvent{Entry: e}
	}
	f.take(events)
	f.setRevision(listing.Revision)
	f.sendMembers()
	// Where there is no record yet, the empty one is the one to start from; the
	// kernel ignores it otherwise.
	f.node.send(f.node.membership, &assignmentChanged{})
	f.node.log.Event(event.ConfigReloaded, f.node.settings.Name, fmt.Sprintf("store revision %d", listing.Revision))
	return nil
}

// take applies changes in the order of their revisions.
func (f *storeFollower) take(events []core.StoreEvent) {
	before := f.config.State().Revision
	for _, ev := range events {
		if err := f.takeOne(ev); err != nil {
			f.node.log.Event(event.ConfigRefused, ev.Entry.Key, err.Error())
		}
	}
	f.publishConfig(before)
}

// publishConfig puts the configuration in force if it is later than before.
func (f *storeFollower) publishConfig(before int64) {
	if f.config.State().Revision > before {
		f.node.setView(f.config.State(), f.config.View())
	}
}

// offer applies a change in its turn and keeps it for peers.
func (f *storeFollower) offer(c *config.Change) {
	if c.Revision == f.config.State().Revision+1 {
		f.node.changes.add(*c)
	}
	if _, err := f.config.Offer(c); err != nil {
		f.node.log.Event(event.ConfigRefused, c.ID, err.Error())
	}
}

func (f *storeFollower) takeOne(ev core.StoreEvent) error {
	switch key := ev.Entry.Key; {
	case isMemberKey(key) && ev.Deleted:
		delete(f.members, key)
	case isMemberKey(key):
		var m membership.Member
		if err := json.Unmarshal(ev.Entry.Value, &m); err != nil {
			return fmt.Errorf("member record: %w", err)
		}
		f.members[key] = m
	case key == keyAssignment && !ev.Deleted:
		a, err := membership.DecodeAssignment(ev.Entry.Value, ev.Entry.Revision)
		if err != nil {
			return err
		}
		f.node.send(f.node.membership, &assignmentChanged{a})
	case isForgottenKey(key) && !ev.Deleted:
		f.node.forgotten.Store(strings.TrimPrefix(key, keyForgotten), struct{}{})
	case isChangeKey(key) && !ev.Deleted:
		var c config.Change
		if err := json.Unmarshal(ev.Entry.Value, &c); err != nil {
			return fmt.Errorf("configuration change: %w", err)
		}
		f.offer(&c)
	}
	return nil
}

// sendMembers tells who holds a lease, also where only the revision is newer.
func (f *storeFollower) sendMembers() {
	members := slices.Collect(maps.Values(f.members))
	f.node.send(f.node.membership, &membersChanged{members, f.revision})
}
