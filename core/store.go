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
	// ErrCompacted means that the store no longer holds the revision that a watch
	// starts from.
	ErrCompacted = errors.New("watch revision is compacted")
	// ErrUnavailable means that the store did not answer and nothing was read.
	ErrUnavailable = errors.New("service unavailable")
)

// WriteStatus is the result of a write to the store.
type WriteStatus uint8

// The results of a write.
const (
	// WriteUnknown means that the write may have taken effect.
	WriteUnknown WriteStatus = iota
	// WriteOK means that the write took effect.
	WriteOK
	// WriteConflict means that the key had a different revision and nothing changed.
	WriteConflict
)

// LeaseID identifies a lease in the store.
type LeaseID string

// Entry is a key of the store with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store revision at which the key last changed.
	Revision int64 `json:"revision"`
	// Lease is the lease whose end deletes the entry, empty if it has none.
	Lease LeaseID `json:"lease,omitempty"`
}

// Listing is a consistent snapshot of entries.
type Listing struct {
	Entries []Entry `json:"entries"`
	// Revision is the store revision of the snapshot.
	Revision int64 `json:"revision"`
}

// StoreEvent is a change of one entry that a watch delivers.
type StoreEvent struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// WatchBatch is the answer to one watch request.
type WatchBatch struct {
	Events []StoreEvent `json:"events"`
	// Revision is the store revision up to which the batch is complete.
	Revision int64 `json:"revision"`
}

// Write is a conditional change of one key.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Expect is the revision that the key must have, zero if it must not exist.
	Expect int64   `json:"expect"`
	Lease  LeaseID `json:"lease,omitempty"`
	Delete bool    `json:"delete,omitempty"`
}

// WriteResult is the answer to a Write.
type WriteResult struct {
	Status WriteStatus `json:"status"`
	// Revision is the store revision of the change if Status is WriteOK.
	Revision int64 `json:"revision"`
}

// Store is the key-value service of package node. Package edge uses MetadataStore.
type Store interface {
	// Get returns the entry of key, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap applies w if the key has the expected revision.
	CompareAndSwap(ctx context.Context, w Write) WriteResult
	// GrantLease creates a lease that expires after ttl without renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its TTL and returns the store revision, or
	// ErrNotFound if the lease has expired.
	RenewLease(ctx context.Context, id LeaseID) (int64, error)
	// RevokeLease ends a lease and deletes its entries.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits for changes under prefix that are later than revision; a batch
	// without events means that the store's wait timed out.
	Watch(ctx context.Context, prefix string, revision int64) (WatchBatch, error)
}

// VMState is the state of a VM in the list of a VMLister.
type VMState string

// The states of a VM in the list of a VMLister.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMStatus is one entry of the platform's VM list, which may be out of date.
type VMStatus struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
	// Instance changes when the VM is replaced under the same name.
	Instance string `json:"instance"`
}

// VMLister lists the live and leaving VMs of the platform, possibly out of date.
type VMLister interface {
	// ListVMs returns the list, or ErrUnavailable.
	ListVMs(ctx context.Context) ([]VMStatus, error)
}

// Executor is a client of the executors that run tasks.
type Executor interface {
	// Run sends a task once and waits for its end; it never sends the task again.
	Run(ctx context.Context, address string, t *Task) AttemptResult
	// Stop asks the executor to stop a task before its end.
	Stop(ctx context.Context, address string, id AttemptID) error
	// Report renews task leases and returns the executor's usage afterwards.
	Report(ctx context.Context, address string, renew []LeaseRenewal) (Usage, error)
}
