// Package estimate learns how long tasks really run, compared with what their callers say, and
// predicts the run times of new ones with a confidence.
//
// A Book is bounded in entries, fades what is old, and is changed little by any single report.
// It holds no clock: callers pass the time.
package estimate
