package edge

import (
	"jacinthwind/core/fleet"
)

// linkPath is the path at which nodes open their link to the owner.
const linkPath = "/link"

// The messages of a link. Clocks are readings of the sender's monotonic clock in
// milliseconds.
type (
	// nodeMessage is a message of a node to the owner.
	nodeMessage struct {
		// Hello introduces the node in its first message.
		Hello *nodeHello `json:"hello,omitempty"`
		// ClockMs is the node's clock when it sent the message.
		ClockMs int64 `json:"clock_ms"`
		// EchoMs is the owner's clock in the last message that the node has read.
		EchoMs int64 `json:"echo_ms,omitempty"`
		// Leaving announces that the node stops, and takes no more orders.
		Leaving bool          `json:"leaving,omitempty"`
		Calls   []linkCall    `json:"calls,omitempty"`
		Reports []orderReport `json:"reports,omitempty"`
	}
	// nodeHello describes a node.
	nodeHello struct {
		Node       string  `json:"node"`
		DataCentre string  `json:"data_centre"`
		Cores      float64 `json:"cores"`
		// SlowLink is set if the VM's network is so slow that messages are compressed.
		SlowLink bool `json:"slow_link,omitempty"`
		// Owner is the incarnation of the owner that the node looks for.
		Owner string `json:"owner"`
	}
	// ownerMessage is a message of the owner to a node.
	ownerMessage struct {
		// ClockMs is the owner's clock when it sent the message.
		ClockMs int64 `json:"clock_ms"`
		// EchoMs is the node's clock in the last message that the owner has read.
		EchoMs int64 `json:"echo_ms,omitempty"`
		// Serving is set once the owner takes callers' requests.
		Serving bool `json:"serving,omitempty"`
		// Carrying is set while the node is assigned executors, so that it answers often.
		Carrying bool           `json:"carrying,omitempty"`
		Answers  []linkAnswer   `json:"answers,omitempty"`
		Orders   []carriedOrder `json:"orders,omitempty"`
	}
	// linkCall is a caller's request that a node passes on to the owner.
	linkCall struct {
		ID int64 `json:"id"`
		// TimeoutMs is how long the node still waits for the answer when it sends the call.
		TimeoutMs int64 `json:"timeout_ms"`
		// AgeMs is how long before that the node has read the caller's request.
		AgeMs int64 `json:"age_ms,omitempty"`
		ownerCall
	}
	// linkAnswer is the owner's answer to a linkCall.
	linkAnswer struct {
		ID int64 `json:"id"`
		ownerAnswer
		// Error is set if the owner has no answer.
		Error string `json:"error,omitempty"`
	}
	// carriedOrder is an order to an executor that a node sends for the owner; one of
	// the pointers is set.
	carriedOrder struct {
		ID int64 `json:"id"`
		// SentMs is the owner's clock when it gave the order.
		SentMs   int64                `json:"sent_ms"`
		Start    *fleet.StartOrder    `json:"start,omitempty"`
		Stop     *fleet.StopOrder     `json:"stop,omitempty"`
		Throttle *fleet.ThrottleOrder `json:"throttle,omitempty"`
		Renew    *fleet.Renewal       `json:"renew,omitempty"`
	}
	// orderReport is the executor's answer to a carriedOrder.
	orderReport struct {
		ID int64 `json:"id"`
		// Answer is the answer to any order but a renewal, and State that to a renewal.
		Answer fleet.OrderAnswer    `json:"answer,omitzero"`
		State  *fleet.ExecutorState `json:"state,omitempty"`
	}
)
