package core

import (
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Codec decodes what operators, executors and callers send, and encodes what
// they receive.
type Codec interface {
	// OperatorPrefix and ExecutorPrefix return the prefixes of the store keys that
	// operators and executors write.
	OperatorPrefix() string
	ExecutorPrefix() string
	// DecodeOperatorItems decodes the items that operators wrote, and returns an
	// error for each one that it leaves out.
	DecodeOperatorItems(items map[string]Item) (OperatorState, []error)
	// DecodeExecutor decodes an item that an executor wrote.
	DecodeExecutor(item Item) (fleet.Executor, error)
	// DecodeJob decodes a caller's job and checks its fields.
	DecodeJob(id string, body []byte) (*job.Job, error)
	// EncodeState encodes a job's state for callers.
	EncodeState(s job.State) []byte
	// EncodeQueueDepth encodes a queue's depth for callers.
	EncodeQueueDepth(n int) []byte
	// EncodeWaveStatus returns the store key and the value that publish a wave's
	// status.
	EncodeWaveStatus(wave, status string) (string, []byte)
}

// OperatorState holds the configuration, evacuations and waves that operators
// requested.
type OperatorState struct {
	// Configuration is nil before operators write the first one.
	Configuration *fleet.Configuration
	Evacuated     []string
	Waves         []fleet.Wave
}
