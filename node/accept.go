package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/event"
	"jacinthwind/io/operator"
)

const (
	// maxConflictChanges bounds the changes that a lost race reports.
	maxConflictChanges = 20
	acceptTimeout      = 5 * time.Second
	acceptRetryWait    = 50 * time.Millisecond
	// majorityPollInterval is the time between two questions which revision the
	// nodes have in force.
	majorityPollInterval = 50 * time.Millisecond
)

// Apply writes an operator's change to the log if nothing came in between.
func (n *Node) Apply(ctx context.Context, q operator.ChangeQuery) (operator.ChangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	state := n.configState()
	if q.BaseRevision > state.Revision {
		return operator.ChangeReply{}, &operator.StaleError{Known: state.Revision, Base: q.BaseRevision}
	}
	if q.BaseRevision < state.Revision {
		return operator.ChangeReply{}, n.conflict(ctx, q.BaseRevision)
	}
	change := &config.Change{
		ID: uuid.NewString(), Revision: state.Revision + 1, Author: q.Author,
		Time: time.Now().UTC(), Operations: q.Operations,
	}
	if err := checkChange(state, change); err != nil {
		n.log.Event(event.ConfigRefused, q.Author, err.Error())
		return operator.ChangeReply{}, err
	}
	if err := n.appendChange(ctx, change); err != nil {
		return operator.ChangeReply{}, err
	}
	n.log.Event(event.ConfigAccepted, change.ID, fmt.Sprintf("revision %d by %s", change.Revision, q.Author))
	n.waitInForce(ctx, change.Revision)
	if !n.waitMajority(ctx, change.Revision) {
		return operator.ChangeReply{}, &operator.NotInForceError{ID: change.ID, Revision: change.Revision}
	}
	return operator.ChangeReply{Revision: change.Revision, ID: change.ID}, nil
}

func (n *Node) configState() config.State {
	if c := n.config.Load(); c != nil {
		return c.state
	}
	return config.State{}
}

// checkChange returns every fault of the configuration after the change.
func checkChange(s config.State, c *config.Change) error {
	next, err := s.Apply(c)
	if err != nil {
		return &operator.InvalidError{Findings: config.Findings{{Path: "operations", Reason: err.Error()}}}
	}
	findings, err := config.Validate(&next.Document)
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		return &operator.InvalidError{Findings: findings}
	}
	return nil
}

// appendChange writes the change as the next one of the log. A write without a
// known result is repeated with the same content, which the store refuses if
// the first one took effect.
func (n *Node) appendChange(ctx context.Context, c *config.Change) error {
	value, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	for {
		result := n.store.CompareAndSwap(ctx, core.Write{Key: ChangeKey(c.Revision), Value: value})
		switch result.Status {
		case core.WriteOK:
			return nil
		case core.WriteConflict:
			known, err := n.readChange(ctx, c.Revision)
			if err == nil && known.ID == c.ID {
				return nil
			}
			if err == nil {
				return n.conflict(ctx, c.Revision-1)
			}
		}
		if !sleepJitter(ctx, acceptRetryWait) {
			return &operator.UnknownError{ID: c.ID, Revision: c.Revision}
		}
	}
}

func (n *Node) readChange(ctx context.Context, revision int64) (*config.Change, error) {
	entry, err := n.store.Get(ctx, ChangeKey(revision))
	if err != nil {
		return nil, err
	}
	var c config.Change
	if err := json.Unmarshal(entry.Value, &c); err != nil {
		return nil, fmt.Errorf("configuration change %d: %w", revision, err)
	}
	return &c, nil
}

// conflict reports the changes that came after base.
func (n *Node) conflict(ctx context.Context, base int64) error {
	e := &operator.ConflictError{Base: base}
	for revision := base + 1; len(e.Changes) < maxConflictChanges; revision++ {
		c, err := n.readChange(ctx, revision)
		if errors.Is(err, core.ErrNotFound) {
			break
		}
		if err != nil {
			return fmt.Errorf("read change %d: %w", revision, err)
		}
		e.Changes = append(e.Changes, *c)
	}
	return e
}

// waitInForce waits until this node has put the revision in force.
func (n *Node) waitInForce(ctx context.Context, revision int64) {
	for n.configState().Revision < revision {
		if !sleepFor(ctx, drainPollInterval) {
			return
		}
	}
}

// waitMajority waits until a majority of the voters has the revision in force.
// Nodes that go on without the store need a majority, too, so that none of them
// works on for long without the change.
func (n *Node) waitMajority(ctx context.Context, revision int64) bool {
	for {
		a := n.directory().assignment
		if a.IsMajority(n.countInForce(ctx, a.Voters, revision)) {
			return true
		}
		if !sleepFor(ctx, majorityPollInterval) {
			return false
		}
	}
}

// countInForce returns the number of voters that have the revision in force.
func (n *Node) countInForce(ctx context.Context, voters map[string]string, revision int64) int {
	count := 0
	for _, status := range askVoters(ctx, voters, n.statusOf) {
		if status.Revision >= revision {
			count++
		}
	}
	return count
}

// History returns the latest changes, newest first.
func (n *Node) History(ctx context.Context, count int) ([]config.Change, error) {
	var changes []config.Change
	for revision := n.configState().Revision; revision > 0 && len(changes) < count; revision-- {
		c, err := n.readChange(ctx, revision)
		if errors.Is(err, core.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("read change %d: %w", revision, err)
		}
		changes = append(changes, *c)
	}
	return changes, nil
}

// Config returns the configuration in force on this node.
func (n *Node) Config(context.Context) (operator.ConfigReply, error) {
	state := n.configState()
	return operator.ConfigReply{Revision: state.Revision, Document: state.Document}, nil
}
