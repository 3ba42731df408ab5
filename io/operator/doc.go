// Package operator carries the operators' commands to the nodes.
package operator
