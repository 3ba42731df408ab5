// Package commands holds the command line, thin over the library packages.
package commands
