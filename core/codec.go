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
	// Operator decodes the items that operators wrote, and returns an error for
	// each one that it leaves out.
	Operator(items map[string]Item) (OperatorState, []error)
	// Executor decodes an item that an executor wrote.
	Executor(item Item) (fleet.Executor, error)
	// Job decodes a caller's job and checks its fields.
	Job(id string, body []byte) (*job.Job, error)
	// State and Depth encode a job's state and a queue's depth for callers.
	State(s job.State) []byte
	Depth(n int) []byte
	// WaveStatus returns the store key and the value that publish a wave's status.
	WaveStatus(wave, status string) (string, []byte)
}

// OperatorState holds the configuration, evacuations and waves that operators
// requested.
type OperatorState struct {
	// Configuration is nil before operators write the first one.
	Configuration *fleet.Configuration
	Evacuated     []string
	Waves         []fleet.Wave
}
