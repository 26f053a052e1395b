package engine

import (
	"io"
	"log/slog"
	"net"
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
	time.Sleep(tickInterval + 10*time.Millisecond)
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

// TestLimits keeps the limits of the parser and the engine in line.
func TestLimits(t *testing.T) {
	if maxUnsentBytes <= httpwire.MaxBody || maxFrameBytes <= httpwire.MaxBody {
		t.Error("a whole report must fit a frame and the unsent bound")
	}
}
