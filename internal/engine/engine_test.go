package engine

import (
	"bufio"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// echo answers every request at once and makes the calls it is told to.
type echo struct {
	mu     sync.Mutex
	frames [][]byte
	calls  []string // addresses to call
	done   chan event.CallDone
}

func (e *echo) Clock(event.Time, time.Time) {}

func (e *echo) Tick(_ event.Time, out *event.Effects) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.calls {
		out.Call(a, "GET", "/x", nil, 2*time.Second)
	}
	e.calls = nil
}

func (e *echo) Request(_ event.Time, r event.Request, out *event.Effects) {
	out.Reply(r.Conn, 200, []byte(r.Method+" "+r.Path+" "+string(r.Body)))
}

func (e *echo) CallDone(_ event.Time, d event.CallDone, _ *event.Effects) { e.done <- d }

func (e *echo) Frame(_ event.Time, f event.PeerFrame, _ *event.Effects) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frames = append(e.frames, f.Data)
}

// slow is a core that takes longer for a request than there is between ticks.
type slow struct {
	echo
	order chan string
}

func (s *slow) Clock(event.Time, time.Time) {}

func (s *slow) Tick(event.Time, *event.Effects) {
	select {
	case s.order <- "tick":
	default:
	}
}

func (s *slow) Request(now event.Time, r event.Request, out *event.Effects) {
	time.Sleep(tickEvery + 10*time.Millisecond)
	s.order <- "request"
	s.echo.Request(now, r, out)
}

// TestTimePasses: requests that wait side by side do not keep time from
// passing between them.
func TestTimePasses(t *testing.T) {
	const n = 10
	s := &slow{order: make(chan string, 1000)}
	cfg := serve(t, s, 100)
	var lines [n]net.Conn
	for i := range lines {
		c, err := net.Dial("tcp", cfg.Bind)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		lines[i] = c
	}
	for _, c := range lines {
		_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\n\r\n")
	}
	between, last := 0, ""
	for seen := 0; seen < n; {
		what := <-s.order
		if what == "request" {
			seen++
			if last == "tick" {
				between++
			}
		}
		last = what
	}
	if between < n-2 {
		t.Errorf("time passed before %d of %d requests only", between, n)
	}
}

func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start runs an engine for the rest of the test process.
func start(t *testing.T, maxConnections int) (*echo, Config) {
	e := &echo{done: make(chan event.CallDone, 100)}
	return e, serve(t, e, maxConnections)
}

func serve(t *testing.T, core Core, maxConnections int) Config {
	cfg := Config{Bind: freeAddr(t), PeerBind: freeAddr(t), MaxConnections: maxConnections}
	go func() { _ = Run(cfg, core, slog.New(slog.NewTextHandler(io.Discard, nil))) }()
	for range 200 {
		c, err := net.Dial("tcp", cfg.Bind)
		if err == nil {
			c.Close()
			return cfg
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the engine does not listen")
	return cfg
}

// say sends raw bytes and returns all that comes back until the other side
// closes; with more than one part, the parts arrive apart.
func say(t *testing.T, addr string, parts ...string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	for _, p := range parts {
		if _, err := io.WriteString(c, p); err != nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	b, _ := io.ReadAll(c)
	return string(b)
}

func TestRequests(t *testing.T) {
	_, cfg := start(t, 100)
	got := say(t, cfg.Bind, "POST /a HTTP/1.1\r\nContent-Le", "ngth: 3\r\nConnection: close\r\n\r\na", "bc")
	if !strings.HasPrefix(got, "HTTP/1.1 200 OK") || !strings.HasSuffix(got, "POST /a abc") {
		t.Errorf("in parts: %q", got)
	}
	// Two requests at once are not asked of us, but must not confuse us.
	got = say(t, cfg.Bind, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n")
	if strings.Count(got, "200 OK") != 2 || !strings.HasSuffix(got, "GET /2 ") {
		t.Errorf("two at once: %q", got)
	}
	for _, bad := range []string{"nonsense\r\n\r\n", "GET /a HTTP/1.1\r\n" + strings.Repeat("x: "+strings.Repeat("y", 100)+"\r\n", 400) + "\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"} {
		if got := say(t, cfg.Bind, bad); !strings.HasPrefix(got, "HTTP/1.1 400") {
			t.Errorf("%.30q: %q", bad, got)
		}
	}
}

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
	if most := sockets - sockets/userRoom - outgoingMore; kept > most || kept < most/2 {
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
	if least := (sockets - sockets/userRoom - outgoingMore) / 2; kept < least {
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

func TestPeerPort(t *testing.T) {
	e, cfg := start(t, 100)
	if got := say(t, cfg.PeerBind, "\xff\xff\xff\xffgarbage"); got != "" {
		t.Errorf("garbage was answered with %q", got)
	}
	c, err := net.Dial("tcp", cfg.PeerBind)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	frame := append(binary.BigEndian.AppendUint32(nil, 3), "abc"...)
	_, _ = c.Write(frame[:5])
	time.Sleep(5 * time.Millisecond)
	_, _ = c.Write(append(frame[5:], frame...))
	for range 500 {
		e.mu.Lock()
		n := len(e.frames)
		e.mu.Unlock()
		if n == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("two frames did not arrive")
}

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

// TestLimits keeps the limits of the parser and the engine in line.
func TestLimits(t *testing.T) {
	if maxUnsent <= httpwire.MaxBody || maxFrame <= httpwire.MaxBody {
		t.Error("a whole report must fit a frame and the unsent bound")
	}
}
