package engine

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lugward/internal/httpwire"
)

// TestTicksBetweenRequests checks that the engine ticks between requests that arrive
// at the same time and keep the loop busy.
func TestTicksBetweenRequests(t *testing.T) {
	const requests = 10
	stateMachine := &slowStateMachine{order: make(chan string, 1000)}
	cfg := serve(t, stateMachine, 100)
	var connections [requests]net.Conn
	for i := range connections {
		connections[i] = dial(t, cfg.Bind)
	}
	for _, c := range connections {
		writeAll(t, c, "GET /a HTTP/1.1\r\n\r\n")
	}
	afterTick := 0
	previous := ""
	for seen := 0; seen < requests; {
		current := <-stateMachine.order
		if current == requestEvent {
			seen++
			if previous == tickEvent {
				afterTick++
			}
		}
		previous = current
	}
	if afterTick < requests-2 {
		t.Errorf("got a tick before %d of %d requests, want at least %d", afterTick, requests, requests-2)
	}
}

// TestRequests checks requests that arrive in parts, pipelined or malformed.
func TestRequests(t *testing.T) {
	_, cfg := start(t, 100)
	got := exchange(t, cfg.Bind, "POST /a HTTP/1.1\r\nContent-Le", "ngth: 3\r\nConnection: close\r\n\r\na", "bc")
	if !strings.HasPrefix(got, "HTTP/1.1 200 OK") || !strings.HasSuffix(got, "POST /a abc") {
		t.Errorf("request in parts: response %q, want 200 OK with body %q", got, "POST /a abc")
	}
	// The protocol does not use pipelining, but pipelined requests must not break the
	// connection.
	got = exchange(t, cfg.Bind, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n")
	if strings.Count(got, "200 OK") != 2 || !strings.HasSuffix(got, "GET /2 ") {
		t.Errorf("pipelined requests: responses %q, want two with 200 OK, the last with body %q", got, "GET /2 ")
	}
	longHead := strings.Repeat("x: "+strings.Repeat("y", 100)+"\r\n", 400)
	for _, c := range []struct{ name, request string }{
		{"no request line", "nonsense\r\n\r\n"},
		{"head too large", "GET /a HTTP/1.1\r\n" + longHead + "\r\n"},
		{"body too large", "POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"},
	} {
		if got := exchange(t, cfg.Bind, c.request); !strings.HasPrefix(got, "HTTP/1.1 400") {
			t.Errorf("%s: response %q, want status 400", c.name, got)
		}
	}
}

// TestLimits checks that the engine's limits allow the longest body that the parser
// accepts.
func TestLimits(t *testing.T) {
	if maxUnsentBytes <= httpwire.MaxBodyBytes || maxFrameBytes <= httpwire.MaxBodyBytes {
		t.Errorf("maxUnsentBytes is %d, maxFrameBytes is %d, want both above httpwire.MaxBodyBytes (%d)", maxUnsentBytes, maxFrameBytes, httpwire.MaxBodyBytes)
	}
	// One heartbeat of 1 KiB from each of 8,000 workers within the three seconds for
	// which a relay waits.
	if relayed := 8000 << 10; maxUnsentPeerBytes < relayed {
		t.Errorf("maxUnsentPeerBytes is %d, want at least %d for the heartbeats of 8,000 workers", maxUnsentPeerBytes, relayed)
	}
}

// exchange sends raw bytes and returns everything received until the other side closes
// the connection. Several parts are sent separately.
func exchange(t *testing.T, addr string, parts ...string) string {
	t.Helper()
	c := dial(t, addr)
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for _, part := range parts {
		if _, err := io.WriteString(c, part); err != nil {
			break // the engine has already rejected the request
		}
		time.Sleep(5 * time.Millisecond)
	}
	b, _ := io.ReadAll(c) // data read before a connection reset is valid
	return string(b)
}
