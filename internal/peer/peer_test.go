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

// TestMessagesAreAnsweredOrRefused: a message reaches the other controller's handler over
// HTTP/2 and its answer comes back; refused and unreachable ones are errors.
func TestMessagesAreAnsweredOrRefused(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Skip("no loopback here:", err)
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
	for range 100 { // until it listens
		if got, err = client.Send(addr, "/digest", []byte("{}"), 5*time.Second); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil || string(got) != "/digest {}" {
		t.Fatalf("%q, %v", got, err)
	}
	large := bytes.Repeat([]byte("x"), 300<<10)
	if got, err = client.Send(addr, "/beat", large, 5*time.Second); err != nil || len(got) != len(large)+6 {
		t.Fatalf("%d bytes came back, %v", len(got), err)
	}
	_, err = client.Send(addr, "/refused", nil, 5*time.Second)
	var refused *StatusError
	if !errors.As(err, &refused) || refused.Status != http.StatusServiceUnavailable {
		t.Errorf("a refused message gives %v", err)
	}
}
