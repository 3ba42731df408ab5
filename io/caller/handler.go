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

// Service is implemented by the node to serve the caller interface.
type Service interface {
	// View returns the configuration in force, or nil before the first one is known.
	View() *config.View
	// Submit runs a request and returns its result.
	Submit(ctx context.Context, r *core.Request) core.Result
	// Cancel cancels a request and returns its state.
	Cancel(ctx context.Context, key scheduler.RequestKey) core.Result
	// Query returns the state of a request.
	Query(ctx context.Context, key scheduler.RequestKey) core.Result
}

// Limits restricts the size and the deadlines of the requests that callers can
// submit.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxHeldBytes is the maximum total size of all request bodies held at once.
	MaxHeldBytes int64
	// DefaultDeadline is the deadline of requests without one, relative to their
	// arrival.
	DefaultDeadline time.Duration
	// MaxDeadline is the latest deadline that a request may ask for, relative to its
	// arrival.
	MaxDeadline time.Duration
}

// requestOverheadBytes counts towards Limits.MaxHeldBytes for every request, in
// addition to its body.
const requestOverheadBytes = 2 << 10

// handler implements the caller interface.
type handler struct {
	service Service
	limits  Limits
	held    *semaphore.Weighted
}

// Handler returns the handler of the caller interface.
func Handler(s Service, l Limits) http.Handler {
	h := &handler{service: s, limits: l, held: semaphore.NewWeighted(l.MaxHeldBytes)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/{queue}/requests", h.submit)
	mux.HandleFunc("GET /v1/queues/{queue}/requests/{id}", h.query)
	mux.HandleFunc("DELETE /v1/queues/{queue}/requests/{id}", h.cancel)
	return mux
}

// submit submits a request and answers with its result.
func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	req, rejection := h.parseRequest(r)
	if rejection != nil {
		writeRejection(w, req.ID, rejection)
		return
	}
	sendEarlyID(w, r, req.ID)
	weight := h.estimateHeldBytes(r)
	if !h.held.TryAcquire(weight) {
		writeResult(w, req.ID, core.Result{Outcome: core.NotRun, Reason: core.ReasonOverloaded, RetryAfter: time.Second})
		return
	}
	defer h.held.Release(weight)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.limits.MaxBodyBytes))
	if err != nil {
		writeRejection(w, req.ID, newBodyRejection(err))
		return
	}
	req.Payload = &core.Payload{Header: header.SelectEndToEnd(r.Header), Body: body}
	// The request continues if the caller disconnects, and its state can be queried.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), req.Deadline.Add(deadlineGrace))
	defer cancel()
	writeResult(w, req.ID, h.service.Submit(ctx, req))
}

// sendEarlyID sends the ID generated for a request in a 103 Early Hints response,
// if the caller did not choose one.
func sendEarlyID(w http.ResponseWriter, r *http.Request, id string) {
	if r.Header.Get(header.IdempotencyKey) != "" || !r.ProtoAtLeast(1, 1) {
		return
	}
	w.Header().Set(header.RequestID, id)
	w.WriteHeader(http.StatusEarlyHints)
}

// deadlineGrace gives the owner time to report that the deadline has passed.
const deadlineGrace = 500 * time.Millisecond

// estimateHeldBytes returns the number of bytes to reserve for a request. A body of
// unknown size counts as the largest one.
func (h *handler) estimateHeldBytes(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > h.limits.MaxBodyBytes {
		return h.limits.MaxBodyBytes + requestOverheadBytes
	}
	return r.ContentLength + requestOverheadBytes
}

// parseRequest reads and validates everything of a request except the body.
func (h *handler) parseRequest(r *http.Request) (*core.Request, *rejection) {
	req := &core.Request{ID: r.Header.Get(header.IdempotencyKey), Queue: r.PathValue("queue")}
	view := h.service.View()
	if view == nil {
		return req, &rejection{core.ReasonConfigurationStale, "no configuration is in force on this node"}
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

// parseID validates the caller's ID or generates a version 7 UUID. The creation
// time in the UUID lets a later owner decide which requests an earlier owner may
// have run.
func (h *handler) parseID(req *core.Request) *rejection {
	if req.ID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return &rejection{core.ReasonOverloaded, err.Error()}
		}
		req.ID = id.String()
	}
	if len(req.ID) > maxIDLength || strings.ContainsFunc(req.ID, isInvalidIDRune) {
		return &rejection{core.ReasonBadID, "an id has up to 128 visible ASCII characters without slashes"}
	}
	req.IssuedAt = parseIssueTime(req.ID)
	return nil
}

// maxIDLength is the maximum length of a request ID.
const maxIDLength = 128

// isInvalidIDRune reports whether r must not occur in a request ID.
func isInvalidIDRune(r rune) bool {
	return r <= ' ' || r > '~' || r == '/'
}

// uuidVersionWithTime is the UUID version that contains its creation time.
const uuidVersionWithTime = 7

// parseIssueTime returns the creation time of a version 7 UUID, or the zero time
// for other IDs.
func parseIssueTime(id string) time.Time {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != uuidVersionWithTime {
		return time.Time{}
	}
	sec, nsec := parsed.Time().UnixTime()
	return time.Unix(sec, nsec).Truncate(time.Millisecond)
}

// parseOptions reads the priority and whether the request is idempotent.
func parseOptions(req *core.Request, h http.Header) *rejection {
	switch p := h.Get(header.Priority); p {
	case "", core.Normal.String():
	case core.Urgent.String():
		req.Priority = core.Urgent
	default:
		return &rejection{core.ReasonBadRequest, "priority " + p + " is neither normal nor urgent"}
	}
	switch v := h.Get(header.Idempotent); v {
	case "", "false":
	case "true":
		req.Idempotent = true
	default:
		return &rejection{core.ReasonBadRequest, header.Idempotent + " " + v + " is neither true nor false"}
	}
	if !req.Idempotent && req.IssuedAt.IsZero() {
		return &rejection{core.ReasonBadID, "the id of a non-idempotent request has to be a version 7 UUID"}
	}
	return nil
}

// authenticate finds the team that the request's key belongs to. An open queue
// accepts requests without a key.
func authenticate(view *config.View, req *core.Request, h http.Header) *rejection {
	queue, ok := view.Queue(req.Queue)
	if !ok {
		return &rejection{core.ReasonQueueUnknown, "no queue is named " + req.Queue}
	}
	secret, ok := strings.CutPrefix(h.Get(header.Authorization), "Bearer ")
	if !ok || secret == "" {
		if queue.Open {
			return nil
		}
		return &rejection{core.ReasonKeyMissing, "queue " + req.Queue + " takes work only with a team's key as a bearer token"}
	}
	digest := config.DigestKey(secret)
	team, ok := view.TeamOfKey(digest)
	if !ok {
		return &rejection{core.ReasonKeyUnknown, "the key is not in force"}
	}
	req.Team = team
	req.KeyDigest = digest
	return nil
}

// query answers with the state of an earlier request.
func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	h.handleByID(w, r, h.service.Query)
}

// cancel cancels an earlier request and answers with its state.
func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	h.handleByID(w, r, h.service.Cancel)
}

// handleByID authenticates a call about an earlier request of the same team and
// answers with the result of call.
func (h *handler) handleByID(w http.ResponseWriter, r *http.Request, call func(context.Context, scheduler.RequestKey) core.Result) {
	req := &core.Request{ID: r.PathValue("id"), Queue: r.PathValue("queue")}
	view := h.service.View()
	if view == nil {
		writeRejection(w, req.ID, &rejection{core.ReasonConfigurationStale, "no configuration is in force on this node"})
		return
	}
	if f := authenticate(view, req, r.Header); f != nil {
		writeRejection(w, req.ID, f)
		return
	}
	key := scheduler.RequestKey{Queue: req.Queue, Team: req.Team, ID: req.ID}
	writeState(w, req.ID, call(r.Context(), key))
}
