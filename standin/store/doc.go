// Package store simulates the platform's key-value service in memory, including
// its failures.
package store
