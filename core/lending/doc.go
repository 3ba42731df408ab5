// Package lending decides which VMs change their pool: from quiet pools and the
// spare to those that need more, and idle ones into the spare, where they cost
// nothing.
package lending
