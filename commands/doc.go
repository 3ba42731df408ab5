// Package commands implements the command line on top of the library packages.
package commands
