// Package config decodes, checks and applies the operators' configuration, which
// consists of a register and rules. The platform's store keeps it as a log of
// changes.
package config
