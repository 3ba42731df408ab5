package edge

import (
	"context"
	"errors"
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
	// defaultCallerTimeout limits a request without a deadline; deadlineMargin is the
	// part of a caller's deadline that is reserved for sending the answer back.
	defaultCallerTimeout = 2500 * time.Millisecond
	deadlineMargin       = 150 * time.Millisecond
	// maxCallerTimeout limits what callers may ask for.
	maxCallerTimeout = time.Minute
	// noOwnerTimeout is how long a submission waits for an owner before the caller is
	// told to retry; it covers a short change of owners.
	noOwnerTimeout      = 600 * time.Millisecond
	defaultMaxBodyBytes = 256 << 10
	headerDeadline      = "X-Deadline-Ms"
)

// statusRecorder records the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *statusRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// serveCaller answers a caller's request and records its status and duration.
func (p *Process) serveCaller(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	sw := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	conn := clientConnOf(r)
	if r.ContentLength == 0 {
		conn.beginServing()
	} else {
		conn.beginBody(callerTimeout(r))
	}
	if conn.headRead(r) {
		p.routeRequest(sw, r)
	} else {
		p.refuseForMemory(sw, refusedHeadMemory)
	}
	conn.dropHead(r)
	p.metrics.recordCall("caller", strconv.Itoa(sw.status), time.Since(began))
}

// routeRequest finds the queue and the team of a caller's request and passes it to
// the handler of its method.
func (p *Process) routeRequest(w http.ResponseWriter, r *http.Request) {
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	configuration := p.configuration.Load()
	if configuration == nil {
		p.refuse(w, http.StatusServiceUnavailable, defaultRetryAfter, "no configuration yet")
		return
	}
	queue := configuration.Match(r.Host, r.URL.Path)
	if queue == nil {
		p.refuseNotAllowed(w, r, configuration, http.StatusNotFound, "no such queue")
		return
	}
	team, ok := authenticate(configuration, queue, r)
	if !ok {
		p.refuseNotAllowed(w, r, configuration, http.StatusUnauthorized, "the key is not known")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callerTimeout(r))
	defer cancel()
	id := r.URL.Path[len(queue.Prefix):]
	switch {
	case id == "" && r.Method == http.MethodGet:
		p.serveDepth(ctx, w, queue)
	case !job.IsValidID(id):
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

// maxLoggedPath is how much of a request's path is logged, in bytes.
const maxLoggedPath = 100

// refuseNotAllowed answers a request that the configuration does not allow. While that may be an old
// one, a newer one may allow it.
func (p *Process) refuseNotAllowed(w http.ResponseWriter, r *http.Request, c *fleet.Configuration, status int, reason string) {
	age := p.configurationAge()
	outdated := p.settings.MaxConfigurationAge > 0 && age > p.settings.MaxConfigurationAge
	if outdated {
		status, reason = http.StatusServiceUnavailable, reason+" in the last known configuration"
	}
	p.log.Event(event.RequestNotAllowed, zap.String("path", r.URL.Path[:min(len(r.URL.Path), maxLoggedPath)]), zap.Int("status", status),
		zap.String("reason", reason), zap.Int64("version", c.Version), zap.Int64("age_ms", age.Milliseconds()))
	if outdated {
		p.refuse(w, status, defaultRetryAfter, reason)
		return
	}
	http.Error(w, reason, status)
}

// authenticate returns the team of the request's key and reports whether the request
// is allowed; open queues need no key.
func authenticate(c *fleet.Configuration, queue *fleet.Queue, r *http.Request) (string, bool) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if found {
		if team := c.TeamOfKey(key); team != nil {
			return team.Name, true
		}
	}
	return "", queue.Open
}

// callerTimeout returns the time within which a caller's request has to be
// answered: the deadline less deadlineMargin, but at least half of it.
func callerTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return defaultCallerTimeout
	}
	d := time.Duration(min(ms, maxCallerTimeout.Milliseconds())) * time.Millisecond
	return max(d-deadlineMargin, d/2)
}

// defaultRetryAfter is the Retry-After value of refusals without an estimate.
const defaultRetryAfter = time.Second

// refuse answers that nothing was done, and after how long to retry if after is
// positive.
func (p *Process) refuse(w http.ResponseWriter, status int, after time.Duration, reason string) {
	if after > 0 {
		seconds := int64((after + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	http.Error(w, reason, status)
}

// refuseForMemory refuses a request for which there is no memory, and closes its connection
// rather than to read the rest of the request.
func (p *Process) refuseForMemory(w http.ResponseWriter, reason closeReason) {
	p.callers.count(reason)
	w.Header().Set("Connection", "close")
	p.refuse(w, http.StatusServiceUnavailable, defaultRetryAfter, string(reason))
}

// serveSubmit decodes a caller's job and submits it to the owner.
func (p *Process) serveSubmit(ctx context.Context, w http.ResponseWriter, r *http.Request, c *fleet.Configuration, queue *fleet.Queue, team, id string) {
	began := monotonicNow()
	conn := clientConnOf(r)
	conn.dropHead(r)
	limit := c.MaxBody
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, reserved, err := p.readBody(r, limit)
	defer func() { p.memory.release(reserved) }()
	if err != nil {
		p.refuseBody(w, conn, err)
		return
	}
	conn.beginServing()
	j, decoded, err := p.decodeJob(id, body)
	defer func() { p.memory.release(decoded) }()
	switch {
	case errors.Is(err, errNoBodyMemory):
		p.refuseForMemory(w, refusedJobMemory)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	end, ok := p.largeJobs.begin(ctx, decoded, p.countNodes)
	if !ok {
		p.refuseForMemory(w, refusedPassingOn)
		return
	}
	defer end()
	j.Queue, j.Team = queue.Name, team
	// Without an owner the caller is told to retry early instead of at its deadline.
	if record, _ := p.ownership.currentRecord(); record.Node == "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, noOwnerTimeout)
		defer cancel()
	}
	a, err := p.callOwnerWithRetry(ctx, ownerCall{Kind: callSubmit, Job: j, began: began})
	switch {
	case errors.Is(err, errNotSent):
		p.log.Event(event.SubmissionRefused, zap.String("job", id), zap.String("reason", "no owner was reached"))
		p.refuse(w, http.StatusServiceUnavailable, defaultRetryAfter, "no owner was reached")
	case err != nil:
		p.log.Event(event.SubmissionUncertain, zap.String("job", id), zap.Error(err))
		http.Error(w, "it is not known whether the job was accepted", http.StatusGatewayTimeout)
	case a.Verdict == cell.Accepted:
		w.WriteHeader(http.StatusOK)
	case a.Verdict == verdictFaulty:
		p.log.Event(event.SubmissionRefused, zap.String("job", id), zap.String("reason", a.Reason))
		http.Error(w, a.Reason, http.StatusBadRequest)
	case a.Verdict == cell.NotFound:
		// The owner reads the configuration independently and may still have an older
		// one.
		p.refuse(w, http.StatusServiceUnavailable, defaultRetryAfter, a.Reason)
	default:
		p.refuse(w, http.StatusTooManyRequests, a.RetryAfter, a.Reason)
	}
}

// serveState answers with a job's state as the owner knows it or, without an answer
// from the owner, as it is stored.
func (p *Process) serveState(ctx context.Context, w http.ResponseWriter, id string) {
	a, err := p.callOwner(ctx, ownerCall{Kind: callState, Name: id})
	if err == nil && a.Verdict != verdictNotOwner && (a.State != "" || a.LeaseProved) {
		p.writeState(w, a.State)
		return
	}
	var state job.State
	err = p.lookups.do(ctx, func() (err error) {
		state, _, err = p.readStoredState(ctx, id)
		return err
	})
	if err != nil {
		p.log.Event(event.StateUnknown, zap.String("job", id), zap.Error(err))
		p.refuse(w, http.StatusServiceUnavailable, defaultRetryAfter, "neither the owner nor the store answers")
		return
	}
	p.writeState(w, state)
}

// writeState writes a job's state; an empty state means that there is no such job.
func (p *Process) writeState(w http.ResponseWriter, s job.State) {
	if s == "" {
		http.Error(w, "no such job", http.StatusGone)
		return
	}
	p.writeJSON(w, p.codec.EncodeState(s))
}

// writeJSON writes an encoded JSON body.
func (p *Process) writeJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected.
	_, _ = w.Write(body)
}

// serveCancel cancels a job at the owner.
func (p *Process) serveCancel(ctx context.Context, w http.ResponseWriter, id string) {
	a, err := p.callOwnerWithRetry(ctx, ownerCall{Kind: callCancel, Name: id})
	switch {
	case err != nil:
		p.log.Event(event.CancelUncertain, zap.String("job", id), zap.Error(err))
		http.Error(w, "it is not known whether the job was cancelled", http.StatusGatewayTimeout)
	case a.Verdict == cell.JobEnded:
		w.WriteHeader(http.StatusOK)
	case a.Verdict == verdictFaulty:
		p.log.Event(event.CancelUncertain, zap.String("job", id), zap.String("reason", a.Reason))
		http.Error(w, a.Reason, http.StatusInternalServerError)
	case a.LeaseProved:
		http.Error(w, "no such job", http.StatusGone)
	default:
		p.refuse(w, http.StatusServiceUnavailable, defaultRetryAfter, "the owner cannot prove that it knows all jobs")
	}
}

// serveDepth answers with the number of accepted jobs of a queue that have not begun.
func (p *Process) serveDepth(ctx context.Context, w http.ResponseWriter, queue *fleet.Queue) {
	a, err := p.callOwnerWithRetry(ctx, ownerCall{Kind: callDepth, Name: queue.Name})
	if err != nil {
		p.refuse(w, http.StatusServiceUnavailable, defaultRetryAfter, "no owner was reached")
		return
	}
	p.writeJSON(w, p.codec.EncodeQueueDepth(a.Depth))
}

// isNotSent reports whether a call failed before anything could be sent.
func isNotSent(err error) bool {
	if errors.Is(err, errNotSent) || errors.Is(err, errNotOwner) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
