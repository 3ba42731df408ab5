// Package target is a stand-in for the executors of a fleet. It runs tasks by
// waiting, and records what started where for checks from outside.
package target
