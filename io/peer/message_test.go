package peer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/common/header"
	"jacinthwind/core"
)

func newSubmission() *Submission {
	now := time.UnixMilli(1_800_000_000_000)
	return &Submission{PoolOwnership: PoolOwnership{Pool: "p", Epoch: 3}, SentAt: now, Request: &core.Request{
		ID: "r", IssuedAt: now, Queue: "q", Team: "a", KeyDigest: "h", Priority: core.Urgent, Idempotent: true,
		Deadline: now.Add(time.Second),
	}}
}

func TestSubmissionMetaRoundTrip(t *testing.T) {
	s := newSubmission()
	text, err := encodeSubmissionMeta(s)
	require.NoError(t, err)
	got, err := decodeSubmissionMeta(text)
	require.NoError(t, err)
	require.Equal(t, s, got)
}

func TestInvalidSubmissionIsRefused(t *testing.T) {
	text, err := encodeSubmissionMeta(newSubmission())
	require.NoError(t, err)
	tests := []struct {
		name, meta, version, body string
		status                    int
	}{
		{"another protocol version", text, "2", "", http.StatusUpgradeRequired},
		{"no submission header", "", ProtocolVersion, "", http.StatusBadRequest},
		{"truncated submission header", text[:20], ProtocolVersion, "", http.StatusBadRequest},
		{"no id", strings.Replace(text, `"id":"r"`, `"id":""`, 1), ProtocolVersion, "", http.StatusBadRequest},
		{"unknown priority", strings.Replace(text, `"priority":1`, `"priority":9`, 1), ProtocolVersion, "", http.StatusBadRequest},
		{"body over the limit", text, ProtocolVersion, strings.Repeat("x", 11), http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, PathSubmit, strings.NewReader(tt.body))
			r.Header.Set(header.Meta, tt.meta)
			r.Header.Set(header.Protocol, tt.version)
			w := httptest.NewRecorder()
			// No service is needed, as it must not be called.
			Handler(nil, 10).ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code, w.Body.String())
		})
	}
}

func TestReplyCarriesHeaderBodyAndTrailer(t *testing.T) {
	want := Reply{Accepted: true, Result: core.Result{Outcome: core.Done, Answer: &core.Answer{Status: 418, Payload: core.Payload{
		Header: http.Header{"X-Seal": {"7"}}, Trailer: http.Header{"X-Checksum": {"9"}}, Body: []byte("whole"),
	}}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeReply(w, want) }))
	defer server.Close()
	s := newSubmission()
	s.Request.Payload = &core.Payload{}
	got, err := NewClient(nil).Submit(t.Context(), server.Listener.Addr().String(), s)
	require.NoError(t, err)
	require.True(t, got.Accepted)
	require.Equal(t, 418, got.Result.Answer.Status)
	require.Equal(t, "whole", string(got.Result.Answer.Body))
	require.Equal(t, "7", got.Result.Answer.Header.Get("X-Seal"))
	require.Equal(t, "9", got.Result.Answer.Trailer.Get("X-Checksum"))
}

func TestSubmitErrorTellsWhetherRequestWasSent(t *testing.T) {
	tests := []struct {
		name    string
		serve   http.HandlerFunc
		notSent bool
	}{
		{"truncated answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		}, false},
		{"no reply header", func(http.ResponseWriter, *http.Request) {}, false},
		{"unknown outcome", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(header.Meta, `{"outcome":"x"}`) }, false},
		{"error status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, false},
		{"no listener", nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(tt.serve)
			defer server.Close()
			if tt.serve == nil {
				server.Close()
			}
			s := newSubmission()
			s.Request.Payload = &core.Payload{Body: []byte("b")}
			_, err := NewClient(nil).Submit(t.Context(), server.Listener.Addr().String(), s)
			require.Error(t, err)
			if tt.notSent {
				require.ErrorIs(t, err, ErrNotSent)
				return
			}
			require.NotErrorIs(t, err, ErrNotSent)
		})
	}
}

func FuzzDecodeSubmissionMeta(f *testing.F) {
	text, err := encodeSubmissionMeta(newSubmission())
	require.NoError(f, err)
	f.Add(text)
	f.Add(`{"id":"r","queue":"q","deadline_ms":1,"sent_ms":-1,"epoch":18446744073709551615}`)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := decodeSubmissionMeta(text)
		if err != nil {
			return
		}
		again, err := encodeSubmissionMeta(s)
		require.NoError(t, err)
		_, err = decodeSubmissionMeta(again)
		require.NoError(t, err)
	})
}
