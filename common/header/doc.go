// Package header names the HTTP headers of the system's interfaces.
package header
