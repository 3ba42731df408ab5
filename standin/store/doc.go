// Package store is a stand-in for the platform's key-value service that can be
// made to fail in the ways the real one does.
package store
