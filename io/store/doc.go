// Package store speaks to the platform's key-value service over HTTP with
// JSON.
package store
