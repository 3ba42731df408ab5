// Package fleet holds the types that describe a fleet: configurations,
// executors, VMs, waves of maintenance, and the orders sent to executors and
// VMs.
package fleet
