// Package caller serves the callers that hand in requests.
package caller
