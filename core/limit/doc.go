// Package limit divides a team's limit of running tasks between the pools. The
// team's home is the node that keeps its ledger. The ledger lends parts of the
// limit to pools and takes them back; its loans never add up to more than the
// limit.
package limit
