// Package demo runs the whole system in one process against stand-ins, makes
// it fail, and counts which of its promises held.
package demo
