package core

import (
	"context"
	"errors"
	"time"

	"jacinthwind/core/fleet"
)

// Errors of a MetadataStore beside ErrNotFound, ErrCompacted and ErrUnavailable.
var (
	// ErrConflict means that a condition of a transaction does not hold.
	ErrConflict = errors.New("transaction condition does not hold")
	// ErrUncertain means that a write got no answer and may take effect yet.
	ErrUncertain = errors.New("no answer to a write")
)

// Item is a key of the metadata store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store revision of the key's last change.
	Revision int64
	Lease    int64
	Deleted  bool
}

// Page is a part of the keys under a prefix.
type Page struct {
	Items []Item
	More  bool
	AsOf  int64
}

// Condition is a key with the revision that it must have, zero for none.
type Condition struct {
	Key      string
	Revision int64
}

// Put is a key with its new value.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction changes several keys if all conditions hold.
type Transaction struct {
	Expect []Condition
	Puts   []Put
	Remove []string
}

// StoreCall is a call to the metadata store as it goes over the wire.
type StoreCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"body,omitempty"`
	// Waits says that the store may hold its answer back.
	Waits bool `json:"waits,omitempty"`
}

// MetadataStore is the platform's store for configurations and records.
type MetadataStore interface {
	// Get returns a key and the store's revision; a key that does not exist has
	// revision zero.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the keys under prefix that follow after.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes after a revision, and returns those and the
	// revision up to which they are complete.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
	// Commit carries out a transaction and returns its revision, or
	// ErrConflict with the present items of its conditions.
	Commit(ctx context.Context, t Transaction) (int64, []Item, error)
	// GrantLease returns a lease that ends after ttl without renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	// RenewLease extends a lease, or returns ErrNotFound when it has ended.
	RenewLease(ctx context.Context, lease int64) error
	// EndLease removes a lease with its keys.
	EndLease(ctx context.Context, lease int64) error
}

// Workers are the executors as an owner of pools calls them.
type Workers interface {
	Start(ctx context.Context, o fleet.StartOrder) fleet.OrderAnswer
	Stop(ctx context.Context, o fleet.StopOrder) fleet.OrderAnswer
	Pace(ctx context.Context, o fleet.PaceOrder) fleet.OrderAnswer
	Renew(ctx context.Context, o fleet.Renewal) fleet.ExecutorState
}

// Machines is the platform's interface for VMs.
type Machines interface {
	List(ctx context.Context) ([]fleet.VM, error)
	Maintain(ctx context.Context, vm string, wave int, holder string, token int64) fleet.VMOrderOutcome
	Move(ctx context.Context, vm, pool, holder string, token int64) fleet.VMOrderOutcome
}

// Advisor names the executors that may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, executors []string) (fleet.Advice, error)
}
