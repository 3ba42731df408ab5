// Package defaults assigns default values to unset settings.
package defaults
