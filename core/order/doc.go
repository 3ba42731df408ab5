// Package order holds the plug-ins that decide which team starts next.
package order
