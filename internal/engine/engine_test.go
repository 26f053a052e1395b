package engine

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lugward/internal/httpwire"
)

// TestTicksBetweenRequests checks that time passes between requests that arrive at
// once.
func TestTicksBetweenRequests(t *testing.T) {
	const requests = 10
	machine := &slowMachine{order: make(chan string, 1000)}
	cfg := serve(t, machine, 100)
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
		current := <-machine.order
		if current == requestEvent {
			seen++
			if previous == tickEvent {
				afterTick++
			}
		}
		previous = current
	}
	if afterTick < requests-2 {
		t.Errorf("time passed before %d of %d requests only", afterTick, requests)
	}
}

// TestRequests checks requests that arrive in parts, two at once, or malformed.
func TestRequests(t *testing.T) {
	_, cfg := start(t, 100)
	got := exchange(t, cfg.Bind, "POST /a HTTP/1.1\r\nContent-Le", "ngth: 3\r\nConnection: close\r\n\r\na", "bc")
	if !strings.HasPrefix(got, "HTTP/1.1 200 OK") || !strings.HasSuffix(got, "POST /a abc") {
		t.Errorf("in parts: %q", got)
	}
	// The protocol has no pipelining, but it must not break the connection.
	got = exchange(t, cfg.Bind, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n")
	if strings.Count(got, "200 OK") != 2 || !strings.HasSuffix(got, "GET /2 ") {
		t.Errorf("two at once: %q", got)
	}
	longHead := strings.Repeat("x: "+strings.Repeat("y", 100)+"\r\n", 400)
	for _, c := range []struct{ name, request string }{
		{"no request line", "nonsense\r\n\r\n"},
		{"head too large", "GET /a HTTP/1.1\r\n" + longHead + "\r\n"},
		{"body too large", "POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"},
	} {
		if got := exchange(t, cfg.Bind, c.request); !strings.HasPrefix(got, "HTTP/1.1 400") {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}

// TestLimits checks that the engine's limits admit the longest body that the
// parser takes.
func TestLimits(t *testing.T) {
	if maxUnsentBytes <= httpwire.MaxBodyBytes || maxFrameBytes <= httpwire.MaxBodyBytes {
		t.Error("a whole heartbeat must fit a frame and the unsent bound")
	}
	// Heartbeats of a kibibyte each, one of every worker in the three seconds for
	// which a relay waits.
	if relayed := 8000 << 10; maxUnsentPeerBytes < relayed {
		t.Error("the heartbeats of 8,000 workers must fit what a connection to a peer may hold back")
	}
}

// exchange sends raw bytes and returns all that comes back until the other side
// closes. With more than one part, the parts arrive separately.
func exchange(t *testing.T, addr string, parts ...string) string {
	t.Helper()
	c := dial(t, addr)
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for _, part := range parts {
		if _, err := io.WriteString(c, part); err != nil {
			break // refused before the end
		}
		time.Sleep(5 * time.Millisecond)
	}
	b, _ := io.ReadAll(c) // what is read before a reset counts
	return string(b)
}
