package store

import (
	"time"

	"jacinthwind/core"
)

// The paths of the service's calls.
const (
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathWrite  = "/v1/write"
	PathGrant  = "/v1/lease/grant"
	PathRenew  = "/v1/lease/renew"
	PathRevoke = "/v1/lease/revoke"
	PathWatch  = "/v1/watch"
)

// KeyQuery asks for a key or a prefix.
type KeyQuery struct {
	Key string `json:"key"`
}

// GrantQuery asks for a lease.
type GrantQuery struct {
	TTLMS int64 `json:"ttl_ms"`
}

// TTL returns the time to live asked for.
func (q GrantQuery) TTL() time.Duration {
	return time.Duration(q.TTLMS) * time.Millisecond
}

// LeaseQuery names a lease.
type LeaseQuery struct {
	Lease core.LeaseID `json:"lease"`
}

// LeaseReply is the answer to a call about a lease.
type LeaseReply struct {
	Lease    core.LeaseID `json:"lease"`
	Revision int64        `json:"revision,omitempty"`
}

// WatchQuery waits for changes.
type WatchQuery struct {
	Prefix   string `json:"prefix"`
	Revision int64  `json:"revision"`
}
