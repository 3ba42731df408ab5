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
	// DefaultMaxAnswer is the size of the largest answer in bytes.
	DefaultMaxAnswer = 8 << 20
	// maxConnections leaves room among an executor's 64 connections for the
	// next owner during a handover.
	maxConnections = 24
	idleTimeout    = 30 * time.Second
	dialTimeout    = time.Second
)

// Client implements core.Executor; its zero value needs HTTP.
type Client struct {
	HTTP *http.Client
	// MaxAnswer is the size of the largest answer in bytes, DefaultMaxAnswer
	// where zero.
	MaxAnswer int64
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with a transport of its own; dial may be nil.
func NewClient(dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{HTTP: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect passes a redirect through as the answer it is.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Run implements core.Executor.
func (c *Client) Run(ctx context.Context, address string, t *core.Task) core.AttemptResult {
	req, err := taskRequest(ctx, address, t)
	if err != nil {
		return core.AttemptResult{Status: core.AttemptRefused, Err: err}
	}
	if !time.Now().Before(t.StartBy) {
		return core.AttemptResult{Status: core.AttemptRefused, Err: errors.New("start-by time passed before sending")}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return core.AttemptResult{Status: statusOfSendError(err), Err: err}
	}
	defer resp.Body.Close()
	return c.readAnswer(resp, t.Attempt)
}

func taskRequest(ctx context.Context, address string, t *core.Task) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathTasks, bytes.NewReader(t.Payload.Body))
	if err != nil {
		return nil, fmt.Errorf("task %s: %w", t.Attempt, err)
	}
	// Without GetBody and an idempotency key the transport cannot send the task
	// again once a byte of it was written.
	req.GetBody = nil
	header.Copy(req.Header, t.Payload.Header)
	req.Header.Set(header.Attempt, t.Attempt.String())
	req.Header.Set(header.RequestID, t.RequestID)
	req.Header.Set(header.Team, t.Team)
	req.Header.Set(header.StartBy, FormatTime(t.StartBy))
	req.Header.Set(header.LeaseUntil, FormatTime(t.LeaseUntil))
	return req, nil
}

// statusOfSendError tells a connection that never came about, which proves
// that nothing started, from everything else.
func statusOfSendError(err error) core.AttemptStatus {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return core.AttemptRefused
	}
	return core.AttemptLost
}

func (c *Client) readAnswer(resp *http.Response, id core.AttemptID) core.AttemptResult {
	if got := resp.Header.Get(header.Attempt); got != id.String() {
		err := fmt.Errorf("answer for attempt %q came to %s", got, id)
		return core.AttemptResult{Status: core.AttemptLost, Err: err}
	}
	if resp.Header.Get(header.Started) == "false" {
		return core.AttemptResult{Status: core.AttemptRefused, Err: fmt.Errorf("executor refused: status %d", resp.StatusCode)}
	}
	if !hasLength(resp) {
		return core.AttemptResult{Status: core.AttemptLost, Err: errors.New("answer without length or chunks")}
	}
	limit := c.MaxAnswer
	if limit == 0 {
		limit = DefaultMaxAnswer
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return core.AttemptResult{Status: core.AttemptLost, Err: fmt.Errorf("answer cut off: %w", err)}
	case int64(len(body)) > limit:
		return core.AttemptResult{Status: core.AttemptOversized}
	case resp.Header.Get(header.Stopped) == "true":
		return core.AttemptResult{Status: core.AttemptStopped}
	}
	return core.AttemptResult{Status: core.AttemptAnswered, Answer: &core.Answer{
		Status: resp.StatusCode,
		Payload: core.Payload{
			Header:  header.EndToEnd(resp.Header),
			Trailer: resp.Trailer,
			Body:    body,
		},
	}}
}

// hasLength reports whether a cut of the answer can be noticed.
func hasLength(resp *http.Response) bool {
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
	return reply.usage()
}
