// Package http1 implements the part of HTTP/1.1 that the controllers need: a parser for
// requests and responses, a server on gnet, a small client, and the budget of sockets that
// server and client share. It owns the open connections and nothing else. It must not
// interpret the messages: routing and retries belong to its callers.
package http1

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// Request is a parsed request.
type Request struct {
	Method string
	Path   string // without the query
	Query  string // without the question mark
	Body   []byte
	// CloseAfter reports that the client wants the connection closed after the response.
	CloseAfter bool
}

// Response is a parsed response.
type Response struct {
	Status int
	Body   []byte
	// CloseAfter reports that the server closes the connection after this response.
	CloseAfter bool
}

// ClientRequest is a request to be sent. If Body is nil, it is sent without a body.
type ClientRequest struct {
	Method string
	Target string // path and query
	Body   []byte // JSON
}

// ProtocolError reports that a message is malformed, too large or not supported. The server
// answers such a request with Status and closes the connection.
type ProtocolError struct {
	Status int
	Reason string
}

// Error returns the status and the reason. The text is sent to the client.
func (e *ProtocolError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// ErrorBody returns the JSON body of a response that refuses a request.
func ErrorBody(reason string) []byte {
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{reason})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// reasonPhrases maps the statuses that the controllers send to their reason phrases. It
// replaces http.StatusText, which returns the older phrases for 413 and 422.
var reasonPhrases = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusCreated:                     "Created",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusRequestTimeout:              "Request Timeout",
	http.StatusConflict:                    "Conflict",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusMisdirectedRequest:          "Misdirected Request",
	http.StatusUnprocessableEntity:         "Unprocessable Content",
	http.StatusTooManyRequests:             "Too Many Requests",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusInternalServerError:         "Internal Server Error",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusHTTPVersionNotSupported:     "HTTP Version Not Supported",
}

// AppendResponse appends a response with a JSON body to dst. retryAfter is in seconds; 0
// omits the Retry-After field. closeAfter adds "Connection: close".
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closeAfter bool) []byte {
	reason := reasonPhrases[status]
	if reason == "" {
		reason = "Status"
	}
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reason...)
	dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
	}
	if closeAfter {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// appendText appends a successful response with a body of the given media type to dst.
func appendText(dst []byte, contentType string, body []byte) []byte {
	dst = append(dst, "HTTP/1.1 200 OK\r\nContent-Type: "...)
	dst = append(dst, contentType...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// encodeRequest returns the encoded request, with host as its Host field.
func encodeRequest(host string, request ClientRequest) []byte {
	var encoded []byte
	encoded = append(encoded, request.Method...)
	encoded = append(encoded, ' ')
	encoded = append(encoded, request.Target...)
	encoded = append(encoded, " HTTP/1.1\r\nHost: "...)
	encoded = append(encoded, host...)
	if request.Body != nil {
		encoded = append(encoded, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		encoded = strconv.AppendInt(encoded, int64(len(request.Body)), 10)
	} else if request.Method == http.MethodPost {
		encoded = append(encoded, "\r\nContent-Length: 0"...)
	}
	encoded = append(encoded, "\r\n\r\n"...)
	return append(encoded, request.Body...)
}
