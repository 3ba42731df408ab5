// Package edge implements the process of an entry VM on the prepared platform: it
// accepts callers' jobs, follows the operators' configuration, and runs the kernel
// of the pools while this node owns them.
package edge
