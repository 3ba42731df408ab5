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

// ErrNotSent means that no byte of a message reached the peer.
var ErrNotSent = errors.New("peer not reached")

// Client calls other nodes; its zero value needs HTTP.
type Client struct {
	HTTP *http.Client
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with a transport of its own; dial may be nil.
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
	meta, err := encodeMeta(s)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathSubmit, bytes.NewReader(s.Request.Payload.Body))
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.GetBody = nil
	header.Copy(req.Header, s.Request.Payload.Header)
	req.Header.Set(header.Meta, meta)
	req.Header.Set(header.Protocol, ProtocolVersion)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Reply{}, classify(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{}, fmt.Errorf("reply cut off: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return Reply{}, &jsonhttp.StatusError{Code: resp.StatusCode, Body: body}
	}
	return readReply(resp, body)
}

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// Cancel withdraws a request at its owner.
func (c *Client) Cancel(ctx context.Context, address string, q KeyQuery) (StateReply, error) {
	return jsonhttp.Call[StateReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathCancel, q)
}

// Query asks the owner for the state of a request.
func (c *Client) Query(ctx context.Context, address string, q KeyQuery) (StateReply, error) {
	return jsonhttp.Call[StateReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathQuery, q)
}

// Limits reports to the homes of teams on one node.
func (c *Client) Limits(ctx context.Context, address string, q LimitsQuery) (LimitsReply, error) {
	return jsonhttp.Call[LimitsReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathLimits, q)
}

// Handover sends a shard's state to its next owner.
func (c *Client) Handover(ctx context.Context, address string, q HandoverQuery) error {
	_, err := jsonhttp.Call[Empty](ctx, c.HTTP, http.MethodPost, "http://"+address+PathHandover, q)
	return err
}

// Knowledge asks a peer what it knows of the store.
func (c *Client) Knowledge(ctx context.Context, address string, q KnowledgeQuery) (KnowledgeReply, error) {
	return jsonhttp.Call[KnowledgeReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathKnowledge, q)
}

// Promise asks a voter to let an owner go on without the store.
func (c *Client) Promise(ctx context.Context, address string, q membership.PromiseQuery) (VoteReply, error) {
	return jsonhttp.Call[VoteReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathPromise, q)
}

// Lock asks a voter to let nobody go on under an assignment.
func (c *Client) Lock(ctx context.Context, address string, q membership.LockQuery) (VoteReply, error) {
	return jsonhttp.Call[VoteReply](ctx, c.HTTP, http.MethodPost, "http://"+address+PathLock, q)
}

// NodeStatus asks a node for its status.
func (c *Client) NodeStatus(ctx context.Context, address string) (NodeStatus, error) {
	return jsonhttp.Call[NodeStatus](ctx, c.HTTP, http.MethodPost, "http://"+address+PathNode, Empty{})
}

// AttemptEnded tells the next owner how an attempt ended.
func (c *Client) AttemptEnded(ctx context.Context, address string, q AttemptQuery) error {
	_, err := jsonhttp.Call[Empty](ctx, c.HTTP, http.MethodPost, "http://"+address+PathAttemptEnded, q)
	return err
}
