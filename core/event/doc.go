// Package event defines the numbered log events and their descriptions.
package event
