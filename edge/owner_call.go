package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"jacinthwind/common/jsonhttp"
	"jacinthwind/core/cell"
	"jacinthwind/core/job"
)

// ownerCall is a caller's request on its way to the owner.
type ownerCall struct {
	// Kind is one of the call kinds.
	Kind callKind `json:"kind"`
	// Job is the job to submit.
	Job *job.Job `json:"job,omitempty"`
	// Name is the id of the job, or the queue, that is asked for.
	Name string `json:"name,omitempty"`
}

// callKind is what a caller wants.
type callKind string

const (
	callSubmit callKind = "submit"
	callCancel callKind = "cancel"
	callState  callKind = "state"
	callDepth  callKind = "depth"
)

// ownerAnswer is the owner's answer.
type ownerAnswer struct {
	cell.Answer
	State job.State `json:"state,omitempty"`
	Depth int       `json:"depth,omitempty"`
	// Proved says that the owner's lease stood when it answered, so that what
	// it does not know does not exist.
	Proved bool `json:"proved,omitempty"`
}

const (
	ownerPath = "/owner"
	// tryWithin is how long one try at the owner may take; a job that is handed
	// in waits for the store.
	tryWithin = 1200 * time.Millisecond
)

// errNotSent means that a call did not reach the owner and has no effect.
var errNotSent = errors.New("the owner was not reached")

// handleOwner answers a call as the owner.
func (p *Process) handleOwner(ctx context.Context, q ownerCall) (ownerAnswer, error) {
	h := p.owner.local()
	if h == nil {
		return ownerAnswer{Answer: cell.Answer{Verdict: verdictElsewhere}}, nil
	}
	var a ownerAnswer
	var err error
	switch q.Kind {
	case callSubmit:
		if q.Job == nil {
			return a, fmt.Errorf("a submission without a job")
		}
		a.Answer, err = h.submit(ctx, func(c cell.CallID) cell.Event { return cell.Submitted{Call: c, Job: q.Job} })
	case callCancel:
		a.Answer, err = h.submit(ctx, func(c cell.CallID) cell.Event { return cell.CancelAsked{Call: c, Job: q.Name} })
		if err == nil && a.Verdict == cell.Absent {
			err = h.ask(ctx, func(k *cell.Kernel) { a.Proved = k.Proved(mono()) })
		}
	case callState:
		err = h.ask(ctx, func(k *cell.Kernel) {
			a.State, _ = k.StateOf(q.Name)
			a.Proved = k.Proved(mono())
		})
	case callDepth:
		err = h.ask(ctx, func(k *cell.Kernel) { a.Depth = k.Depth(q.Name) })
	default:
		err = fmt.Errorf("unknown kind of call %q", q.Kind)
	}
	return a, err
}

// callOwner sends a call to the owner, on this node or another.
func (p *Process) callOwner(ctx context.Context, q ownerCall) (ownerAnswer, error) {
	record, _ := p.owner.present()
	if record.Node == "" {
		return ownerAnswer{}, errNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, tryWithin)
	defer cancel()
	if record.Incarnation == p.incarnation {
		return p.handleOwner(ctx, q)
	}
	// While the VM of the owner is gone a dial fails and nothing was sent.
	began := time.Now()
	a, err := jsonhttp.Call[ownerAnswer](ctx, p.peerClient, http.MethodPost, "http://"+record.Address+ownerPath, q)
	p.figures.observe("owner", outcomeOf(err), time.Since(began))
	return a, err
}

// askOwner repeats a call until the owner answers or the time is up. Repeating
// is safe: a job's id makes its submission and its cancel idempotent.
func (p *Process) askOwner(ctx context.Context, q ownerCall) (ownerAnswer, error) {
	sent := false
	for {
		_, changed := p.owner.present()
		a, err := p.callOwner(ctx, q)
		if err == nil && a.Verdict != verdictElsewhere {
			return a, nil
		}
		if err != nil && !notSent(err) {
			sent = true
		}
		t := time.NewTimer(ownerRetry)
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

// ownerRetry is the pause between two tries at the owner.
const ownerRetry = 100 * time.Millisecond

// stateFromStore reads a job's state where no owner answers.
func (p *Process) stateFromStore(ctx context.Context, id string) (job.State, bool, error) {
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
