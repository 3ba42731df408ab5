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

const maxErrorBodyBytes = 64 << 10

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Code int
	// Body is the response body, truncated to 64 KiB.
	Body []byte
}

// Error returns the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, strings.TrimSpace(string(e.Body)))
}

// StatusCode returns the HTTP status, which Handle sends if a handler returns
// the error.
func (e *StatusError) StatusCode() int {
	return e.Code
}

// Call sends query as JSON and decodes the response. It returns a *StatusError
// if the status is not 200. The request is never retried.
func Call[A any](ctx context.Context, c *http.Client, method, url string, query any) (A, error) {
	var answer A
	req, err := newRequest(ctx, method, url, query)
	if err != nil {
		return answer, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		return answer, &StatusError{Code: resp.StatusCode, Body: body}
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("decode response of %s: %w", url, err)
	}
	return answer, nil
}

func newRequest(ctx context.Context, method, url string, query any) (*http.Request, error) {
	if query == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	body, err := json.Marshal(query)
	if err != nil {
		return nil, fmt.Errorf("encode request to %s: %w", url, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot retry the request on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
