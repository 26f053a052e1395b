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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
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
	core, _ := start(t, 100)
	refusing := freeAddr(t)
	for _, c := range []struct {
		addr   string
		status int
		body   string
	}{
		{serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), httpwire.StatusOK, "{}"},
		{serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n{"), event.ResponseTooLarge, ""},
		{serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n900000\r\n{"), event.ResponseTooLarge, ""},
		{serveRaw(t, "not http at all\r\n\r\n"), event.NoResponse, ""},
		{serveRaw(t, "HTTP/1.1 2"), event.NoResponse, ""},
		{serveRaw(t, ""), event.NoResponse, ""},
		{refusing, event.NoResponse, ""},
	} {
		core.call(c.addr)
		select {
		case d := <-core.done:
			if d.Status != c.status || string(d.Body) != c.body {
				t.Errorf("%d %q, not %d %q", d.Status, d.Body, c.status, c.body)
			}
		case <-time.After(20 * time.Second):
			t.Error("a call never ended")
		}
	}
	if len(core.done) != 0 {
		t.Error("a call ended twice")
	}
}
