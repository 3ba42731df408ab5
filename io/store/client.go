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

// Scheme is the URL scheme for which the driver is registered.
const Scheme = "http"

// Client implements core.Store. Base is required.
type Client struct {
	// Base is the service's URL without a trailing slash.
	Base string
	// HTTP is the HTTP client, or nil for http.DefaultClient.
	HTTP *http.Client
}

func init() {
	core.Stores.Register(Scheme, func(address string) (core.Store, error) {
		return &Client{Base: address, HTTP: &http.Client{}}, nil
	})
}

// Get implements core.Store.
func (c *Client) Get(ctx context.Context, key string) (core.Entry, error) {
	return callStore[core.Entry](ctx, c, PathGet, KeyQuery{Key: key})
}

// List implements core.Store.
func (c *Client) List(ctx context.Context, prefix string) (core.Listing, error) {
	return callStore[core.Listing](ctx, c, PathList, KeyQuery{Key: prefix})
}

// CompareAndSwap implements core.Store.
func (c *Client) CompareAndSwap(ctx context.Context, w core.Write) core.WriteResult {
	result, err := callStore[core.WriteResult](ctx, c, PathWrite, w)
	if err != nil {
		return core.WriteResult{Status: core.WriteUnknown}
	}
	return result
}

// GrantLease implements core.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	reply, err := callStore[LeaseReply](ctx, c, PathGrant, GrantQuery{TTLMS: ttl.Milliseconds()})
	return reply.Lease, err
}

// RenewLease implements core.Store.
func (c *Client) RenewLease(ctx context.Context, id core.LeaseID) (int64, error) {
	reply, err := callStore[LeaseReply](ctx, c, PathRenew, LeaseQuery{Lease: id})
	return reply.Revision, err
}

// RevokeLease implements core.Store.
func (c *Client) RevokeLease(ctx context.Context, id core.LeaseID) error {
	_, err := callStore[LeaseReply](ctx, c, PathRevoke, LeaseQuery{Lease: id})
	return err
}

// Watch implements core.Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64) (core.WatchBatch, error) {
	return callStore[core.WatchBatch](ctx, c, PathWatch, WatchQuery{Prefix: prefix, Revision: revision})
}

// callStore sends q and decodes the answer. It returns core.ErrUnavailable if it
// gets no usable answer.
func callStore[A any](ctx context.Context, c *Client, path string, q any) (A, error) {
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
	return answer, fmt.Errorf("call store %s: %w: %w", path, core.ErrUnavailable, err)
}

// client returns the HTTP client to use.
func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// CallTimeout is the recommended timeout of a call other than Watch.
const CallTimeout = 2 * time.Second
