package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestCalls: whatever the other side does, a call ends exactly once.
func TestCalls(t *testing.T) {
	e, _ := start(t, 100)
	answers := func(answer string) string {
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
				go func() {
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err == nil {
						_ = r.Body.Close()
						_, _ = io.WriteString(c, answer)
					}
					if !strings.HasPrefix(answer, "HTTP/1.1 200") {
						_ = c.Close()
					}
				}()
			}
		}()
		return l.Addr().String()
	}
	for _, c := range []struct {
		addr   string
		status int
		body   string
	}{
		{answers("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), 200, "{}"},
		{answers("not http at all\r\n\r\n"), 0, ""},
		{answers("HTTP/1.1 2"), 0, ""},
		{answers(""), 0, ""},
		{freeAddr(t), 0, ""}, // refused
	} {
		e.mu.Lock()
		e.calls = []string{c.addr}
		e.mu.Unlock()
		select {
		case d := <-e.done:
			if d.Status != c.status || string(d.Body) != c.body {
				t.Errorf("%d %q, not %d %q", d.Status, d.Body, c.status, c.body)
			}
		case <-time.After(20 * time.Second):
			t.Error("a call never ended")
		}
	}
	if len(e.done) != 0 {
		t.Error("a call ended twice")
	}
}
