package peer

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestMessagesAreAnsweredOrRefused checks that a message reaches the other controller's
// handler over HTTP/2 and that its answer is returned, also if it exceeds a stream's buffer,
// and that a refused message is a StatusError.
func TestMessagesAreAnsweredOrRefused(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Skip("cannot listen on the loopback interface:", err)
	}
	addr := probe.Addr().String()
	if err := probe.Close(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = Serve(addr, func(path string, body []byte, answer func([]byte, bool)) {
			answer(append([]byte(path+" "), body...), path != "/refused")
		}, slog.New(slog.DiscardHandler))
	}()
	client := NewClient()
	var got []byte
	for range 100 { // until the server listens
		if got, err = client.Send(addr, "/digest", []byte("{}"), 5*time.Second); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil || string(got) != "/digest {}" {
		t.Fatalf("message to /digest: answer %q, %v; want %q", got, err, "/digest {}")
	}
	large := bytes.Repeat([]byte("x"), 300<<10)
	if got, err = client.Send(addr, "/beat", large, 5*time.Second); err != nil || len(got) != len(large)+6 {
		t.Fatalf("message of %d bytes to /beat: answer of %d bytes, %v; want %d", len(large), len(got), err, len(large)+6)
	}
	_, err = client.Send(addr, "/refused", nil, 5*time.Second)
	var refused *StatusError
	if !errors.As(err, &refused) || refused.Status != http.StatusServiceUnavailable {
		t.Errorf("refused message: %v, want a StatusError with status %d", err, http.StatusServiceUnavailable)
	}
}
