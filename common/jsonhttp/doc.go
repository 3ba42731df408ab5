// Package jsonhttp carries typed JSON messages over HTTP.
package jsonhttp
