package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"jacinthwind/common/jsonhttp"
	"jacinthwind/core"
)

// Scheme is the URL scheme under which the driver is registered.
const Scheme = "http"

// Client implements core.Store; its zero value needs a Base.
type Client struct {
	// Base is the service's URL without a trailing slash.
	Base string
	// HTTP is the client to use, http.DefaultClient where nil.
	HTTP *http.Client
}

func init() {
	core.Stores.Register(Scheme, func(address string) (core.Store, error) {
		return &Client{Base: address, HTTP: &http.Client{}}, nil
	})
}

// Get implements core.Store.
func (c *Client) Get(ctx context.Context, key string) (core.Entry, error) {
	return call[core.Entry](ctx, c, PathGet, KeyQuery{Key: key})
}

// List implements core.Store.
func (c *Client) List(ctx context.Context, prefix string) (core.Listing, error) {
	return call[core.Listing](ctx, c, PathList, KeyQuery{Key: prefix})
}

// CompareAndSwap implements core.Store.
func (c *Client) CompareAndSwap(ctx context.Context, w core.Write) core.WriteResult {
	result, err := call[core.WriteResult](ctx, c, PathWrite, w)
	if err != nil {
		return core.WriteResult{Status: core.WriteUnknown}
	}
	return result
}

// GrantLease implements core.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	reply, err := call[LeaseReply](ctx, c, PathGrant, GrantQuery{TTLMS: ttl.Milliseconds()})
	return reply.Lease, err
}

// RenewLease implements core.Store.
func (c *Client) RenewLease(ctx context.Context, id core.LeaseID) (int64, error) {
	reply, err := call[LeaseReply](ctx, c, PathRenew, LeaseQuery{Lease: id})
	return reply.Revision, err
}

// RevokeLease implements core.Store.
func (c *Client) RevokeLease(ctx context.Context, id core.LeaseID) error {
	_, err := call[LeaseReply](ctx, c, PathRevoke, LeaseQuery{Lease: id})
	return err
}

// Watch implements core.Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64) (core.WatchBatch, error) {
	return call[core.WatchBatch](ctx, c, PathWatch, WatchQuery{Prefix: prefix, Revision: revision})
}

// call sends q and decodes the answer; every failure to get an answer is
// core.ErrUnavailable.
func call[A any](ctx context.Context, c *Client, path string, q any) (A, error) {
	answer, err := jsonhttp.Call[A](ctx, c.client(), http.MethodPost, c.Base+path, q)
	if err == nil {
		return answer, nil
	}
	var status *jsonhttp.StatusError
	if errors.As(err, &status) {
		switch status.Code {
		case http.StatusNotFound:
			return answer, core.ErrNotFound
		case http.StatusGone:
			return answer, core.ErrCompacted
		}
	}
	return answer, fmt.Errorf("store %s: %w: %w", path, core.ErrUnavailable, err)
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// CallTimeout is the time that callers should allow for a call that does not
// wait.
const CallTimeout = 2 * time.Second
