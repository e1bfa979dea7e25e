package http1

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"lemonmoor/internal/tuning"
)

// errIncomplete says that more bytes of the message are to come.
var errIncomplete = errors.New("incomplete")

var (
	headerTerminator = []byte("\r\n\r\n")
	lineTerminator   = []byte("\r\n")
)

const (
	// maxChunkLine is the most bytes of the line that gives a chunk's size.
	maxChunkLine = 64
	// maxLeadingBytes is how many bytes of empty lines may stand before a request
	// (RFC 9112, section 2.2).
	maxLeadingBytes = 4
)

// messageHead is the part before the body, which requests and responses share.
type messageHead struct {
	startLine           string
	contentLength       int // -1: not given
	chunked             bool
	connectionClose     bool
	connectionKeepAlive bool
	size                int // bytes, the empty line that ends it included
}

// parseHead reads the start line and the header fields off the front of buf.
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

// parseField reads one header field; those that do not matter here are only checked.
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

// parseBody reads the message's body off the front of buf and returns how many bytes it
// took. A body above limit bytes is an error; a limit of 0 is none.
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

// parseChunks is parseBody for a chunked body (RFC 9112, section 7.1). Trailer fields are
// not supported.
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

// ParseRequest reads one request off the front of buf and returns how many bytes it took.
// While the request is incomplete it returns nil and takes none. The body is a copy. An
// error is a *ProtocolError.
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

// parseRequestLine divides the start line of a request.
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

// ParseResponse reads one response off the front of buf and returns how many bytes it took.
// While the response is incomplete it returns nil and takes none; eof says that no more
// bytes will come. The body is a copy. An error is a *ProtocolError.
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
			return nil, 0, nil // the body ends with the connection
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

// parseStatusLine reads the status out of the start line of a response.
func parseStatusLine(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || status < 100 || status > 599 {
		return 0, &ProtocolError{http.StatusBadRequest, "malformed status line"}
	}
	return status, nil
}
