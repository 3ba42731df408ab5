package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthwind/common/jsonhttp"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/job"
)

// ownerCall is a caller's request as it is sent to the owner.
type ownerCall struct {
	Kind callKind `json:"kind"`
	// Job is the job to submit.
	Job *job.Job `json:"job,omitempty"`
	// Name is the id of the job, or the name of the queue, that the call is about.
	Name string `json:"name,omitempty"`
	// Attempt numbers the copies of a call that is sent again for want of an answer, from 1.
	Attempt int `json:"attempt,omitempty"`

	// began is when this node read the caller's request, zero for one that changes nothing.
	began time.Duration
	// sent is when the node read the caller's request at the earliest, to about a
	// millisecond, and deadline when its caller stops waiting, on this VM's clock. Both are
	// zero for a call from a node without a link.
	sent, deadline time.Duration
}

// subject returns the id of the job, or the name of the queue, that the call is about.
func (c *ownerCall) subject() string {
	if c.Job != nil {
		return c.Job.ID
	}
	return c.Name
}

// callKind is the kind of a caller's request.
type callKind string

const (
	callSubmit callKind = "submit"
	callCancel callKind = "cancel"
	callState  callKind = "state"
	callDepth  callKind = "depth"
)

// ownerAnswer is the owner's answer to an ownerCall.
type ownerAnswer struct {
	cell.Answer
	State job.State `json:"state,omitempty"`
	Depth int       `json:"depth,omitempty"`
	// LeaseProved reports that the owner's lease was valid when it answered, so that a
	// job that it does not know does not exist.
	LeaseProved bool `json:"proved,omitempty"`
}

const (
	ownerPath = "/owner"
	// ownerCallTimeout limits one call to the owner; a submission takes until the job
	// is stored.
	ownerCallTimeout = 1200 * time.Millisecond
)

// errNotSent means that a call did not reach the owner and has no effect.
var errNotSent = errors.New("call owner: not reached, nothing was sent")

// handleOwner answers a call as the owner.
func (p *Process) handleOwner(ctx context.Context, call ownerCall) (ownerAnswer, error) {
	h := p.ownership.currentHost()
	if h == nil {
		return ownerAnswer{Answer: cell.Answer{Verdict: verdictNotOwner}}, nil
	}
	var a ownerAnswer
	var err error
	switch call.Kind {
	case callSubmit:
		if call.Job == nil {
			return a, fmt.Errorf("a submission without a job")
		}
		if err := call.Job.Check(); err != nil {
			a.Verdict, a.Reason = verdictFaulty, err.Error()
			return a, nil
		}
		if err := h.ensureKnown(ctx, call.Job.ID); err != nil {
			return a, err
		}
		a.Answer, err = h.submit(ctx, func(c cell.CallID) cell.Event {
			return cell.Submitted{Call: c, Job: call.Job, Attempt: call.Attempt, Sent: call.sent, Deadline: call.deadline}
		})
	case callCancel:
		if err := h.ensureKnown(ctx, call.Name); err != nil {
			return a, err
		}
		a.Answer, err = h.submit(ctx, func(c cell.CallID) cell.Event { return cell.CancelRequested{Call: c, Job: call.Name} })
		if err == nil && a.Verdict == cell.NotFound {
			err = h.inspect(ctx, func(k *cell.Kernel) { a.LeaseProved = k.IsLeaseProved(monotonicNow()) })
		}
	case callState:
		if err := h.ensureKnown(ctx, call.Name); err != nil {
			return a, err
		}
		err = h.inspect(ctx, func(k *cell.Kernel) {
			a.State, _ = k.JobState(call.Name)
			a.LeaseProved = k.IsLeaseProved(monotonicNow())
		})
	case callDepth:
		err = h.inspect(ctx, func(k *cell.Kernel) { a.Depth = k.QueueDepth(call.Name) })
	default:
		err = fmt.Errorf("unknown kind of call %q", call.Kind)
	}
	return a, err
}

// callOwner sends a call once to the owner, on this node or another.
func (p *Process) callOwner(ctx context.Context, call ownerCall) (ownerAnswer, error) {
	record, _ := p.ownership.currentRecord()
	if record.Node == "" {
		return ownerAnswer{}, errNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	if record.Incarnation == p.incarnation {
		call.sent = call.began
		call.deadline = monotonicNow() + timeLeft(ctx)
		return p.handleOwner(ctx, call)
	}
	began := time.Now()
	if l := p.link.Load(); l != nil && l.hello.Owner == record.Incarnation {
		a, err := l.call(ctx, call)
		p.metrics.recordCall("link", outcomeLabel(err), time.Since(began))
		return a, err
	}
	if u := p.unlinkable.Load(); record.Links || u == nil || u.Incarnation != record.Incarnation {
		// The link is being opened. No other path tells the owner how old a call is.
		return ownerAnswer{}, errNotSent
	}
	// A node of an older build takes no links. If the owner's VM is gone, the dial fails
	// and nothing is sent.
	a, err := jsonhttp.Call[ownerAnswer](ctx, p.peerClient, http.MethodPost, "http://"+record.Address+ownerPath, call)
	p.metrics.recordCall("owner", outcomeLabel(err), time.Since(began))
	return a, err
}

// timeLeft returns the time until the deadline of ctx, and ownerCallTimeout without one.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return ownerCallTimeout
}

// callOwnerWithRetry repeats a call until the owner answers or ctx ends. Repeating
// is safe: a job's id makes its submission and its cancellation idempotent.
func (p *Process) callOwnerWithRetry(ctx context.Context, call ownerCall) (ownerAnswer, error) {
	sent := false
	call.Attempt = 1
	for {
		began := monotonicNow()
		record, changed := p.ownership.currentRecord()
		a, err := p.callOwner(ctx, call)
		if err == nil && a.Verdict != verdictNotOwner {
			return a, nil
		}
		if err != nil && !isNotSent(err) {
			sent = true
			p.log.Event(event.CallUnanswered, zap.String("kind", string(call.Kind)), zap.String("job", call.subject()), zap.Int("attempt", call.Attempt),
				zap.String("owner", record.Node), zap.Int64("after_ms", (monotonicNow()-began).Milliseconds()), zap.Error(err))
			call.Attempt++
		}
		t := time.NewTimer(ownerRetryInterval)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			if sent {
				return ownerAnswer{}, errUncertain
			}
			return ownerAnswer{}, errNotSent
		}
	}
}

// ownerRetryInterval is the pause between two calls to the owner.
const ownerRetryInterval = 100 * time.Millisecond

// readStoredState returns a job's state as it is stored and reports whether there
// is one; it serves callers while no owner answers.
func (p *Process) readStoredState(ctx context.Context, id string) (job.State, bool, error) {
	page, err := p.store.Range(ctx, prefixProgress+id, "")
	if err != nil {
		return "", false, err
	}
	if len(page.Items) == 0 {
		return "", false, nil
	}
	var progress job.Progress
	if err := json.Unmarshal(page.Items[0].Value, &progress); err != nil {
		return "", false, err
	}
	return progress.State, true, nil
}
