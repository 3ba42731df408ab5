package operator

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"jacinthwind/core/config"
	"jacinthwind/core/limit"
	"jacinthwind/core/membership"
	"jacinthwind/core/scheduler"
	"jacinthwind/io/peer"
)

// The paths of the operators' calls.
const (
	PathConfig  = "/v1/operator/config"
	PathHistory = "/v1/operator/history"
	PathChanges = "/v1/operator/changes"
	PathStatus  = "/v1/operator/status"
	PathForget  = "/v1/operator/forget"
	PathDump    = "/debug/dump"
	PathMetrics = "/metrics"
)

// ConfigReply is the configuration in force on a node.
type ConfigReply struct {
	Revision int64           `json:"revision"`
	Document config.Document `json:"document"`
}

// HistoryQuery asks for the latest changes.
type HistoryQuery struct {
	Count int `json:"count"`
}

// HistoryReply lists changes, newest first.
type HistoryReply struct {
	Changes []config.Change `json:"changes"`
}

// ChangeQuery asks for a change that is based on a revision.
type ChangeQuery struct {
	Author       string             `json:"author"`
	BaseRevision int64              `json:"base_revision"`
	Operations   []config.Operation `json:"operations"`
}

// ChangeReply tells the revision of an accepted change.
type ChangeReply struct {
	Revision int64  `json:"revision"`
	ID       string `json:"id"`
}

// ForgetQuery says that the VM of a node is gone for good.
type ForgetQuery struct {
	ID     string `json:"id"`
	Author string `json:"author"`
}

// ForgetReply is the answer to a ForgetQuery.
type ForgetReply struct{}

// StatusReply lists all live nodes.
type StatusReply struct {
	Nodes []peer.NodeStatus `json:"nodes"`
}

// Dump is the whole state of one process.
type Dump struct {
	Node       peer.NodeStatus              `json:"node"`
	StartedAt  time.Time                    `json:"started_at"`
	Members    map[string]membership.Member `json:"members"`
	Assignment membership.Assignment        `json:"assignment"`
	Pools      []scheduler.Dump             `json:"pools"`
	Ledgers    []limit.State                `json:"ledgers"`
	Memory     Memory                       `json:"memory"`
}

// Memory is the memory use of a process in bytes.
type Memory struct {
	Heap       uint64 `json:"heap"`
	System     uint64 `json:"system"`
	Goroutines int    `json:"goroutines"`
}

// InvalidError lists the faults of a refused change.
type InvalidError struct {
	Findings config.Findings `json:"findings"`
}

// Error returns all findings, one per line.
func (e *InvalidError) Error() string { return e.Findings.Error() }

// StatusCode is 422.
func (e *InvalidError) StatusCode() int { return http.StatusUnprocessableEntity }

// ErrorDetail returns the body of the answer.
func (e *InvalidError) ErrorDetail() any { return e }

// ConflictError tells that other changes came first.
type ConflictError struct {
	Base int64 `json:"base"`
	// Changes are the changes after Base, oldest first.
	Changes []config.Change `json:"changes"`
}

// Error says who won and what changed.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the change was based on revision %d, which other changes followed:", e.Base)
	for _, c := range e.Changes {
		fmt.Fprintf(&b, "\n  revision %d by %s at %s:", c.Revision, c.Author, c.Time.Format(time.RFC3339))
		for _, op := range c.Operations {
			fmt.Fprintf(&b, " %s", op)
		}
	}
	return b.String()
}

// StatusCode is 409.
func (e *ConflictError) StatusCode() int { return http.StatusConflict }

// ErrorDetail returns the body of the answer.
func (e *ConflictError) ErrorDetail() any { return e }

// Touches reports whether one of the changes is about an entry of ops.
func (e *ConflictError) Touches(ops []config.Operation) bool {
	for _, c := range e.Changes {
		for _, theirs := range c.Operations {
			for _, ours := range ops {
				if theirs.Kind == ours.Kind && theirs.Name == ours.Name {
					return true
				}
			}
		}
	}
	return false
}

// StaleError tells that the node has not yet seen the revision that the change
// is based on.
type StaleError struct {
	Known, Base int64
}

// Error returns both revisions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("this node has revision %d in force, the change is based on %d", e.Known, e.Base)
}

// StatusCode is 503.
func (e *StaleError) StatusCode() int { return http.StatusServiceUnavailable }

// NotInForceError tells that the store took a change which most nodes do not
// have in force yet.
type NotInForceError struct {
	ID       string
	Revision int64
}

// Error says how to find out.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("change %s is revision %d in the store, but most nodes do not have it in force yet; see status", e.ID, e.Revision)
}

// StatusCode is 504.
func (e *NotInForceError) StatusCode() int { return http.StatusGatewayTimeout }

// UnknownError tells that the store did not say whether it took the change.
type UnknownError struct {
	ID       string
	Revision int64
}

// Error says how to find out.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the store did not say whether it took change %s as revision %d; see config history", e.ID, e.Revision)
}

// StatusCode is 504.
func (e *UnknownError) StatusCode() int { return http.StatusGatewayTimeout }
