// Package membership decides which node owns which pools and teams. Its kernel
// limits this node's ownership to the time of its store lease or of the promises
// of a majority, writes a new assignment when an owner has failed, and hands
// shards over when the node leaves or another one joins.
package membership
