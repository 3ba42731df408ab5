// Package header defines the HTTP headers of the system's interfaces and selects
// those to forward.
package header
