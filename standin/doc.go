// Package standin groups the simulations of the platform's store and of the
// executors, for tests, the demo and trials on a single machine.
package standin
