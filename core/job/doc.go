// Package job holds the data of jobs: what callers hand in, what is stored of
// it, and the checks on both.
package job
