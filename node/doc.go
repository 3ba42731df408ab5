// Package node assembles the kernels and the adapters into one server process.
// Actors host the kernels, and a run group starts and stops all parts together.
package node
