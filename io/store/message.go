package store

import (
	"time"

	"jacinthwind/core"
)

// Paths of the service's calls.
const (
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathWrite  = "/v1/write"
	PathGrant  = "/v1/lease/grant"
	PathRenew  = "/v1/lease/renew"
	PathRevoke = "/v1/lease/revoke"
	PathWatch  = "/v1/watch"
)

// KeyQuery asks for the entry of a key or for all entries under a prefix.
type KeyQuery struct {
	Key string `json:"key"`
}

// GrantQuery asks for a lease.
type GrantQuery struct {
	TTLMS int64 `json:"ttl_ms"`
}

// TTL returns the requested time to live.
func (q GrantQuery) TTL() time.Duration {
	return time.Duration(q.TTLMS) * time.Millisecond
}

// LeaseQuery identifies the lease to renew or revoke.
type LeaseQuery struct {
	Lease core.LeaseID `json:"lease"`
}

// LeaseReply answers a GrantQuery or a LeaseQuery.
type LeaseReply struct {
	Lease    core.LeaseID `json:"lease"`
	Revision int64        `json:"revision,omitempty"`
}

// WatchQuery asks for the changes under a prefix after a revision.
type WatchQuery struct {
	Prefix   string `json:"prefix"`
	Revision int64  `json:"revision"`
}
