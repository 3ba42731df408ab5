// Package suspicion decides which tasks may have crashed an executor, and when a task that
// crashes its executors is given up or, if it lasts, how long it is held back.
package suspicion
