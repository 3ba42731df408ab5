// Package core holds the types and interfaces that the decision kernels and
// the adapters share, and the registries of plug-ins.
package core
