// Package order implements the plug-ins that decide which team starts a request
// next.
package order
