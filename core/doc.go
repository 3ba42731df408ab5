// Package core holds the types and interfaces that the decision kernels and
// the adapters share, and the registry through which plug-ins make themselves
// known.
package core
