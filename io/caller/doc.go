// Package caller implements the HTTP interface through which callers submit
// requests.
package caller
