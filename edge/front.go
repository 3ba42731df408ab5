package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Limits on callers' requests.
const (
	// answerWithin is how long a caller's request may take where it names no
	// deadline, and answerMargin what is kept of a deadline for the way back.
	answerWithin = 2500 * time.Millisecond
	answerMargin = 150 * time.Millisecond
	// holdBack is how long a submission waits for an owner before the caller is
	// told to come back: a short change of owners passes in it.
	holdBack       = 600 * time.Millisecond
	defaultMaxBody = 256 << 10
	headerDeadline = "X-Deadline-Ms"
)

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// serveCaller answers callers and times the answers.
func (p *Process) serveCaller(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	sw := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	p.serveFront(sw, r)
	p.figures.observe("caller", strconv.Itoa(sw.status), time.Since(began))
}

// serveFront answers a caller.
func (p *Process) serveFront(w http.ResponseWriter, r *http.Request) {
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	configuration := p.configuration.Load()
	if configuration == nil {
		p.refuse(w, http.StatusServiceUnavailable, minRetry, "no configuration yet")
		return
	}
	queue := configuration.Match(r.Host, r.URL.Path)
	if queue == nil {
		http.Error(w, "no such queue", http.StatusNotFound)
		return
	}
	team, ok := authorise(configuration, queue, r)
	if !ok {
		http.Error(w, "the key is not known", http.StatusUnauthorized)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callerDeadline(r))
	defer cancel()
	id := r.URL.Path[len(queue.Prefix):]
	switch {
	case id == "" && r.Method == http.MethodGet:
		p.serveDepth(ctx, w, queue)
	case !job.ValidID(id):
		http.Error(w, "not a job id", http.StatusNotFound)
	case r.Method == http.MethodPost:
		p.serveSubmit(ctx, w, r, configuration, queue, team, id)
	case r.Method == http.MethodGet:
		p.serveState(ctx, w, id)
	case r.Method == http.MethodDelete:
		p.serveCancel(ctx, w, id)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// authorise returns the team of the request's key; open queues need none.
func authorise(c *fleet.Configuration, q *fleet.Queue, r *http.Request) (string, bool) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if found {
		if team := c.TeamOfKey(key); team != nil {
			return team.Name, true
		}
	}
	return "", q.Open
}

// callerDeadline returns how long the caller waits for the answer.
func callerDeadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return answerWithin
	}
	d := time.Duration(ms) * time.Millisecond
	return max(d-answerMargin, d/2)
}

const minRetry = time.Second

// refuse tells a caller that nothing ran and when to come back.
func (p *Process) refuse(w http.ResponseWriter, status int, after time.Duration, reason string) {
	if after > 0 {
		seconds := int64((after + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	http.Error(w, reason, status)
}

func (p *Process) serveSubmit(ctx context.Context, w http.ResponseWriter, r *http.Request, c *fleet.Configuration, q *fleet.Queue, team, id string) {
	limit := c.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		status := http.StatusBadRequest
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, err.Error(), status)
		return
	}
	j, err := p.codec.Job(id, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j.Queue, j.Team = q.Name, team
	// A caller is not held back while no owner is there to take the job.
	if record, _ := p.owner.present(); record.Node == "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, holdBack)
		defer cancel()
	}
	a, err := p.askOwner(ctx, ownerCall{Kind: callSubmit, Job: j})
	switch {
	case errors.Is(err, errNotSent):
		p.log.Event(event.SubmissionRefused, zap.String("job", id), zap.String("reason", "no owner was reached"))
		p.refuse(w, http.StatusServiceUnavailable, minRetry, "no owner was reached")
	case err != nil:
		p.log.Event(event.SubmissionUncertain, zap.String("job", id), zap.Error(err))
		http.Error(w, "it is not known whether the job was accepted", http.StatusGatewayTimeout)
	case a.Verdict == cell.Accepted:
		w.WriteHeader(http.StatusOK)
	case a.Verdict == cell.Absent:
		// The owner follows the configuration on its own and may be behind.
		p.refuse(w, http.StatusServiceUnavailable, minRetry, a.Reason)
	default:
		p.refuse(w, http.StatusTooManyRequests, a.RetryAfter, a.Reason)
	}
}

func (p *Process) serveState(ctx context.Context, w http.ResponseWriter, id string) {
	a, err := p.callOwner(ctx, ownerCall{Kind: callState, Name: id})
	if err == nil && a.Verdict != verdictElsewhere && (a.State != "" || a.Proved) {
		p.writeState(w, a.State)
		return
	}
	state, _, err := p.stateFromStore(ctx, id)
	if err != nil {
		p.log.Event(event.StateUnknown, zap.String("job", id), zap.Error(err))
		p.refuse(w, http.StatusServiceUnavailable, minRetry, "neither the owner nor the store answers")
		return
	}
	p.writeState(w, state)
}

// writeState sends a state; an empty one means that there is no such job.
func (p *Process) writeState(w http.ResponseWriter, s job.State) {
	if s == "" {
		http.Error(w, "no such job", http.StatusGone)
		return
	}
	p.writeBody(w, p.codec.State(s))
}

func (p *Process) writeBody(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller is gone.
	_, _ = w.Write(body)
}

func (p *Process) serveCancel(ctx context.Context, w http.ResponseWriter, id string) {
	a, err := p.askOwner(ctx, ownerCall{Kind: callCancel, Name: id})
	switch {
	case err != nil:
		p.log.Event(event.CancelUncertain, zap.String("job", id), zap.Error(err))
		http.Error(w, "it is not known whether the job was cancelled", http.StatusGatewayTimeout)
	case a.Verdict == cell.Ended:
		w.WriteHeader(http.StatusOK)
	case a.Proved:
		http.Error(w, "no such job", http.StatusGone)
	default:
		p.refuse(w, http.StatusServiceUnavailable, minRetry, "the owner cannot prove that it knows all jobs")
	}
}

func (p *Process) serveDepth(ctx context.Context, w http.ResponseWriter, q *fleet.Queue) {
	a, err := p.askOwner(ctx, ownerCall{Kind: callDepth, Name: q.Name})
	if err != nil {
		p.refuse(w, http.StatusServiceUnavailable, minRetry, "no owner was reached")
		return
	}
	p.writeBody(w, p.codec.Depth(a.Depth))
}

// notSent reports whether a call failed before anything could be sent.
func notSent(err error) bool {
	if errors.Is(err, errNotSent) || errors.Is(err, errNotOwner) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
