// Package peer transports messages between the controllers, and from operators' commands to
// the controllers. Each message and its answer are one stream of an HTTP/2 connection that
// stays open. The package owns these connections and nothing else: it does not interpret the
// messages and does not retry them.
package peer

import "net/http"

// Limits of the HTTP/2 connections. They are small because a controller has little memory; a
// message exceeds a stream's buffer only if it describes thousands of machines.
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
