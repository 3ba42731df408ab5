// Package io is the root of the adapters that speak to peers of the nodes, one
// package for each of them.
package io
