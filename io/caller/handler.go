package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/semaphore"

	"jacinthwind/common/header"
	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/scheduler"
)

// Service is the node's side of the callers' interface.
type Service interface {
	// View returns the configuration in force, nil before there is one.
	View() *config.View
	Submit(ctx context.Context, r *core.Request) core.Result
	Cancel(ctx context.Context, key scheduler.RequestKey) core.Result
	Query(ctx context.Context, key scheduler.RequestKey) core.Result
}

// Limits bound what callers can make a node hold.
type Limits struct {
	// MaxBody is the size of the largest request body in bytes.
	MaxBody int64
	// MaxHeld is the size of all request bodies held at once in bytes.
	MaxHeld int64
	// DefaultDeadline is the time for requests that state none.
	DefaultDeadline time.Duration
	// MaxDeadline is the longest time that a request may ask for.
	MaxDeadline time.Duration
}

// requestOverhead is what a request without a body counts in bytes held.
const requestOverhead = 2 << 10

type handler struct {
	service Service
	limits  Limits
	held    *semaphore.Weighted
}

// Handler serves the callers' interface.
func Handler(s Service, l Limits) http.Handler {
	h := &handler{service: s, limits: l, held: semaphore.NewWeighted(l.MaxHeld)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/{queue}/requests", h.submit)
	mux.HandleFunc("GET /v1/queues/{queue}/requests/{id}", h.query)
	mux.HandleFunc("DELETE /v1/queues/{queue}/requests/{id}", h.cancel)
	return mux
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	req, fault := h.parse(r)
	if fault != nil {
		writeFault(w, req.ID, fault)
		return
	}
	announceID(w, r, req.ID)
	weight := h.weight(r)
	if !h.held.TryAcquire(weight) {
		writeResult(w, req.ID, core.Result{Outcome: core.NotRun, Reason: core.ReasonOverloaded, RetryAfter: time.Second})
		return
	}
	defer h.held.Release(weight)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.limits.MaxBody))
	if err != nil {
		writeFault(w, req.ID, bodyFault(err))
		return
	}
	req.Payload = &core.Payload{Header: header.EndToEnd(r.Header), Body: body}
	// The work goes on when the caller hangs up; its status stays available.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), req.Deadline.Add(deadlineGrace))
	defer cancel()
	writeResult(w, req.ID, h.service.Submit(ctx, req))
}

// announceID tells a caller that sent no id at once which one was made up.
func announceID(w http.ResponseWriter, r *http.Request, id string) {
	if r.Header.Get(header.IdempotencyKey) != "" || !r.ProtoAtLeast(1, 1) {
		return
	}
	w.Header().Set(header.RequestID, id)
	w.WriteHeader(http.StatusEarlyHints)
}

// deadlineGrace leaves the owner time to report that a deadline has passed.
const deadlineGrace = 500 * time.Millisecond

func (h *handler) weight(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > h.limits.MaxBody {
		return h.limits.MaxBody + requestOverhead
	}
	return r.ContentLength + requestOverhead
}

// parse reads everything but the body of a request.
func (h *handler) parse(r *http.Request) (*core.Request, *fault) {
	req := &core.Request{ID: r.Header.Get(header.IdempotencyKey), Queue: r.PathValue("queue")}
	view := h.service.View()
	if view == nil {
		return req, &fault{core.ReasonConfigurationStale, "no configuration is in force on this node"}
	}
	if f := h.parseID(req); f != nil {
		return req, f
	}
	if f := parseOptions(req, r.Header); f != nil {
		return req, f
	}
	if f := h.parseDeadline(req, r.Header, time.Now()); f != nil {
		return req, f
	}
	return req, authenticate(view, req, r.Header)
}

// parseID takes the caller's id or makes one; the creation time inside it lets
// a later owner tell which ids an earlier one may have run.
func (h *handler) parseID(req *core.Request) *fault {
	if req.ID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return &fault{core.ReasonOverloaded, err.Error()}
		}
		req.ID = id.String()
	}
	if len(req.ID) > maxIDLength || strings.ContainsFunc(req.ID, isNotIDRune) {
		return &fault{core.ReasonBadID, "an id has up to 128 visible ASCII characters without slashes"}
	}
	req.IssuedAt = issueTime(req.ID)
	return nil
}

const maxIDLength = 128

func isNotIDRune(r rune) bool {
	return r <= ' ' || r > '~' || r == '/'
}

const uuidVersionWithTime = 7

// issueTime returns the creation time of a version 7 UUID, zero for other ids.
func issueTime(id string) time.Time {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != uuidVersionWithTime {
		return time.Time{}
	}
	sec, nsec := parsed.Time().UnixTime()
	return time.Unix(sec, nsec).Truncate(time.Millisecond)
}

func parseOptions(req *core.Request, h http.Header) *fault {
	switch p := h.Get(header.Priority); p {
	case "", core.Normal.String():
	case core.Urgent.String():
		req.Priority = core.Urgent
	default:
		return &fault{core.ReasonBadRequest, "priority " + p + " is neither normal nor urgent"}
	}
	switch v := h.Get(header.Idempotent); v {
	case "", "false":
	case "true":
		req.Idempotent = true
	default:
		return &fault{core.ReasonBadRequest, header.Idempotent + " " + v + " is neither true nor false"}
	}
	if !req.Idempotent && req.IssuedAt.IsZero() {
		return &fault{core.ReasonBadID, "the id of a non-idempotent request has to be a version 7 UUID"}
	}
	return nil
}

// authenticate finds the team whose key came with the request.
func authenticate(view *config.View, req *core.Request, h http.Header) *fault {
	queue, ok := view.Queue(req.Queue)
	if !ok {
		return &fault{core.ReasonQueueUnknown, "no queue is named " + req.Queue}
	}
	secret, ok := strings.CutPrefix(h.Get(header.Authorization), "Bearer ")
	if !ok || secret == "" {
		if queue.Open {
			return nil
		}
		return &fault{core.ReasonKeyMissing, "queue " + req.Queue + " takes work only with a team's key as a bearer token"}
	}
	digest := config.DigestKey(secret)
	team, ok := view.TeamOfKey(digest)
	if !ok {
		return &fault{core.ReasonKeyUnknown, "the key is not in force"}
	}
	req.Team = team
	req.KeyHash = digest
	return nil
}

func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	h.byID(w, r, h.service.Query)
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	h.byID(w, r, h.service.Cancel)
}

// byID answers a call about an earlier request of the same team.
func (h *handler) byID(w http.ResponseWriter, r *http.Request, call func(context.Context, scheduler.RequestKey) core.Result) {
	req := &core.Request{ID: r.PathValue("id"), Queue: r.PathValue("queue")}
	view := h.service.View()
	if view == nil {
		writeFault(w, req.ID, &fault{core.ReasonConfigurationStale, "no configuration is in force on this node"})
		return
	}
	if f := authenticate(view, req, r.Header); f != nil {
		writeFault(w, req.ID, f)
		return
	}
	key := scheduler.RequestKey{Queue: req.Queue, Team: req.Team, ID: req.ID}
	writeState(w, req.ID, call(r.Context(), key))
}
