package core

import (
	"context"
	"errors"
	"time"
)

// Errors that a Store returns.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrCompacted means that a watch asks for a revision that is no longer held.
	ErrCompacted = errors.New("watch revision compacted")
	// ErrUnavailable means that the store gave no answer, so a read did not happen.
	ErrUnavailable = errors.New("store unavailable")
)

// WriteStatus is the result of a write to the store.
type WriteStatus uint8

// The results of a write.
const (
	// WriteUnknown means that the write may have taken effect.
	WriteUnknown WriteStatus = iota
	// WriteOK means that the write took effect.
	WriteOK
	// WriteConflict means that the key had another revision and nothing changed.
	WriteConflict
)

// LeaseID names a lease in the store.
type LeaseID string

// Entry is one key of the store.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store revision of the last change of the key.
	Revision int64 `json:"revision"`
	// Lease is the lease that the entry vanishes with, empty where there is none.
	Lease LeaseID `json:"lease,omitempty"`
}

// Listing is a consistent set of entries.
type Listing struct {
	Entries []Entry `json:"entries"`
	// Revision is the store revision that the listing shows.
	Revision int64 `json:"revision"`
}

// StoreEvent is one change that a watch delivers.
type StoreEvent struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// WatchBatch is the answer to one waiting watch.
type WatchBatch struct {
	Events []StoreEvent `json:"events"`
	// Revision is the store revision up to which the batch is complete.
	Revision int64 `json:"revision"`
}

// Write is a conditional change of one key.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Expect is the revision the key must have, zero where it must not exist.
	Expect int64   `json:"expect"`
	Lease  LeaseID `json:"lease,omitempty"`
	Delete bool    `json:"delete,omitempty"`
}

// WriteResult is the answer to a Write.
type WriteResult struct {
	Status WriteStatus `json:"status"`
	// Revision is the revision of the change when Status is WriteOK.
	Revision int64 `json:"revision"`
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry of key, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap carries out w if its condition holds.
	CompareAndSwap(ctx context.Context, w Write) WriteResult
	// GrantLease creates a lease that lapses after ttl without renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its ttl and returns the store revision, or
	// ErrNotFound when the lease has lapsed.
	RenewLease(ctx context.Context, id LeaseID) (int64, error)
	// RevokeLease ends a lease and deletes its entries.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits for changes after revision under prefix; a batch without
	// events means that none came within the store's waiting time.
	Watch(ctx context.Context, prefix string, revision int64) (WatchBatch, error)
}

// VMState is what the platform's VM list says of a VM.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMStatus is one entry of the platform's VM list, which lags behind the VMs.
type VMStatus struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
	// Instance changes when the VM is replaced under the same name.
	Instance string `json:"instance"`
}

// VMLister is the platform's lagging list of live and leaving VMs.
type VMLister interface {
	// ListVMs returns the list, or ErrUnavailable.
	ListVMs(ctx context.Context) ([]VMStatus, error)
}

// Executor is the target side of a task.
type Executor interface {
	// Run sends a task and waits for its end; it never sends a task twice.
	Run(ctx context.Context, address string, t *Task) AttemptResult
	// Stop asks the executor to end a task early.
	Stop(ctx context.Context, address string, id AttemptID) error
	// Report renews task leases and returns the usage after it.
	Report(ctx context.Context, address string, renew []LeaseRenewal) (Usage, error)
}
