// Package peer carries messages between the controllers, and from operators' commands to
// them. Each message and its answer are one stream of an HTTP/2 connection that stays open.
// The package owns these connections and nothing else; it neither knows the messages nor
// repeats them.
package peer

import "net/http"

// Bounds of the HTTP/2 connections, small since a controller has little memory. A message
// is larger than a stream's buffer only when it describes thousands of machines.
const (
	maxFrameBytes         = 16 << 10
	streamBufferBytes     = 128 << 10
	connectionBufferBytes = 256 << 10
	maxConcurrentStreams  = 64
)

// unencryptedHTTP2 allows HTTP/2 over plain TCP and nothing else.
func unencryptedHTTP2() *http.Protocols {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}
