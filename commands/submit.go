package commands

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"jacinthwind/common/header"
	"jacinthwind/core"
	"jacinthwind/io/operator"
)

type submitCommand struct {
	Node       string        `help:"Caller address of any node, HOST:PORT." default:"127.0.0.1:7010" env:"JACINTHWIND_CALLER_NODE"`
	Key        string        `help:"Secret of the team's key." env:"JACINTHWIND_KEY"`
	ID         string        `name:"id" help:"Request ID; generated if empty."`
	Idempotent bool          `help:"Allow the request to run more than once."`
	Urgent     bool          `help:"Give the request priority over normal requests."`
	Within     time.Duration `help:"Time until the deadline." default:"30s"`
	Queue      string        `arg:"" help:"Name of the queue."`
}

// Run submits a request with the body from standard input. It writes the body
// of the answer to standard output and everything else to standard error.
func (c *submitCommand) Run(ctx context.Context, s *streams) error {
	body, err := io.ReadAll(s.in)
	if err != nil {
		return fmt.Errorf("read request body from standard input: %w", err)
	}
	req, err := c.newRequest(ctx, body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &operator.UnreachableError{Address: c.Node, Err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return &exitError{code: ExitUnknown, message: fmt.Sprintf("read answer body: %v", err)}
	}
	return c.printAnswer(s, resp, answer)
}

func (c *submitCommand) newRequest(ctx context.Context, body []byte) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/queues/%s/requests", c.Node, c.Queue)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.ID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, fmt.Errorf("generate request ID: %w", err)
		}
		c.ID = id.String()
	}
	if c.Key != "" {
		req.Header.Set(header.Authorization, "Bearer "+c.Key)
	}
	if c.Urgent {
		req.Header.Set(header.Priority, core.Urgent.String())
	}
	req.Header.Set(header.IdempotencyKey, c.ID)
	req.Header.Set(header.Idempotent, strconv.FormatBool(c.Idempotent))
	req.Header.Set(header.Deadline, strconv.FormatInt(time.Now().Add(c.Within).UnixMilli(), 10))
	return req, nil
}

func (c *submitCommand) printAnswer(s *streams, resp *http.Response, answer []byte) error {
	outcome := resp.Header.Get(header.Outcome)
	fmt.Fprintf(s.err, "request %s: %s, status %d %s\n", c.ID, outcome, resp.StatusCode, resp.Header.Get(header.Reason))
	if _, err := s.out.Write(answer); err != nil {
		return err
	}
	switch outcome {
	case core.Done.String():
		return nil
	case core.NotRun.String():
		return &exitError{code: ExitNotRun}
	}
	return &exitError{code: ExitUnknown}
}
