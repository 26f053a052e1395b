package engine

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// statusOf returns the status of the next response on a connection, zero if there is none within
// the given time.
func statusOf(c net.Conn, within time.Duration) int {
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// TestUnreadInputIsLimited guards against a process that runs out of memory while many clients
// send large requests slowly: a request beyond the limit gets 503, others are answered, and the
// memory is free again once the clients are gone.
func TestUnreadInputIsLimited(t *testing.T) {
	const bodyBytes, headBytes, clients, fitting = 60_000, 100, 20, 8
	stateMachine := &echoStateMachine{limitReached: map[string]int{}, results: make(chan event.CallResult)}
	cfg := serveWith(t, stateMachine, Config{MaxConnections: 64, MaxUnreadBytes: fitting * (bodyBytes + headBytes)})
	sendIncomplete := func() net.Conn {
		c := dial(t, cfg.Bind)
		writeAll(t, c, fmt.Sprintf("POST %s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", userPath, bodyBytes, strings.Repeat("x", bodyBytes-1)))
		return c
	}
	complete := func(c net.Conn) {
		t.Helper()
		writeAll(t, c, "x")
		if status := statusOf(c, 5*time.Second); status != httpwire.StatusOK {
			t.Errorf("a request that fits got status %d, want 200", status)
		}
	}
	incomplete := make([]net.Conn, fitting)
	for i := range incomplete {
		incomplete[i] = sendIncomplete()
		if status := statusOf(incomplete[i], 50*time.Millisecond); status != 0 {
			t.Errorf("incomplete request %d got status %d, want none", i, status)
		}
	}
	for range clients - fitting {
		if status := statusOf(sendIncomplete(), 5*time.Second); status != httpwire.StatusServiceUnavailable {
			t.Errorf("an incomplete request beyond the limit got status %d, want 503", status)
		}
	}
	if other := dial(t, cfg.Bind); !requestOn(other, userPath) {
		t.Error("a complete request was not answered, want status 200")
	}
	complete(incomplete[0])
	last := sendIncomplete() // in the place of the one that is complete
	complete(last)
	for _, c := range incomplete[1:] {
		complete(c)
	}
}
