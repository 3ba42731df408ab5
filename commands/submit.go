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
	Node       string        `help:"Caller address of any node." default:"127.0.0.1:7010" env:"JACINTHWIND_CALLER_NODE"`
	Key        string        `help:"The team's key." env:"JACINTHWIND_KEY"`
	ID         string        `name:"id" help:"Id of the request, made up when absent."`
	Idempotent bool          `help:"The request may run more than once."`
	Urgent     bool          `help:"The request goes before normal ones."`
	Within     time.Duration `help:"Time until the deadline." default:"30s"`
	Queue      string        `arg:"" help:"Queue."`
}

// Run implements the command: the body comes from standard input, the answer's
// body goes to standard output, everything else to standard error.
func (c *submitCommand) Run(ctx context.Context, s *streams) error {
	body, err := io.ReadAll(s.in)
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	req, err := c.request(ctx, body)
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
		return &exitError{code: ExitUnknown, text: fmt.Sprintf("the answer was cut off: %v", err)}
	}
	return c.print(s, resp, answer)
}

func (c *submitCommand) request(ctx context.Context, body []byte) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/queues/%s/requests", c.Node, c.Queue)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.ID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, fmt.Errorf("make up an id: %w", err)
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

func (c *submitCommand) print(s *streams, resp *http.Response, answer []byte) error {
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
