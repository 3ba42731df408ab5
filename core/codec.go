package core

import (
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Codec reads what operators, executors and callers write, and writes what
// they read.
type Codec interface {
	// OperatorPrefix and ExecutorPrefix are the keys' prefixes in the store.
	OperatorPrefix() string
	ExecutorPrefix() string
	// Operator reads the items that operators wrote.
	Operator(items map[string]Item) (OperatorState, []error)
	// Executor reads an item that an executor wrote.
	Executor(item Item) (fleet.Executor, error)
	// Job reads a caller's job and checks its form.
	Job(id string, body []byte) (*job.Job, error)
	// State and Depth write answers to callers.
	State(s job.State) []byte
	Depth(n int) []byte
	// WaveStatus returns the key and value of a wave's state.
	WaveStatus(wave, status string) (string, []byte)
}

// OperatorState is what operators ask for.
type OperatorState struct {
	// Configuration is nil before the first one.
	Configuration *fleet.Configuration
	Evacuated     []string
	Waves         []fleet.Wave
}
