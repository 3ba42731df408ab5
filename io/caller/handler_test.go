package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"jacinthwind/common/header"
	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/scheduler"
	"jacinthwind/io/caller"
)

// service records the calls and answers with a fixed result.
type service struct {
	view      *config.View
	result    core.Result
	submitted *core.Request
	key       scheduler.RequestKey
}

func (s *service) View() *config.View { return s.view }

func (s *service) Submit(_ context.Context, r *core.Request) core.Result {
	s.submitted = r
	return s.result
}

func (s *service) Cancel(_ context.Context, key scheduler.RequestKey) core.Result {
	s.key = key
	return s.result
}

func (s *service) Query(_ context.Context, key scheduler.RequestKey) core.Result {
	s.key = key
	return s.result
}

// newService returns a service with a configuration that has an open queue and one
// that requires a key.
func newService(t *testing.T) *service {
	doc := config.Document{Register: config.Register{
		Pools:  []config.Pool{{Name: "p"}},
		Queues: []config.Queue{{Name: "open", Pool: "p", Open: true}, {Name: "q", Pool: "p"}},
		Teams:  []config.Team{{Name: "a", Share: 1, Limit: 1}},
		Keys:   []config.Key{{Name: "k", Team: "a", SHA256: config.DigestKey("secret")}},
	}}
	ops, err := config.State{}.Diff(&doc)
	require.NoError(t, err)
	state, err := config.State{}.Apply(&config.Change{Revision: 1, Operations: ops})
	require.NoError(t, err)
	return &service{
		view:   config.NewView(state, nil),
		result: core.Result{Outcome: core.Done, Answer: &core.Answer{Status: 201, Payload: core.Payload{Header: http.Header{"X-Seal": {"7"}}, Body: []byte("whole")}}},
	}
}

var limits = caller.Limits{MaxBodyBytes: 100, MaxHeldBytes: 1 << 20, DefaultDeadline: time.Minute, MaxDeadline: time.Hour}

// newRequest returns a submission with a valid key and ID; headers override them.
func newRequest(path, body string, headers map[string]string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set(header.Authorization, "Bearer secret")
	r.Header.Set(header.IdempotencyKey, uuid.Must(uuid.NewV7()).String())
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	return r
}

// formatMillis formats a time in milliseconds since the Unix epoch.
func formatMillis(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }

func TestInvalidRequestIsRejected(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		body    string
		headers map[string]string
		status  int
		reason  core.Reason
	}{
		{"unknown queue", "/v1/queues/x/requests", "", nil, 404, core.ReasonQueueUnknown},
		{"no key", "/v1/queues/q/requests", "", map[string]string{header.Authorization: ""}, 401, core.ReasonKeyMissing},
		{"key not in force", "/v1/queues/q/requests", "", map[string]string{header.Authorization: "Bearer x"}, 401, core.ReasonKeyUnknown},
		{"wrong key on an open queue", "/v1/queues/open/requests", "", map[string]string{header.Authorization: "Bearer x"}, 401, core.ReasonKeyUnknown},
		{"body over the limit", "/v1/queues/q/requests", strings.Repeat("x", 101), nil, 413, core.ReasonTooLarge},
		{"deadline in the past", "/v1/queues/q/requests", "", map[string]string{header.Deadline: formatMillis(time.Now().Add(-time.Second))}, 408, core.ReasonDeadlinePassed},
		{"deadline too far", "/v1/queues/q/requests", "", map[string]string{header.Deadline: formatMillis(time.Now().Add(2 * time.Hour))}, 400, core.ReasonBadRequest},
		{"deadline not a number", "/v1/queues/q/requests", "", map[string]string{header.Deadline: "soon"}, 400, core.ReasonBadRequest},
		{"unknown priority", "/v1/queues/q/requests", "", map[string]string{header.Priority: "high"}, 400, core.ReasonBadRequest},
		{"idempotent neither true nor false", "/v1/queues/q/requests", "", map[string]string{header.Idempotent: "yes"}, 400, core.ReasonBadRequest},
		{"non-idempotent id without time", "/v1/queues/q/requests", "", map[string]string{header.IdempotencyKey: "seal-4711"}, 400, core.ReasonBadID},
		{"id with a slash", "/v1/queues/q/requests", "", map[string]string{header.IdempotencyKey: "a/b", header.Idempotent: "true"}, 400, core.ReasonBadID},
		{"id too long", "/v1/queues/q/requests", "", map[string]string{header.IdempotencyKey: strings.Repeat("x", 129), header.Idempotent: "true"}, 400, core.ReasonBadID},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newService(t)
			w := httptest.NewRecorder()
			caller.Handler(s, limits).ServeHTTP(w, newRequest(tt.path, tt.body, tt.headers))
			require.Equal(t, tt.status, w.Code, w.Body.String())
			var b caller.ResultBody
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &b))
			require.Equal(t, tt.reason, b.Reason)
			require.Equal(t, "not_run", b.Outcome)
			require.Equal(t, "not_run", w.Header().Get(header.Outcome))
			require.NotEmpty(t, b.Message)
			require.Nil(t, s.submitted, "a rejected request must not be submitted")
		})
	}
}

func TestRequestWithoutConfigurationIsNotRun(t *testing.T) {
	w := httptest.NewRecorder()
	caller.Handler(&service{}, limits).ServeHTTP(w, newRequest("/v1/queues/q/requests", "", nil))
	require.Equal(t, 503, w.Code)
	require.Equal(t, "not_run", w.Header().Get(header.Outcome))
}

func TestExecutorAnswerIsReturnedUnchanged(t *testing.T) {
	s := newService(t)
	s.result.Answer.Trailer = http.Header{"X-Checksum": {"9"}}
	server := httptest.NewServer(caller.Handler(s, limits))
	defer server.Close()
	r := newRequest(server.URL+"/v1/queues/q/requests", "proof", map[string]string{"X-Die": "3", header.Priority: "urgent"})
	r.RequestURI = ""
	resp, err := server.Client().Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
	require.Equal(t, 201, resp.StatusCode)
	require.Equal(t, "7", resp.Header.Get("X-Seal"))
	require.Equal(t, "9", resp.Trailer.Get("X-Checksum"))
	require.Equal(t, "done", resp.Header.Get(header.Outcome))
	require.Equal(t, "a", s.submitted.Team)
	require.Equal(t, core.Urgent, s.submitted.Priority)
	require.Equal(t, "3", s.submitted.Payload.Header.Get("X-Die"))
	require.Empty(t, s.submitted.Payload.Header.Get(header.Authorization), "the key must not be forwarded")
	require.WithinDuration(t, time.Now(), s.submitted.IssuedAt, time.Minute)
}

func TestOutcomeSetsStatusAndRetryAfter(t *testing.T) {
	tests := []struct {
		name    string
		result  core.Result
		status  int
		outcome string
		retry   string
	}{
		{"overloaded", core.Result{Outcome: core.NotRun, Reason: core.ReasonOverloaded, RetryAfter: 1200 * time.Millisecond}, 429, "not_run", "2"},
		{"no executor", core.Result{Outcome: core.NotRun, Reason: core.ReasonNoExecutor}, 503, "not_run", ""},
		{"attempt lost", core.Result{Outcome: core.Unknown, Reason: core.ReasonAttemptLost}, 504, "unknown", ""},
		{"answer no longer held", core.Result{Outcome: core.Done, Reason: core.ReasonAnswerExpired}, 410, "done", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newService(t)
			s.result = tt.result
			w := httptest.NewRecorder()
			caller.Handler(s, limits).ServeHTTP(w, newRequest("/v1/queues/q/requests", "", nil))
			require.Equal(t, tt.status, w.Code)
			require.Equal(t, tt.outcome, w.Header().Get(header.Outcome))
			require.Equal(t, tt.retry, w.Header().Get(header.RetryAfter))
		})
	}
}

func TestMissingIDIsGeneratedAndSentEarly(t *testing.T) {
	s := newService(t)
	server := httptest.NewServer(caller.Handler(s, limits))
	defer server.Close()
	announced := ""
	r := newRequest(server.URL+"/v1/queues/open/requests", "", map[string]string{header.IdempotencyKey: "", header.Authorization: ""})
	r.RequestURI = ""
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			announced = h.Get(header.RequestID)
			return nil
		},
	}))
	resp, err := server.Client().Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, 201, resp.StatusCode)
	require.Equal(t, s.submitted.ID, resp.Header.Get(header.RequestID))
	require.Equal(t, s.submitted.ID, announced)
	require.False(t, s.submitted.IssuedAt.IsZero())
	require.Empty(t, s.submitted.Team)
}

func TestRequestOverHeldBytesIsRejected(t *testing.T) {
	s := newService(t)
	l := limits
	l.MaxHeldBytes = 1
	w := httptest.NewRecorder()
	caller.Handler(s, l).ServeHTTP(w, newRequest("/v1/queues/q/requests", "", nil))
	require.Equal(t, 429, w.Code)
	require.Equal(t, "1", w.Header().Get(header.RetryAfter))
	require.Nil(t, s.submitted)
}

func TestQueryAndCancelReturnState(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		s := newService(t)
		s.result = core.Result{Outcome: core.Pending, Running: true}
		r := httptest.NewRequest(method, "/v1/queues/q/requests/r1", nil)
		r.Header.Set(header.Authorization, "Bearer secret")
		w := httptest.NewRecorder()
		caller.Handler(s, limits).ServeHTTP(w, r)
		require.Equal(t, 200, w.Code)
		require.JSONEq(t, `{"request_id":"r1","outcome":"pending","running":true}`, w.Body.String())
		require.Equal(t, scheduler.RequestKey{Queue: "q", Team: "a", ID: "r1"}, s.key)
	}
}
