package core

import (
	"context"
	"errors"
	"time"

	"jacinthwind/core/fleet"
)

// Errors that a MetadataStore returns in addition to ErrNotFound, ErrCompacted
// and ErrUnavailable.
var (
	// ErrUnreadable means, beside ErrUnavailable, that the store answered a read with what
	// cannot be decoded.
	ErrUnreadable = errors.New("the store's answer cannot be decoded")
	// ErrConflict means that a condition of a transaction does not hold.
	ErrConflict = errors.New("store transaction: a condition does not hold")
	// ErrUncertain means that a write got no answer and may still take effect.
	ErrUncertain = errors.New("store write got no answer and may still take effect")
	// ErrRejected means that the store does not take a transaction because of its form or
	// size: nothing changed, and a repetition would be rejected again.
	ErrRejected = errors.New("store rejects the transaction")
)

// Item is a key of the metadata store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store revision at which the key last changed.
	Revision int64
	// Lease is the lease whose end deletes the key, zero if it has none.
	Lease int64
	// Deleted marks the deletion of the key in the result of a watch.
	Deleted bool
}

// Page holds part of the items under a prefix, and More says whether there are
// further ones.
type Page struct {
	Items []Item
	More  bool
	// Revision is the store revision up to which the page shows the items.
	Revision int64
}

// Condition requires a key to have a revision or, if Revision is zero, not to exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put sets a key to a value.
type Put struct {
	Key   string
	Value []byte
	// Lease is the lease whose end deletes the key, zero for none.
	Lease int64
}

// Transaction changes several keys atomically if all its conditions hold.
type Transaction struct {
	Expect []Condition
	Puts   []Put
	Remove []string
}

// StoreCall is an HTTP request to the metadata store.
type StoreCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"body,omitempty"`
	// LongPoll marks a long poll, whose answer the store may delay for Wait.
	LongPoll bool          `json:"waits,omitempty"`
	Wait     time.Duration `json:"wait,omitempty"`
	// NewConnection makes the call use a new connection, since all that were kept may have
	// fallen silent.
	NewConnection bool `json:"-"`
	// AnswerWithin, if not zero, limits the time until the answer begins. Such an answer
	// may be large, and may take as long as it makes progress.
	AnswerWithin time.Duration `json:"answer_within,omitempty"`
	// OnProgress is called when an answer begins, and for each part of it that arrives, with
	// the number of bytes since the last call; it may be nil.
	OnProgress func(bytes int) `json:"-"`
}

// MaxGetMany is the largest number of keys that are read by one call.
const MaxGetMany = 32

// MetadataStore is the platform's key-value store for configurations and records.
// Package edge uses it; package node uses Store.
type MetadataStore interface {
	// Get returns the item of a key; a key that does not exist has revision zero.
	Get(ctx context.Context, key string) (Item, error)
	// GetMany returns those items of at most MaxGetMany keys that exist.
	GetMany(ctx context.Context, keys []string) ([]Item, error)
	// Range returns a page of the items under prefix whose keys sort after the
	// key in after.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes under prefix that are later than the revision in
	// after, and returns them with the revision up to which they are complete.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
	// Commit applies a transaction and returns its revision, ErrConflict with the
	// current items of its conditions, or ErrRejected.
	Commit(ctx context.Context, t Transaction) (int64, []Item, error)
	// GrantLease creates a lease that expires after ttl without renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	// RenewLease extends a lease, or returns ErrNotFound if it has expired.
	RenewLease(ctx context.Context, lease int64) error
	// RevokeLease deletes a lease and the keys attached to it.
	RevokeLease(ctx context.Context, lease int64) error
}

// ExecutorClient sends orders to executors on behalf of the owner of the pools.
type ExecutorClient interface {
	Start(ctx context.Context, o fleet.StartOrder) fleet.OrderAnswer
	Stop(ctx context.Context, o fleet.StopOrder) fleet.OrderAnswer
	Throttle(ctx context.Context, o fleet.ThrottleOrder) fleet.OrderAnswer
	Renew(ctx context.Context, o fleet.Renewal) fleet.ExecutorState
}

// VMClient lists the platform's VMs and orders their maintenance and moves
// between pools.
type VMClient interface {
	List(ctx context.Context) ([]fleet.VM, error)
	Maintain(ctx context.Context, vm string, wave int, holder string, token int64) fleet.VMOrderOutcome
	Move(ctx context.Context, vm, pool, holder string, token int64) fleet.VMOrderOutcome
}

// Advisor calls the advice service, which says which executors may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, executors []string) (fleet.Advice, error)
}
