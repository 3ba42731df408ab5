// Package config decodes, checks and applies the operators' register and
// rules, which the platform's store keeps as a log of changes.
package config
