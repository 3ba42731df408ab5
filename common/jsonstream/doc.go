// Package jsonstream exchanges JSON messages in both directions over one HTTP/1.1
// request: the bodies of the request and of the response carry one message a line.
package jsonstream
