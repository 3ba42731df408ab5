// Package job holds jobs as callers submit them, their stored progress, and
// the checks of their fields and IDs.
package job
