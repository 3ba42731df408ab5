package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"jacinthwind/common/jsonhttp"
)

// Client calls the operator interface of one node. Address is required.
type Client struct {
	// Address is the node's operator address.
	Address string
	// HTTP is the HTTP client, or nil for http.DefaultClient.
	HTTP *http.Client
}

// UnreachableError reports that a node gave no answer.
type UnreachableError struct {
	Address string
	Err     error
}

// Error returns the node's address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("call node %s: no answer: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Config returns the configuration in force on the node.
func (c *Client) Config(ctx context.Context) (ConfigReply, error) {
	return callNode[ConfigReply](ctx, c, http.MethodGet, PathConfig, nil)
}

// History returns up to count of the latest changes, newest first.
func (c *Client) History(ctx context.Context, count int) (HistoryReply, error) {
	return callNode[HistoryReply](ctx, c, http.MethodPost, PathHistory, HistoryQuery{Count: count})
}

// Apply submits a change. The error is an *InvalidError or a *ConflictError if the
// node refused the change, and a *ChangeUncertainError if the result is unknown.
func (c *Client) Apply(ctx context.Context, q ChangeQuery) (ChangeReply, error) {
	return callNode[ChangeReply](ctx, c, http.MethodPost, PathChanges, q)
}

// Forget declares that the VM of a node is permanently gone.
func (c *Client) Forget(ctx context.Context, q ForgetQuery) error {
	_, err := callNode[ForgetReply](ctx, c, http.MethodPost, PathForget, q)
	return err
}

// Status returns the status of all nodes.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return callNode[StatusReply](ctx, c, http.MethodGet, PathStatus, nil)
}

// Dump returns the whole state of the node.
func (c *Client) Dump(ctx context.Context) (Dump, error) {
	return callNode[Dump](ctx, c, http.MethodGet, PathDump, nil)
}

// callNode sends q to the node and decodes the answer.
func callNode[A any](ctx context.Context, c *Client, method, path string, q any) (A, error) {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	answer, err := jsonhttp.Call[A](ctx, client, method, "http://"+c.Address+path, q)
	if err == nil {
		return answer, nil
	}
	var status *jsonhttp.StatusError
	if !errors.As(err, &status) {
		return answer, &UnreachableError{Address: c.Address, Err: err}
	}
	return answer, decodeError(status)
}

// decodeError returns the error that the node reported.
func decodeError(e *jsonhttp.StatusError) error {
	var typed error
	switch e.Code {
	case http.StatusUnprocessableEntity:
		typed = &InvalidError{}
	case http.StatusConflict:
		typed = &ConflictError{}
	case http.StatusGatewayTimeout:
		return &ChangeUncertainError{Text: decodeErrorText(e)}
	default:
		return errors.New(decodeErrorText(e))
	}
	if err := json.Unmarshal(e.Body, typed); err != nil {
		return e
	}
	return typed
}

// decodeErrorText returns the message of an error answer without details.
func decodeErrorText(e *jsonhttp.StatusError) string {
	var body jsonhttp.ErrorBody
	if json.Unmarshal(e.Body, &body) == nil && body.Error != "" {
		return body.Error
	}
	return e.Error()
}

// ChangeUncertainError reports that a change may or may not be in force.
type ChangeUncertainError struct {
	Text string
}

// Error returns the node's message.
func (e *ChangeUncertainError) Error() string { return e.Text }
