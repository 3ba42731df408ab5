package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"jacinthwind/common/jsonhttp"
)

// Client calls one node's operator interface; its zero value needs Address.
type Client struct {
	// Address is the node's operator address.
	Address string
	// HTTP is the client to use, http.DefaultClient where nil.
	HTTP *http.Client
}

// UnreachableError tells that a node gave no answer.
type UnreachableError struct {
	Address string
	Err     error
}

// Error names the node.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("node %s cannot be reached: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Config returns the configuration in force on the node.
func (c *Client) Config(ctx context.Context) (ConfigReply, error) {
	return call[ConfigReply](ctx, c, http.MethodGet, PathConfig, nil)
}

// History returns the latest changes.
func (c *Client) History(ctx context.Context, count int) (HistoryReply, error) {
	return call[HistoryReply](ctx, c, http.MethodPost, PathHistory, HistoryQuery{Count: count})
}

// Apply asks for a change; the error may be an *InvalidError or a
// *ConflictError.
func (c *Client) Apply(ctx context.Context, q ChangeQuery) (ChangeReply, error) {
	return call[ChangeReply](ctx, c, http.MethodPost, PathChanges, q)
}

// Forget says that the VM of a node is gone for good.
func (c *Client) Forget(ctx context.Context, q ForgetQuery) error {
	_, err := call[ForgetReply](ctx, c, http.MethodPost, PathForget, q)
	return err
}

// Status returns the status of all nodes.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return call[StatusReply](ctx, c, http.MethodGet, PathStatus, nil)
}

// Dump returns the whole state of the node.
func (c *Client) Dump(ctx context.Context) (Dump, error) {
	return call[Dump](ctx, c, http.MethodGet, PathDump, nil)
}

func call[A any](ctx context.Context, c *Client, method, path string, q any) (A, error) {
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
	return answer, typedError(status)
}

// typedError restores the error that the node reported.
func typedError(e *jsonhttp.StatusError) error {
	var typed error
	switch e.Code {
	case http.StatusUnprocessableEntity:
		typed = &InvalidError{}
	case http.StatusConflict:
		typed = &ConflictError{}
	case http.StatusGatewayTimeout:
		return &UncertainError{Text: errorText(e)}
	default:
		return errors.New(errorText(e))
	}
	if err := json.Unmarshal(e.Body, typed); err != nil {
		return e
	}
	return typed
}

// errorText returns the text of an error that has no details.
func errorText(e *jsonhttp.StatusError) string {
	var body jsonhttp.ErrorBody
	if json.Unmarshal(e.Body, &body) == nil && body.Error != "" {
		return body.Error
	}
	return e.Error()
}

// UncertainError tells that it is not known whether a change is in force.
type UncertainError struct {
	Text string
}

// Error returns what the node said.
func (e *UncertainError) Error() string { return e.Text }
