package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// serveRaw runs a server that replies to every request with the given text, and
// returns its address. After the reply it closes the connection. If the text is a
// response with status 200, it first waits until the client closes the connection.
func serveRaw(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAll(t, l) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respondRaw(c, response)
		}
	}()
	return l.Addr().String()
}

// respondRaw replies to one request on a connection.
func respondRaw(c net.Conn, response string) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_ = r.Body.Close()
		_, _ = io.WriteString(c, response)
	}
	if strings.HasPrefix(response, "HTTP/1.1 200") {
		_, _ = c.Read(make([]byte, 1)) // returns when the client closes the connection
	}
	_ = c.Close()
}

// TestCalls checks that every call ends exactly once, with a valid response and with
// each kind of failure.
func TestCalls(t *testing.T) {
	stateMachine, _ := start(t, 100)
	refusing := freeAddr(t)
	for _, c := range []struct {
		name   string
		addr   string
		status int
		body   string
	}{
		{"response", serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), httpwire.StatusOK, "{}"},
		{"too large", serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n{"), event.ResponseTooLarge, ""},
		{"too large, chunked", serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n900000\r\n{"), event.ResponseTooLarge, ""},
		{"malformed", serveRaw(t, "not http at all\r\n\r\n"), event.NoResponse, ""},
		{"truncated", serveRaw(t, "HTTP/1.1 2"), event.NoResponse, ""},
		{"closed without a response", serveRaw(t, ""), event.NoResponse, ""},
		{"connection refused", refusing, event.NoResponse, ""},
	} {
		stateMachine.call(c.addr)
		select {
		case r := <-stateMachine.results:
			if r.Status != c.status || string(r.Body) != c.body {
				t.Errorf("%s: call returned status %d, body %q, want status %d, body %q", c.name, r.Status, r.Body, c.status, c.body)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("%s: call did not end within 20s", c.name)
		}
	}
	if len(stateMachine.results) != 0 {
		t.Error("a call returned more than one result, want exactly one per call")
	}
}
