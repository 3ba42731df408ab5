// Package store implements a client of the platform's key-value service, which
// serves JSON over HTTP.
package store
