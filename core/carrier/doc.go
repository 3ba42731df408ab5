// Package carrier decides which node carries the owner's calls to which executor,
// and whether an order that a node has received is still recent enough to be sent.
package carrier
