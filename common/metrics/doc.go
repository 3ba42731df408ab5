// Package metrics counts and times, and serves the figures as text.
package metrics
