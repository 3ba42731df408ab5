// Package candidacy decides which entry VM should own the pools: how long a VM leaves the claim
// to others that have more room, and when an owner hands over to one of them.
//
// It holds no clock and makes no calls.
package candidacy
