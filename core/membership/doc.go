// Package membership decides which node owns which pools and teams. Its kernel
// keeps this node's ownership within its store lease, writes the assignment
// when an owner has gone and hands shards over when the node leaves or another
// one joins.
package membership
