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

// TestConnectionCap: beyond the sockets there are, the idlest user gives way,
// a worker that is between two reports only after all of them, and some stay
// free for outgoing connections.
func TestConnectionCap(t *testing.T) {
	_, cfg := start(t, 64)
	ask := func(path string) (net.Conn, bool) {
		c, err := net.Dial("tcp", cfg.Bind)
		if err != nil {
			t.Fatal(err)
		}
		return c, again(c, path)
	}
	var workers, users []net.Conn
	for range 30 {
		w, ok := ask("/hello")
		u, ok2 := ask("/a")
		workers, users = append(workers, w), append(users, u)
		if !ok || !ok2 {
			t.Fatalf("refused with %d workers and as many users", len(workers))
		}
	}
	for i, w := range workers {
		if !again(w, "/hello") {
			t.Errorf("worker %d lost its connection", i)
		}
	}
	alive := 0
	for _, u := range users {
		if again(u, "/a") {
			alive++
		}
	}
	// Connections that are just being closed may still count.
	if alive > 30 || alive < 10 {
		t.Errorf("%d of 30 users are connected, too, with 64 sockets", alive)
	}
	for _, c := range append(workers, users...) {
		c.Close()
	}
}

// TestFewerSocketsThanWorkers: three times as many workers as sockets report in
// turn, while users and probes come; a worker dials again when it was told that
// its connection ends. Every request is answered.
func TestFewerSocketsThanWorkers(t *testing.T) {
	const sockets = 64
	_, cfg := start(t, sockets)
	var lines [3 * sockets]*client
	for i := range lines {
		lines[i] = &client{addr: cfg.Bind}
	}
	kept := 0
	for round := range 4 {
		kept = 0
		for i, w := range lines {
			if !w.ask(t, "/hello") {
				t.Fatalf("worker %d is refused in round %d", i, round)
			}
			if w.conn != nil {
				kept++
			}
			if i%8 == 0 {
				for _, path := range []string{"/a", "/healthz"} {
					if u := (&client{addr: cfg.Bind}); !u.ask(t, path) {
						t.Fatalf("%s is refused in round %d", path, round)
					}
				}
			}
		}
	}
	if most := sockets - sockets/userDivisor - spareOutgoing; kept > most || kept < most/2 {
		t.Errorf("%d workers stay connected, not about %d", kept, most)
	}
}

// TestSpareCallsGiveWay: connections left from calls of ours, such as direct
// commands to many machines, take no capacity from workers.
func TestSpareCallsGiveWay(t *testing.T) {
	const sockets = 64
	e, cfg := start(t, sockets)
	for range sockets / 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1000))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			_, _ = c.Read(make([]byte, 1)) // until it is closed
		}()
		e.mu.Lock()
		e.calls = append(e.calls, l.Addr().String())
		e.mu.Unlock()
	}
	for range sockets / 2 {
		if d := <-e.done; d.Status != 200 {
			t.Fatalf("a call ended with %d", d.Status)
		}
	}
	kept := 0
	for i := range sockets {
		w := &client{addr: cfg.Bind}
		if !w.ask(t, "/hello") {
			t.Fatalf("worker %d is refused", i)
		}
		if w.conn != nil {
			kept++
		}
	}
	if least := (sockets - sockets/userDivisor - spareOutgoing) / 2; kept < least {
		t.Errorf("%d workers stay connected, not %d", kept, least)
	}
}

// client is a connection that is dialled again when it was closed in good order.
type client struct {
	addr string
	conn net.Conn
}

func (c *client) ask(t *testing.T, path string) bool {
	if c.conn == nil {
		nc, err := net.Dial("tcp", c.addr)
		if err != nil {
			return false
		}
		t.Cleanup(func() { nc.Close() })
		c.conn = nc
	}
	_, _ = io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\n\r\n")
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Close {
		c.conn.Close()
		c.conn = nil
	}
	return r.StatusCode == 200
}

// again sends a request on an open connection and tells whether it is answered.
func again(c net.Conn, path string) bool {
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.Contains(line, "200")
}
