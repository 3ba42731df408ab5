package executor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/common/header"
	"jacinthwind/core"
	"jacinthwind/io/executor"
)

func newTask() *core.Task {
	return &core.Task{
		Attempt: core.AttemptID{Pool: "p", Epoch: 1, Seq: 2}, RequestID: "r", Team: "a",
		StartBy: time.Now().Add(time.Minute), LeaseUntil: time.Now().Add(time.Minute),
		Payload: &core.Payload{Header: http.Header{"X-Die": {"3"}}, Body: []byte("body")},
	}
}

// TestRunClassifiesAnswer covers the answers that an executor may give and the
// status of the attempt that each leads to.
func TestRunClassifiesAnswer(t *testing.T) {
	echoAttempt := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(header.Attempt, r.Header.Get(header.Attempt))
	}
	tests := []struct {
		name   string
		serve  http.HandlerFunc
		status core.AttemptStatus
	}{
		{"whole answer", func(w http.ResponseWriter, r *http.Request) {
			echoAttempt(w, r)
			_, _ = w.Write([]byte("ok"))
		}, core.AttemptAnswered},
		{"error of the task itself", func(w http.ResponseWriter, r *http.Request) {
			echoAttempt(w, r)
			w.WriteHeader(500)
		}, core.AttemptAnswered},
		{"refused", func(w http.ResponseWriter, r *http.Request) {
			echoAttempt(w, r)
			w.Header().Set(header.Started, "false")
			w.WriteHeader(503)
		}, core.AttemptRefused},
		{"stopped", func(w http.ResponseWriter, r *http.Request) {
			echoAttempt(w, r)
			w.Header().Set(header.Stopped, "true")
			w.WriteHeader(503)
		}, core.AttemptStopped},
		{"answer of another attempt", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(header.Attempt, "p.1.1")
		}, core.AttemptLost},
		{"answer without attempt header", func(http.ResponseWriter, *http.Request) {}, core.AttemptLost},
		{"answer truncated before its content length", func(w http.ResponseWriter, r *http.Request) {
			echoAttempt(w, r)
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		}, core.AttemptLost},
		{"answer truncated within chunks", func(w http.ResponseWriter, r *http.Request) {
			echoAttempt(w, r)
			_, _ = w.Write([]byte("half"))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, core.AttemptLost},
		{"connection closed without answer", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, core.AttemptLost},
		{"answer too large", func(w http.ResponseWriter, r *http.Request) {
			echoAttempt(w, r)
			_, _ = w.Write([]byte(strings.Repeat("x", 200)))
		}, core.AttemptOversized},
		{"redirect passes through", func(w http.ResponseWriter, r *http.Request) {
			echoAttempt(w, r)
			http.Redirect(w, r, "/elsewhere", http.StatusFound)
		}, core.AttemptAnswered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				tt.serve(w, r)
			}))
			defer server.Close()
			c := executor.NewClient(nil)
			c.MaxAnswerBytes = 100
			result := c.Run(t.Context(), server.Listener.Addr().String(), newTask())
			require.Equal(t, tt.status, result.Status, "%v", result.Err)
			require.Equal(t, int32(1), calls.Load(), "a task must be sent exactly once")
		})
	}
}

// TestTaskIsNotResentOnClosedConnection covers a server that closes a reused idle
// connection. In that case net/http resends requests that carry an idempotency
// key.
func TestTaskIsNotResentOnClosedConnection(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(header.Attempt, r.Header.Get(header.Attempt))
	}))
	defer server.Close()
	c := executor.NewClient(nil)
	for _, status := range []core.AttemptStatus{core.AttemptAnswered, core.AttemptLost} {
		task := newTask()
		task.Payload = &core.Payload{Header: header.SelectEndToEnd(http.Header{
			"Idempotency-Key": {"x"}, "X-Idempotency-Key": {"x"},
		})}
		result := c.Run(t.Context(), server.Listener.Addr().String(), task)
		require.Equal(t, status, result.Status)
	}
	require.Equal(t, int32(2), calls.Load())
}

func TestRunRefusesUnsentTask(t *testing.T) {
	t.Run("after the start-by time", func(t *testing.T) {
		task := newTask()
		task.StartBy = time.Now().Add(-time.Second)
		result := executor.NewClient(nil).Run(t.Context(), "127.0.0.1:1", task)
		require.Equal(t, core.AttemptRefused, result.Status)
	})
	t.Run("to an address without a listener", func(t *testing.T) {
		server := httptest.NewServer(http.NotFoundHandler())
		address := server.Listener.Addr().String()
		server.Close()
		result := executor.NewClient(nil).Run(t.Context(), address, newTask())
		require.Equal(t, core.AttemptRefused, result.Status)
	})
}

func TestRunTimeoutIsLostAttempt(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	result := executor.NewClient(nil).Run(ctx, server.Listener.Addr().String(), newTask())
	require.Equal(t, core.AttemptLost, result.Status)
}

func TestReportDecodesUsage(t *testing.T) {
	tests := []struct {
		name, answer, err string
	}{
		{"valid report", `{"executor":"vm1","instance":"i","slots":8,"running":[{"attempt":"p.1.2","until_ms":1000,"request_id":"r","team":"a"}]}`, ""},
		{"invalid attempt ID", `{"running":[{"attempt":"x"}]}`, "want pool.epoch.seq"},
		{"truncated JSON", `{"running":[`, "unexpected EOF"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(tt.answer))
			}))
			defer server.Close()
			usage, err := executor.NewClient(nil).Report(t.Context(), server.Listener.Addr().String(), nil)
			if tt.err != "" {
				require.ErrorContains(t, err, tt.err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, core.AttemptID{Pool: "p", Epoch: 1, Seq: 2}, usage.Running[0].Attempt)
			require.Equal(t, "vm1", usage.Executor)
		})
	}
}
