package peer

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
	"jacinthwind/core/membership"
)

const (
	dialTimeout  = time.Second
	idleTimeout  = 60 * time.Second
	maxIdleConns = 256
)

// ErrNotSent reports that no byte of a message reached the peer.
var ErrNotSent = errors.New("message not sent to peer")

// Client calls other nodes. HTTP is required.
type Client struct {
	HTTP *http.Client
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with its own transport. A nil dial selects a
// net.Dialer.
func NewClient(dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{HTTP: &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// Submit sends a request to the owner of its pool and waits for the result.
func (c *Client) Submit(ctx context.Context, address string, s *Submission) (Reply, error) {
	meta, err := encodeSubmissionMeta(s)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathSubmit, bytes.NewReader(s.Request.Payload.Body))
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.GetBody = nil
	header.AddAll(req.Header, s.Request.Payload.Header)
	req.Header.Set(header.Meta, meta)
	req.Header.Set(header.Protocol, ProtocolVersion)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Reply{}, wrapSendError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{}, fmt.Errorf("read reply: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return Reply{}, &jsonhttp.StatusError{Code: resp.StatusCode, Body: body}
	}
	return readReply(resp, body)
}

// wrapSendError adds ErrNotSent if the connection could not be opened.
func wrapSendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// Cancel cancels a request at the owner of its pool.
func (c *Client) Cancel(ctx context.Context, address string, q RequestQuery) (StateReply, error) {
	return jsonhttp.Call[StateReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathCancel, q)
}

// Query asks the owner of the request's pool for the state of the request.
func (c *Client) Query(ctx context.Context, address string, q RequestQuery) (StateReply, error) {
	return jsonhttp.Call[StateReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathQuery, q)
}

// ReportLimits sends reports to the homes of teams on one node.
func (c *Client) ReportLimits(ctx context.Context, address string, q LimitsQuery) (LimitsReply, error) {
	return jsonhttp.Call[LimitsReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathLimits, q)
}

// SendHandover sends a shard's state to its next owner.
func (c *Client) SendHandover(ctx context.Context, address string, q HandoverQuery) error {
	_, err := jsonhttp.Call[Empty](ctx, c.HTTP, http.MethodPost, "http://"+address+PathHandover, q)
	return err
}

// FetchStoreState returns a peer's copy of the store content.
func (c *Client) FetchStoreState(ctx context.Context, address string, q StoreStateQuery) (StoreStateReply, error) {
	return jsonhttp.Call[StoreStateReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathStoreState, q)
}

// RequestPromise asks a voter to let an owner keep its ownership without the
// store.
func (c *Client) RequestPromise(ctx context.Context, address string, q membership.PromiseQuery) (VoteReply, error) {
	return jsonhttp.Call[VoteReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathPromise, q)
}

// RequestLock asks a voter to give no more promises under an assignment.
func (c *Client) RequestLock(ctx context.Context, address string, q membership.LockQuery) (VoteReply, error) {
	return jsonhttp.Call[VoteReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathLock, q)
}

// FetchStatus returns the status of a node.
func (c *Client) FetchStatus(ctx context.Context, address string) (NodeStatus, error) {
	return jsonhttp.Call[NodeStatus](ctx, c.HTTP, http.MethodPost, "http://"+address+PathNodeStatus, Empty{})
}

// ReportAttemptEnd tells the next owner of a pool how an attempt ended.
func (c *Client) ReportAttemptEnd(ctx context.Context, address string, q AttemptEndQuery) error {
	_, err := jsonhttp.Call[Empty](ctx, c.HTTP, http.MethodPost, "http://"+address+PathAttemptEnded, q)
	return err
}
