// Package io is the root of the adapters that exchange messages with systems
// outside the process. Each kind of remote system has its own package.
package io
