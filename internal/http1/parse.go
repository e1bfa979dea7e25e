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
	Close  bool // the sender closes the connection after the answer
}

// Response is one parsed answer.
type Response struct {
	Status int
	Body   []byte
	Close  bool
}

// ProtocolError is a request that gets an error status and a closed connection.
type ProtocolError struct {
	Status int
	Reason string
}

func (f *ProtocolError) Error() string { return fmt.Sprintf("%d: %s", f.Status, f.Reason) }

// errMore says that the message is not complete yet.
var errMore = errors.New("incomplete")

var headEnd = []byte("\r\n\r\n")

// head is what requests and answers have in common.
type head struct {
	first   string
	length  int // -1: not given
	chunked bool
	close   bool
	keep    bool
	size    int // bytes of the head with its empty line
}

// parseHead reads the first line and the header fields.
func parseHead(buf []byte) (head, error) {
	h := head{length: -1}
	end := bytes.Index(buf, headEnd)
	if end < 0 {
		if len(buf) > tuning.MaxHeaderBytes {
			return h, &ProtocolError{431, "head too large"}
		}
		return h, errMore
	}
	if end > tuning.MaxHeaderBytes {
		return h, &ProtocolError{431, "head too large"}
	}
	h.size = end + len(headEnd)
	text := string(buf[:end])
	first, rest, _ := strings.Cut(text, "\r\n")
	h.first = first
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return h, &ProtocolError{400, "malformed header field"}
		}
		value = strings.TrimSpace(value)
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || value[0] == '+' || (h.length >= 0 && h.length != int(n)) {
				return h, &ProtocolError{400, "malformed Content-Length"}
			}
			h.length = int(n)
		case strings.EqualFold(name, "Transfer-Encoding"):
			if !strings.EqualFold(value, "chunked") {
				return h, &ProtocolError{501, "transfer encoding not supported"}
			}
			h.chunked = true
		case strings.EqualFold(name, "Connection"):
			h.close = h.close || strings.EqualFold(value, "close")
			h.keep = h.keep || strings.EqualFold(value, "keep-alive")
		}
	}
	if h.chunked && h.length >= 0 {
		return h, &ProtocolError{400, "both Content-Length and Transfer-Encoding"}
	}
	return h, nil
}

// body reads the message's body, at most limit bytes of it (0: no limit).
func (h *head) body(buf []byte, limit int) (body []byte, used int, err error) {
	if h.chunked {
		return chunks(buf, limit)
	}
	n := max(h.length, 0)
	if limit > 0 && n > limit {
		return nil, 0, &ProtocolError{413, "body too large"}
	}
	if len(buf) < n {
		return nil, 0, errMore
	}
	return buf[:n], n, nil
}

// chunks reads a chunked body.
func chunks(buf []byte, limit int) (body []byte, used int, err error) {
	for {
		end := bytes.Index(buf[used:], headEnd[:2])
		if end < 0 {
			if len(buf)-used > 64 {
				return nil, 0, &ProtocolError{400, "malformed chunk"}
			}
			return nil, 0, errMore
		}
		size, _, _ := strings.Cut(string(buf[used:used+end]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return nil, 0, &ProtocolError{400, "malformed chunk"}
		}
		if limit > 0 && len(body)+int(n) > limit {
			return nil, 0, &ProtocolError{413, "body too large"}
		}
		used += end + 2
		if len(buf)-used < int(n)+2 {
			return nil, 0, errMore
		}
		body = append(body, buf[used:used+int(n)]...)
		used += int(n)
		if buf[used] != '\r' || buf[used+1] != '\n' {
			return nil, 0, &ProtocolError{400, "malformed chunk"}
		}
		used += 2
		if n == 0 {
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
	h, err := parseHead(buf[skip:])
	if err == errMore {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	parts := strings.Split(h.first, " ")
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
	body, n, err := h.body(buf[skip+h.size:], tuning.MaxBodyBytes)
	if err == errMore {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	path, query, _ := strings.Cut(parts[1], "?")
	return &Request{
		Method: parts[0], Path: path, Query: query,
		Body:  bytes.Clone(body),
		Close: h.close || (parts[2] == "HTTP/1.0" && !h.keep),
	}, skip + h.size + n, nil
}

// ParseResponse reads one answer off the front of buf; eof says that no more
// bytes will come. It takes no bytes while the answer is not complete.
func ParseResponse(buf []byte, eof bool) (*Response, int, error) {
	h, err := parseHead(buf)
	if err == errMore {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	version, rest, _ := strings.Cut(h.first, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || status < 100 || status > 599 {
		return nil, 0, &ProtocolError{400, "malformed status line"}
	}
	if h.length < 0 && !h.chunked && status != 204 && status != 304 {
		if !eof {
			return nil, 0, nil // the body ends with the connection
		}
		return &Response{Status: status, Body: bytes.Clone(buf[h.size:]), Close: true}, len(buf), nil
	}
	body, n, err := h.body(buf[h.size:], 0)
	if err == errMore {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return &Response{Status: status, Body: bytes.Clone(body), Close: h.close}, h.size + n, nil
}

// reasons are the status texts that lemonmoor sends.
var reasons = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// AppendResponse writes an answer. A retryAfter of 0 is left out.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closing bool) []byte {
	reason := reasons[status]
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

// appendCall writes a request.
func appendCall(dst []byte, host string, c ClientRequest) []byte {
	dst = append(dst, c.Method...)
	dst = append(dst, ' ')
	dst = append(dst, c.Target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if c.Body != nil {
		dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(c.Body)), 10)
	} else if c.Method == "POST" {
		dst = append(dst, "\r\nContent-Length: 0"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, c.Body...)
}
