// Package fleet holds the data of a fleet that the kernels and adapters share:
// configurations, executors, VMs and waves of maintenance.
package fleet
