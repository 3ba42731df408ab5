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
	// maxConflictChanges limits the number of changes that a conflict error lists.
	maxConflictChanges  = 20
	operatorCallTimeout = 5 * time.Second
	changeRetryWait     = 50 * time.Millisecond
	// majorityPollInterval is the time between two queries of the voters for the
	// revision that they have in force.
	majorityPollInterval = 50 * time.Millisecond
)

// Apply appends an operator's change to the configuration log, provided that no
// other change was made since the change's base revision. It returns once a
// majority of the voters has the change in force.
func (n *Node) Apply(ctx context.Context, q operator.ChangeQuery) (operator.ChangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	state := n.configState()
	if q.BaseRevision > state.Revision {
		return operator.ChangeReply{}, &operator.StaleError{Known: state.Revision, Base: q.BaseRevision}
	}
	if q.BaseRevision < state.Revision {
		return operator.ChangeReply{}, n.newConflictError(ctx, q.BaseRevision)
	}
	change := &config.Change{
		ID: uuid.NewString(), Revision: state.Revision + 1, Author: q.Author,
		Time: time.Now().UTC(), Operations: q.Operations,
	}
	if err := validateChange(state, change); err != nil {
		n.log.Write(event.ConfigRefused, q.Author, err.Error())
		return operator.ChangeReply{}, err
	}
	if err := n.appendChange(ctx, change); err != nil {
		return operator.ChangeReply{}, err
	}
	n.log.Write(event.ConfigAccepted, change.ID, fmt.Sprintf("revision %d by %s", change.Revision, q.Author))
	n.waitUntilInForce(ctx, change.Revision)
	if !n.waitForMajority(ctx, change.Revision) {
		return operator.ChangeReply{}, &operator.NotInForceError{ID: change.ID, Revision: change.Revision}
	}
	return operator.ChangeReply{Revision: change.Revision, ID: change.ID}, nil
}

// configState returns the configuration in force, or the empty one.
func (n *Node) configState() config.State {
	if c := n.config.Load(); c != nil {
		return c.state
	}
	return config.State{}
}

// validateChange returns all errors of the configuration that results from the
// change.
func validateChange(s config.State, c *config.Change) error {
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

// appendChange writes the change as the next entry of the log. A write with an
// unknown result is repeated with the same content. If the first write took
// effect, the store refuses the repeated one with a conflict.
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
			stored, err := n.readChange(ctx, c.Revision)
			if err == nil && stored.ID == c.ID {
				return nil
			}
			if err == nil {
				return n.newConflictError(ctx, c.Revision-1)
			}
		}
		if !sleepWithJitter(ctx, changeRetryWait) {
			return &operator.WriteResultUnknownError{ID: c.ID, Revision: c.Revision}
		}
	}
}

// readChange reads a change from the log.
func (n *Node) readChange(ctx context.Context, revision int64) (*config.Change, error) {
	entry, err := n.store.Get(ctx, ChangeKey(revision))
	if err != nil {
		return nil, err
	}
	var c config.Change
	if err := json.Unmarshal(entry.Value, &c); err != nil {
		return nil, fmt.Errorf("decode configuration change %d: %w", revision, err)
	}
	return &c, nil
}

// newConflictError returns an error that lists the changes made after base.
func (n *Node) newConflictError(ctx context.Context, base int64) error {
	e := &operator.ConflictError{Base: base}
	for revision := base + 1; len(e.Changes) < maxConflictChanges; revision++ {
		c, err := n.readChange(ctx, revision)
		if errors.Is(err, core.ErrNotFound) {
			break
		}
		if err != nil {
			return fmt.Errorf("read configuration change %d: %w", revision, err)
		}
		e.Changes = append(e.Changes, *c)
	}
	return e
}

// waitUntilInForce waits until this node has the revision in force, or ctx ends.
func (n *Node) waitUntilInForce(ctx context.Context, revision int64) {
	for n.configState().Revision < revision {
		if !sleepFor(ctx, drainPollInterval) {
			return
		}
	}
}

// waitForMajority waits until a majority of the voters has the revision in force.
// Nodes that keep their ownership without the store need a majority as well, so
// none of them works without the change for long.
func (n *Node) waitForMajority(ctx context.Context, revision int64) bool {
	for {
		a := n.directory().assignment
		if a.IsMajority(n.countVotersInForce(ctx, a.Voters, revision)) {
			return true
		}
		if !sleepFor(ctx, majorityPollInterval) {
			return false
		}
	}
}

// countVotersInForce returns the number of voters that have the revision in force.
func (n *Node) countVotersInForce(ctx context.Context, voters map[string]string, revision int64) int {
	count := 0
	for _, status := range askVoters(ctx, voters, n.fetchStatus) {
		if status.Revision >= revision {
			count++
		}
	}
	return count
}

// History returns up to count of the latest changes, newest first.
func (n *Node) History(ctx context.Context, count int) ([]config.Change, error) {
	var changes []config.Change
	for revision := n.configState().Revision; revision > 0 && len(changes) < count; revision-- {
		c, err := n.readChange(ctx, revision)
		if errors.Is(err, core.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("read configuration change %d: %w", revision, err)
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
