// Package answer states what is known about the end of an answer: how the answer marks its end, and
// whether the end that was seen proves that the answer is whole.
package answer

import (
	"net/http"
	"slices"
)

// Framing is how an answer marks the end of its body.
type Framing uint8

// The framings.
const (
	// FramingConnection means that the body ends where the connection does. An answer that breaks off
	// when its sender closes the connection looks the same as a whole one.
	FramingConnection Framing = iota
	FramingLength             // the head gives the length of the body
	FramingChunks             // the last chunk is empty
	FramingNoBody             // the head is the whole answer
)

// FramingOf returns the framing of an answer to a request with the method.
func FramingOf(method string, response *http.Response) Framing {
	switch {
	case method == http.MethodHead || !AllowsBody(response.StatusCode):
		return FramingNoBody
	case slices.Equal(response.TransferEncoding, []string{"chunked"}):
		return FramingChunks
	case response.ContentLength >= 0:
		return FramingLength
	default:
		return FramingConnection
	}
}

// AllowsBody reports whether an answer with the status may have a body.
func AllowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// String returns the name of the framing in logs and metrics.
func (f Framing) String() string {
	return [...]string{"connection", "length", "chunks", "no-body"}[f]
}
