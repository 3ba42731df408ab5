package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const maxErrorBody = 64 << 10

// StatusError is an answer other than 200.
type StatusError struct {
	Code int
	// Body is the answer's body, cut at 64 KiB.
	Body []byte
}

// Error returns the status with the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, strings.TrimSpace(string(e.Body)))
}

// StatusCode makes a StatusError usable as the error of a handler.
func (e *StatusError) StatusCode() int {
	return e.Code
}

// Call sends q as JSON and decodes the answer; an answer other than 200 is a
// *StatusError. The message is never sent a second time.
func Call[A any](ctx context.Context, c *http.Client, method, url string, q any) (A, error) {
	var answer A
	req, err := newRequest(ctx, method, url, q)
	if err != nil {
		return answer, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
		return answer, &StatusError{Code: resp.StatusCode, Body: body}
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return answer, nil
}

func newRequest(ctx context.Context, method, url string, q any) (*http.Request, error) {
	if q == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	body, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode message for %s: %w", url, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send the message again by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
