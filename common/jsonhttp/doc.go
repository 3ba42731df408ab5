// Package jsonhttp sends and serves typed JSON messages over HTTP.
package jsonhttp
