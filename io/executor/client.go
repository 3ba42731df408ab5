package executor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"jacinthwind/common/header"
	"jacinthwind/common/jsonhttp"
	"jacinthwind/core"
)

const (
	// DefaultMaxAnswerBytes is the default maximum size of an answer.
	DefaultMaxAnswerBytes = 8 << 20
	// maxConnectionsPerExecutor leaves some of an executor's 64 connections to the
	// next owner during a handover.
	maxConnectionsPerExecutor = 24
	idleTimeout               = 30 * time.Second
	dialTimeout               = time.Second
)

// Client implements core.Executor. HTTP is required.
type Client struct {
	HTTP *http.Client
	// MaxAnswerBytes is the maximum size of an answer, or zero for
	// DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with its own transport. A nil dial selects a
// net.Dialer.
func NewClient(dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnectionsPerExecutor,
		MaxIdleConnsPerHost: maxConnectionsPerExecutor,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{HTTP: &http.Client{Transport: transport, CheckRedirect: keepRedirect}}
}

// keepRedirect makes the client return a redirect as the task's answer instead of
// following it.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Run implements core.Executor.
func (c *Client) Run(ctx context.Context, address string, t *core.Task) core.AttemptResult {
	req, err := newTaskRequest(ctx, address, t)
	if err != nil {
		return core.AttemptResult{Status: core.AttemptRefused, Err: err}
	}
	if !time.Now().Before(t.StartBy) {
		return core.AttemptResult{Status: core.AttemptRefused, Err: errors.New("send task: the start-by time has passed")}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return core.AttemptResult{Status: classifySendError(err), Err: err}
	}
	defer resp.Body.Close()
	return c.readAnswer(resp, t.Attempt)
}

// newTaskRequest returns the HTTP request that starts a task.
func newTaskRequest(ctx context.Context, address string, t *core.Task) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathTasks, bytes.NewReader(t.Payload.Body))
	if err != nil {
		return nil, fmt.Errorf("create request for task %s: %w", t.Attempt, err)
	}
	// Without GetBody and an idempotency key, the transport cannot resend the task
	// once it has written a byte of it.
	req.GetBody = nil
	header.AddAll(req.Header, t.Payload.Header)
	req.Header.Set(header.Attempt, t.Attempt.String())
	req.Header.Set(header.RequestID, t.RequestID)
	req.Header.Set(header.Team, t.Team)
	req.Header.Set(header.StartBy, FormatTime(t.StartBy))
	req.Header.Set(header.LeaseUntil, FormatTime(t.LeaseUntil))
	return req, nil
}

// classifySendError returns AttemptRefused if the connection could not be opened,
// which proves that the task did not start, and AttemptLost otherwise.
func classifySendError(err error) core.AttemptStatus {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return core.AttemptRefused
	}
	return core.AttemptLost
}

// readAnswer reads the executor's answer and determines the status of the attempt.
func (c *Client) readAnswer(resp *http.Response, id core.AttemptID) core.AttemptResult {
	if got := resp.Header.Get(header.Attempt); got != id.String() {
		err := fmt.Errorf("read answer: it is for attempt %q, want %s", got, id)
		return core.AttemptResult{Status: core.AttemptLost, Err: err}
	}
	if resp.Header.Get(header.Started) == "false" {
		return core.AttemptResult{Status: core.AttemptRefused, Err: fmt.Errorf("start task: the executor refused it with status %d", resp.StatusCode)}
	}
	if !canDetectTruncation(resp) {
		return core.AttemptResult{Status: core.AttemptLost, Err: errors.New("read answer: it has neither a content length nor chunked encoding")}
	}
	limit := c.MaxAnswerBytes
	if limit == 0 {
		limit = DefaultMaxAnswerBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return core.AttemptResult{Status: core.AttemptLost, Err: fmt.Errorf("read answer: %w", err)}
	case int64(len(body)) > limit:
		return core.AttemptResult{Status: core.AttemptOversized}
	case resp.Header.Get(header.Stopped) == "true":
		return core.AttemptResult{Status: core.AttemptStopped}
	}
	return core.AttemptResult{Status: core.AttemptAnswered, Answer: &core.Answer{
		Status: resp.StatusCode,
		Payload: core.Payload{
			Header:  header.SelectEndToEnd(resp.Header),
			Trailer: resp.Trailer,
			Body:    body,
		},
	}}
}

// canDetectTruncation reports whether a truncated answer can be recognised.
func canDetectTruncation(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// Stop implements core.Executor.
func (c *Client) Stop(ctx context.Context, address string, id core.AttemptID) error {
	_, err := jsonhttp.Call[StopReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathStop, StopQuery{Attempt: id.String()})
	return err
}

// Report implements core.Executor.
func (c *Client) Report(ctx context.Context, address string, renew []core.LeaseRenewal) (core.Usage, error) {
	q := UsageQuery{Renew: make([]Lease, len(renew))}
	for i, r := range renew {
		q.Renew[i] = Lease{Attempt: r.Attempt.String(), UntilMS: r.LeaseUntil.UnixMilli()}
	}
	reply, err := jsonhttp.Call[UsageReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathUsage, q)
	if err != nil {
		return core.Usage{}, err
	}
	return reply.decode()
}
