// Package limit divides a team's upper limit over the pools. The ledger of a
// team lends parts of the limit to pools and takes them back; what is lent
// never adds up to more than the limit.
package limit
