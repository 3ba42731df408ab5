// Package share divides the room of a pool among teams by their weights while it is scarce.
//
// A Ledger follows fair queueing: each team has its share of the pool for as long as it has work,
// and what a team does not use goes to the others. A team that was away is owed nothing of the past.
// It holds no clock.
package share
