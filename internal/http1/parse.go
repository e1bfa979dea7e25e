// Package http1 is lemonmoor's own HTTP/1.1: a parser for requests and
// answers, a server on gnet and a small client.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lemonmoor/internal/tuning"
)

// Request is one parsed request.
type Request struct {
	Method string
	Path   string
	Query  string
	Body   []byte
	CloseAfter  bool // the sender closes the connection after the answer
}

// Response is one parsed answer.
type Response struct {
	Status int
	Body   []byte
	CloseAfter  bool
}

// ProtocolError is a request that gets an error status and a closed connection.
type ProtocolError struct {
	Status int
	Reason string
}

func (e *ProtocolError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// errIncomplete says that the message is not complete yet.
var errIncomplete = errors.New("incomplete")

var headerTerminator = []byte("\r\n\r\n")

// messageHead is what requests and answers have in common.
type messageHead struct {
	startLine   string
	contentLength  int // -1: not given
	chunked bool
	connectionClose   bool
	connectionKeepAlive    bool
	size    int // bytes of the head with its empty line
}

// parseHead reads the first line and the header fields.
func parseHead(buf []byte) (messageHead, error) {
	head := messageHead{contentLength: -1}
	end := bytes.Index(buf, headerTerminator)
	if end < 0 {
		if len(buf) > tuning.MaxHeaderBytes {
			return head, &ProtocolError{431, "head too large"}
		}
		return head, errIncomplete
	}
	if end > tuning.MaxHeaderBytes {
		return head, &ProtocolError{431, "head too large"}
	}
	head.size = end + len(headerTerminator)
	text := string(buf[:end])
	first, rest, _ := strings.Cut(text, "\r\n")
	head.startLine = first
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return head, &ProtocolError{400, "malformed header field"}
		}
		value = strings.TrimSpace(value)
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || value[0] == '+' || (head.contentLength >= 0 && head.contentLength != int(n)) {
				return head, &ProtocolError{400, "malformed Content-Length"}
			}
			head.contentLength = int(n)
		case strings.EqualFold(name, "Transfer-Encoding"):
			if !strings.EqualFold(value, "chunked") {
				return head, &ProtocolError{501, "transfer encoding not supported"}
			}
			head.chunked = true
		case strings.EqualFold(name, "Connection"):
			head.connectionClose = head.connectionClose || strings.EqualFold(value, "close")
			head.connectionKeepAlive = head.connectionKeepAlive || strings.EqualFold(value, "keep-alive")
		}
	}
	if head.chunked && head.contentLength >= 0 {
		return head, &ProtocolError{400, "both Content-Length and Transfer-Encoding"}
	}
	return head, nil
}

// parseBody reads the message's body, at most limit bytes of it (0: no limit).
func (h *messageHead) parseBody(buf []byte, limit int) (body []byte, used int, err error) {
	if h.chunked {
		return parseChunks(buf, limit)
	}
	n := max(h.contentLength, 0)
	if limit > 0 && n > limit {
		return nil, 0, &ProtocolError{413, "body too large"}
	}
	if len(buf) < n {
		return nil, 0, errIncomplete
	}
	return buf[:n], n, nil
}

// parseChunks reads a chunked body.
func parseChunks(buf []byte, limit int) (body []byte, used int, err error) {
	for {
		end := bytes.Index(buf[used:], headerTerminator[:2])
		if end < 0 {
			if len(buf)-used > 64 {
				return nil, 0, &ProtocolError{400, "malformed chunk"}
			}
			return nil, 0, errIncomplete
		}
		sizeField, _, _ := strings.Cut(string(buf[used:used+end]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(sizeField), 16, 31)
		if err != nil {
			return nil, 0, &ProtocolError{400, "malformed chunk"}
		}
		if limit > 0 && len(body)+int(size) > limit {
			return nil, 0, &ProtocolError{413, "body too large"}
		}
		used += end + 2
		if len(buf)-used < int(size)+2 {
			return nil, 0, errIncomplete
		}
		body = append(body, buf[used:used+int(size)]...)
		used += int(size)
		if buf[used] != '\r' || buf[used+1] != '\n' {
			return nil, 0, &ProtocolError{400, "malformed chunk"}
		}
		used += 2
		if size == 0 {
			return body, used, nil
		}
	}
}

// ParseRequest reads one request off the front of buf and says how many bytes
// it took; none if the request is not complete yet. Bodies are copied.
func ParseRequest(buf []byte) (*Request, int, error) {
	// Stray empty lines before a request are allowed for.
	skip := 0
	for skip+1 < len(buf) && skip < 4 && buf[skip] == '\r' && buf[skip+1] == '\n' {
		skip += 2
	}
	head, err := parseHead(buf[skip:])
	if err == errIncomplete {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	parts := strings.Split(head.startLine, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return nil, 0, &ProtocolError{400, "malformed request line"}
	}
	for _, c := range []byte(parts[0]) {
		if c < 'A' || c > 'Z' {
			return nil, 0, &ProtocolError{400, "malformed method"}
		}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return nil, 0, &ProtocolError{505, "HTTP version not supported"}
	}
	body, bodySize, err := head.parseBody(buf[skip+head.size:], tuning.MaxBodyBytes)
	if err == errIncomplete {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	path, query, _ := strings.Cut(parts[1], "?")
	return &Request{
		Method: parts[0], Path: path, Query: query,
		Body:  bytes.Clone(body),
		CloseAfter: head.connectionClose || (parts[2] == "HTTP/1.0" && !head.connectionKeepAlive),
	}, skip + head.size + bodySize, nil
}

// ParseResponse reads one answer off the front of buf; eof says that no more
// bytes will come. It takes no bytes while the answer is not complete.
func ParseResponse(buf []byte, eof bool) (*Response, int, error) {
	head, err := parseHead(buf)
	if err == errIncomplete {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	version, rest, _ := strings.Cut(head.startLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || status < 100 || status > 599 {
		return nil, 0, &ProtocolError{400, "malformed status line"}
	}
	if head.contentLength < 0 && !head.chunked && status != 204 && status != 304 {
		if !eof {
			return nil, 0, nil // the body ends with the connection
		}
		return &Response{Status: status, Body: bytes.Clone(buf[head.size:]), CloseAfter: true}, len(buf), nil
	}
	body, bodySize, err := head.parseBody(buf[head.size:], 0)
	if err == errIncomplete {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return &Response{Status: status, Body: bytes.Clone(body), CloseAfter: head.connectionClose}, head.size + bodySize, nil
}

// reasonPhrases are the status texts that lemonmoor sends.
var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// AppendResponse writes an answer. A retryAfter of 0 is left out.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closing bool) []byte {
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
	if closing {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// ClientRequest is a request to be sent.
type ClientRequest struct {
	Method string
	Target string
	Body   []byte
}

// appendRequest writes a request.
func appendRequest(dst []byte, host string, request ClientRequest) []byte {
	dst = append(dst, request.Method...)
	dst = append(dst, ' ')
	dst = append(dst, request.Target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if request.Body != nil {
		dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(request.Body)), 10)
	} else if request.Method == "POST" {
		dst = append(dst, "\r\nContent-Length: 0"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, request.Body...)
}
