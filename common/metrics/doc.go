// Package metrics keeps counters and histograms and serves them in the
// Prometheus text format.
package metrics
