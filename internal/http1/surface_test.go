package http1

import "testing"

// TestSurfaceErrorBody checks the JSON body of a refusal, with the reason escaped.
func TestSurfaceErrorBody(t *testing.T) {
	if got := string(ErrorBody(`not "this"`)); got != `{"error":"not \"this\""}` {
		t.Errorf("ErrorBody: got %s, want the reason with its quotes escaped", got)
	}
}

// TestSurfaceHeaders checks the exact bytes of encoded requests and responses.
func TestSurfaceHeaders(t *testing.T) {
	for want, got := range map[string][]byte{
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}":                                                         AppendResponse(nil, 200, []byte("{}"), 0, false),
		"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 2\r\nRetry-After: 3\r\nConnection: close\r\n\r\n{}": AppendResponse(nil, 503, []byte("{}"), 3, true),
		"HTTP/1.1 421 Misdirected Request\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n":                                          AppendResponse(nil, 421, nil, 0, false),
		"POST /commit HTTP/1.1\r\nHost: state:1\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}":                                  encodeRequest("state:1", ClientRequest{Method: "POST", Target: "/commit", Body: []byte("{}")}),
		"POST /grants/1/touch HTTP/1.1\r\nHost: state:1\r\nContent-Length: 0\r\n\r\n":                                                              encodeRequest("state:1", ClientRequest{Method: "POST", Target: "/grants/1/touch"}),
		"GET /keys HTTP/1.1\r\nHost: state:1\r\n\r\n":                                                                                              encodeRequest("state:1", ClientRequest{Method: "GET", Target: "/keys"}),
	} {
		if string(got) != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
