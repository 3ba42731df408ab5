// Package defaults fills in settings that were left out.
package defaults
