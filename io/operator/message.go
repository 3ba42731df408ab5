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

// Paths of the operator interface.
const (
	PathConfig  = "/v1/operator/config"
	PathHistory = "/v1/operator/history"
	PathChanges = "/v1/operator/changes"
	PathStatus  = "/v1/operator/status"
	PathForget  = "/v1/operator/forget"
	PathDump    = "/debug/dump"
	PathMetrics = "/metrics"
)

// ConfigReply holds the configuration in force on a node.
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

// ChangeQuery submits a change that is based on the given revision.
type ChangeQuery struct {
	Author       string             `json:"author"`
	BaseRevision int64              `json:"base_revision"`
	Operations   []config.Operation `json:"operations"`
}

// ChangeReply returns the revision and the ID of an accepted change.
type ChangeReply struct {
	Revision int64  `json:"revision"`
	ID       string `json:"id"`
}

// ForgetQuery declares that the VM of a node is permanently gone.
type ForgetQuery struct {
	ID     string `json:"id"`
	Author string `json:"author"`
}

// ForgetReply answers a ForgetQuery.
type ForgetReply struct{}

// StatusReply lists all live nodes.
type StatusReply struct {
	Nodes []peer.NodeStatus `json:"nodes"`
}

// Dump holds the whole state of one process.
type Dump struct {
	Node       peer.NodeStatus              `json:"node"`
	StartedAt  time.Time                    `json:"started_at"`
	Members    map[string]membership.Member `json:"members"`
	Assignment membership.Assignment        `json:"assignment"`
	Pools      []scheduler.Dump             `json:"pools"`
	Ledgers    []limit.State                `json:"ledgers"`
	Memory     Memory                       `json:"memory"`
}

// Memory holds the memory use of a process, in bytes, and its number of goroutines.
type Memory struct {
	Heap       uint64 `json:"heap"`
	System     uint64 `json:"system"`
	Goroutines int    `json:"goroutines"`
}

// InvalidError reports the errors in a refused change.
type InvalidError struct {
	Findings config.Findings `json:"findings"`
}

// Error returns all findings, one per line.
func (e *InvalidError) Error() string { return e.Findings.Error() }

// StatusCode returns 422 Unprocessable Entity.
func (e *InvalidError) StatusCode() int { return http.StatusUnprocessableEntity }

// ErrorDetail returns the error as the body of the HTTP answer.
func (e *InvalidError) ErrorDetail() any { return e }

// ConflictError reports that other changes were made after the base revision of a
// refused change.
type ConflictError struct {
	Base int64 `json:"base"`
	// Changes are the changes after Base, oldest first.
	Changes []config.Change `json:"changes"`
}

// Error returns the base revision and the changes made since.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "apply change: it is based on revision %d, but other changes were made since:", e.Base)
	for _, c := range e.Changes {
		fmt.Fprintf(&b, "\n  revision %d by %s at %s:", c.Revision, c.Author, c.Time.Format(time.RFC3339))
		for _, op := range c.Operations {
			fmt.Fprintf(&b, " %s", op)
		}
	}
	return b.String()
}

// StatusCode returns 409 Conflict.
func (e *ConflictError) StatusCode() int { return http.StatusConflict }

// ErrorDetail returns the error as the body of the HTTP answer.
func (e *ConflictError) ErrorDetail() any { return e }

// Overlaps reports whether any of the other changes modifies an entry that ops
// modify as well.
func (e *ConflictError) Overlaps(ops []config.Operation) bool {
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

// StaleError reports that a change is based on a later revision than the node has
// in force.
type StaleError struct {
	Known, Base int64
}

// Error returns both revisions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("this node has revision %d in force, the change is based on %d", e.Known, e.Base)
}

// StatusCode returns 503 Service Unavailable.
func (e *StaleError) StatusCode() int { return http.StatusServiceUnavailable }

// NotInForceError reports that a change is stored, but no majority of the voters
// has it in force yet.
type NotInForceError struct {
	ID       string
	Revision int64
}

// Error returns the change and where to check its state.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("change %s is revision %d in the store, but most nodes do not have it in force yet; see status", e.ID, e.Revision)
}

// StatusCode returns 504 Gateway Timeout.
func (e *NotInForceError) StatusCode() int { return http.StatusGatewayTimeout }

// WriteResultUnknownError reports that the store may or may not have written a
// change.
type WriteResultUnknownError struct {
	ID       string
	Revision int64
}

// Error returns the change and where to check its state.
func (e *WriteResultUnknownError) Error() string {
	return fmt.Sprintf("the store did not say whether it took change %s as revision %d; see config history", e.ID, e.Revision)
}

// StatusCode returns 504 Gateway Timeout.
func (e *WriteResultUnknownError) StatusCode() int { return http.StatusGatewayTimeout }
