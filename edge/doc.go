// Package edge is the process of an entry VM on the prepared platform: it takes
// callers' work, follows the operators' configuration, and hosts the kernel of
// the pools while it owns them.
package edge
