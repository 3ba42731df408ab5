// Package suspicion decides which tasks may have crashed an executor, and when a task
// that crashes its executors is given up.
package suspicion
