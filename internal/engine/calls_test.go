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

// serveRaw runs a server that answers every request with the given text, and
// returns its address. It closes the connection then or, if the text is a
// response with status 200, when the other side has closed it.
func serveRaw(t *testing.T, answer string) string {
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
			go answerRaw(c, answer)
		}
	}()
	return l.Addr().String()
}

// answerRaw answers one request of a connection.
func answerRaw(c net.Conn, answer string) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_ = r.Body.Close()
		_, _ = io.WriteString(c, answer)
	}
	if strings.HasPrefix(answer, "HTTP/1.1 200") {
		_, _ = c.Read(make([]byte, 1)) // returns when the other side closes
	}
	_ = c.Close()
}

// TestCalls checks that a call ends exactly once, whatever the other side does.
func TestCalls(t *testing.T) {
	machine, _ := start(t, 100)
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
		{"cut short", serveRaw(t, "HTTP/1.1 2"), event.NoResponse, ""},
		{"closed without a response", serveRaw(t, ""), event.NoResponse, ""},
		{"connection refused", refusing, event.NoResponse, ""},
	} {
		machine.call(c.addr)
		select {
		case r := <-machine.results:
			if r.Status != c.status || string(r.Body) != c.body {
				t.Errorf("%s: %d %q, not %d %q", c.name, r.Status, r.Body, c.status, c.body)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("%s: the call never ended", c.name)
		}
	}
	if len(machine.results) != 0 {
		t.Error("a call ended twice")
	}
}
