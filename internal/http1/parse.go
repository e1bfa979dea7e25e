package http1

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"lemonmoor/internal/tuning"
)

// errIncomplete reports that the buffer ends before the message does.
var errIncomplete = errors.New("incomplete")

var (
	headerTerminator = []byte("\r\n\r\n")
	lineTerminator   = []byte("\r\n")
)

const (
	// maxChunkLine is the maximum length, in bytes, of the line with a chunk's size.
	maxChunkLine = 64
	// maxLeadingBytes is the maximum number of bytes of empty lines before a request that
	// are skipped (RFC 9112, section 2.2).
	maxLeadingBytes = 4
)

// messageHead is the part of a request or response before its body: start line and header
// fields.
type messageHead struct {
	startLine           string
	contentLength       int // -1 if not given
	chunked             bool
	connectionClose     bool
	connectionKeepAlive bool
	size                int // in bytes, including the empty line at the end
}

// parseHead parses the start line and the header fields at the beginning of buf. The error is
// errIncomplete or a *ProtocolError.
func parseHead(buf []byte) (messageHead, error) {
	head := messageHead{contentLength: -1}
	end := bytes.Index(buf, headerTerminator)
	if end < 0 && len(buf) <= tuning.MaxHeaderBytes {
		return head, errIncomplete
	}
	if end < 0 || end > tuning.MaxHeaderBytes {
		return head, &ProtocolError{http.StatusRequestHeaderFieldsTooLarge, "head too large"}
	}
	head.size = end + len(headerTerminator)
	startLine, rest, _ := strings.Cut(string(buf[:end]), "\r\n")
	head.startLine = startLine
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		if err := head.parseField(line); err != nil {
			return head, err
		}
	}
	if head.chunked && head.contentLength >= 0 {
		return head, &ProtocolError{http.StatusBadRequest, "both Content-Length and Transfer-Encoding"}
	}
	return head, nil
}

// parseField parses one header field. Fields other than Content-Length, Transfer-Encoding and
// Connection are only checked for their form.
func (h *messageHead) parseField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return &ProtocolError{http.StatusBadRequest, "malformed header field"}
	}
	value = strings.TrimSpace(value)
	switch {
	case strings.EqualFold(name, "Content-Length"):
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil || value[0] == '+' || (h.contentLength >= 0 && h.contentLength != int(length)) {
			return &ProtocolError{http.StatusBadRequest, "malformed Content-Length"}
		}
		h.contentLength = int(length)
	case strings.EqualFold(name, "Transfer-Encoding"):
		if !strings.EqualFold(value, "chunked") {
			return &ProtocolError{http.StatusNotImplemented, "transfer encoding not supported"}
		}
		h.chunked = true
	case strings.EqualFold(name, "Connection"):
		h.connectionClose = h.connectionClose || strings.EqualFold(value, "close")
		h.connectionKeepAlive = h.connectionKeepAlive || strings.EqualFold(value, "keep-alive")
	}
	return nil
}

// parseBody parses the message's body at the beginning of buf and returns the number of bytes
// consumed. A body of more than limit bytes is an error; a limit of 0 means no limit.
func (h *messageHead) parseBody(buf []byte, limit int) (body []byte, size int, err error) {
	if h.chunked {
		return parseChunks(buf, limit)
	}
	length := max(h.contentLength, 0)
	if limit > 0 && length > limit {
		return nil, 0, &ProtocolError{http.StatusRequestEntityTooLarge, "body too large"}
	}
	if len(buf) < length {
		return nil, 0, errIncomplete
	}
	return buf[:length], length, nil
}

// parseChunks parses a chunked body (RFC 9112, section 7.1), with the parameters and results
// of parseBody. Trailer fields are not supported.
func parseChunks(buf []byte, limit int) (body []byte, used int, err error) {
	for {
		end := bytes.Index(buf[used:], lineTerminator)
		if end < 0 {
			if len(buf)-used > maxChunkLine {
				return nil, 0, &ProtocolError{http.StatusBadRequest, "malformed chunk"}
			}
			return nil, 0, errIncomplete
		}
		sizeField, _, _ := strings.Cut(string(buf[used:used+end]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(sizeField), 16, 31)
		if err != nil {
			return nil, 0, &ProtocolError{http.StatusBadRequest, "malformed chunk"}
		}
		if limit > 0 && len(body)+int(size) > limit {
			return nil, 0, &ProtocolError{http.StatusRequestEntityTooLarge, "body too large"}
		}
		used += end + len(lineTerminator)
		if len(buf)-used < int(size)+len(lineTerminator) {
			return nil, 0, errIncomplete
		}
		body = append(body, buf[used:used+int(size)]...)
		used += int(size)
		if !bytes.HasPrefix(buf[used:], lineTerminator) {
			return nil, 0, &ProtocolError{http.StatusBadRequest, "malformed chunk"}
		}
		used += len(lineTerminator)
		if size == 0 {
			return body, used, nil
		}
	}
}

// ParseRequest parses the request at the beginning of buf and returns the number of bytes
// consumed. While the request is incomplete it returns nil, 0 and no error. The body is a
// copy. An error is a *ProtocolError.
func ParseRequest(buf []byte) (*Request, int, error) {
	skipped := 0
	for skipped < maxLeadingBytes && bytes.HasPrefix(buf[skipped:], lineTerminator) {
		skipped += len(lineTerminator)
	}
	head, err := parseHead(buf[skipped:])
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	method, target, version, err := parseRequestLine(head.startLine)
	if err != nil {
		return nil, 0, err
	}
	body, bodySize, err := head.parseBody(buf[skipped+head.size:], tuning.MaxBodyBytes)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	path, query, _ := strings.Cut(target, "?")
	return &Request{
		Method:     method,
		Path:       path,
		Query:      query,
		Body:       bytes.Clone(body),
		CloseAfter: head.connectionClose || (version == "HTTP/1.0" && !head.connectionKeepAlive),
	}, skipped + head.size + bodySize, nil
}

// parseRequestLine splits the start line of a request and checks its parts.
func parseRequestLine(line string) (method, target, version string, err error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return "", "", "", &ProtocolError{http.StatusBadRequest, "malformed request line"}
	}
	for _, letter := range []byte(parts[0]) {
		if letter < 'A' || letter > 'Z' {
			return "", "", "", &ProtocolError{http.StatusBadRequest, "malformed method"}
		}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return "", "", "", &ProtocolError{http.StatusHTTPVersionNotSupported, "HTTP version not supported"}
	}
	return parts[0], parts[1], parts[2], nil
}

// ParseResponse parses the response at the beginning of buf and returns the number of bytes
// consumed. While the response is incomplete it returns nil, 0 and no error. eof reports that
// no bytes will follow buf. The body is a copy. An error is a *ProtocolError.
func ParseResponse(buf []byte, eof bool) (*Response, int, error) {
	head, err := parseHead(buf)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	status, err := parseStatusLine(head.startLine)
	if err != nil {
		return nil, 0, err
	}
	if head.contentLength < 0 && !head.chunked && status != http.StatusNoContent && status != http.StatusNotModified {
		if !eof {
			return nil, 0, nil // the body ends when the connection is closed
		}
		return &Response{Status: status, Body: bytes.Clone(buf[head.size:]), CloseAfter: true}, len(buf), nil
	}
	body, bodySize, err := head.parseBody(buf[head.size:], 0)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return &Response{Status: status, Body: bytes.Clone(body), CloseAfter: head.connectionClose}, head.size + bodySize, nil
}

// parseStatusLine returns the status in the start line of a response.
func parseStatusLine(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || status < 100 || status > 599 {
		return 0, &ProtocolError{http.StatusBadRequest, "malformed status line"}
	}
	return status, nil
}
