package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/tuning"
)

// TestParseRequestInPieces checks that a request is not parsed while any of its last bytes is
// missing, and that a complete one parses to the same values with and without chunks and
// consumes only its own bytes.
func TestParseRequestInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		method := rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "method")
		path := "/" + rapid.StringMatching(`[a-z/0-9-]{0,30}`).Draw(t, "path")
		query := rapid.StringMatching(`([a-z]=[a-z0-9]{0,5})?`).Draw(t, "query")
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		target := path
		if query != "" {
			target += "?" + query
		}
		raw := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\nX-Extra: %s\r\n", method, target, rapid.StringMatching(`[ -~]{0,40}`).Draw(t, "extra"))
		if rapid.Bool().Draw(t, "chunked") {
			raw = append(raw, "Transfer-Encoding: chunked\r\n\r\n"...)
			for rest := body; len(rest) > 0; {
				n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
				raw = fmt.Appendf(raw, "%x\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			raw = append(raw, "0\r\n\r\n"...)
		} else {
			raw = fmt.Appendf(raw, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		cut := rapid.IntRange(0, len(raw)-1).Draw(t, "cut")
		if req, n, err := ParseRequest(raw[:cut]); req != nil || n != 0 || err != nil {
			t.Fatalf("a request without its last %d bytes: %v, %d bytes consumed, %v; want nil, 0, nil", len(raw)-cut, req, n, err)
		}
		req, n, err := ParseRequest(append(bytes.Clone(raw), "GET /next"...))
		if err != nil || n != len(raw) {
			t.Fatalf("consumed %d bytes of a request of %d, %v", n, len(raw), err)
		}
		if req.Method != method || req.Path != path || req.Query != query || !bytes.Equal(req.Body, body) {
			t.Fatalf("parsed %+v, want %s %s?%s with body %q", req, method, path, query, body)
		}
	})
}

// TestParsersAcceptArbitraryBytes checks that no input makes the parsers panic or consume more
// bytes than they were given.
func TestParsersAcceptArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := rapid.SampledFrom([]string{"", "GET / HTTP/1.1\r\n", "POST /work HTTP/1.1\r\nContent-Length: ", "HTTP/1.1 200 OK\r\n"}).Draw(t, "head")
		buf := append([]byte(head), rapid.SliceOfN(rapid.SampledFrom([]byte("\r\n: 0123abcfGET/HTP.-+\x00\xff")), 0, 200).Draw(t, "rest")...)
		if _, n, _ := ParseRequest(buf); n > len(buf) {
			t.Fatalf("ParseRequest consumed %d of %d bytes", n, len(buf))
		}
		if _, n, _ := ParseResponse(buf, rapid.Bool().Draw(t, "eof")); n > len(buf) {
			t.Fatalf("ParseResponse consumed %d of %d bytes", n, len(buf))
		}
	})
}

// TestMalformedRequestsAreRefused checks the status of the error for each kind of malformed,
// oversized or unsupported request.
func TestMalformedRequestsAreRefused(t *testing.T) {
	for raw, status := range map[string]int{
		"GET /\r\n\r\n":                                                                     400,
		"get / HTTP/1.1\r\n\r\n":                                                            400,
		"GET x HTTP/1.1\r\n\r\n":                                                            400,
		"GET / HTTP/2.0\r\n\r\n":                                                            505,
		"GET / HTTP/1.1\r\nno\r\n\r\n":                                                      400,
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                                     400,
		"POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n":                                     400,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":                 400,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":        400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n":                                501,
		fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n", tuning.MaxBodyBytes+1): 413,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", tuning.MaxHeaderBytes):                431,
	} {
		_, _, err := ParseRequest([]byte(raw))
		var f *ProtocolError
		if !errors.As(err, &f) || f.Status != status {
			t.Errorf("%.60q: error %v, want status %d", raw, err, status)
		}
	}
}

// TestResponsesRoundTrip checks that an encoded response parses to the same values.
func TestResponsesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		status := rapid.SampledFrom([]int{200, 201, 404, 409, 421, 503}).Draw(t, "status")
		body := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "body")
		closing := rapid.Bool().Draw(t, "close")
		raw := AppendResponse(nil, status, body, rapid.IntRange(0, 30).Draw(t, "retry"), closing)
		a, n, err := ParseResponse(raw, false)
		if err != nil || n != len(raw) || a.Status != status || !bytes.Equal(a.Body, body) || a.CloseAfter != closing {
			t.Fatalf("%q: parsed %+v, %d of %d bytes consumed, %v", raw, a, n, len(raw), err)
		}
	})
}
