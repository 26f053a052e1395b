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

// echoCore answers every request at once and makes the calls that a test asks for.
type echoCore struct {
	mu     sync.Mutex
	frames [][]byte // that have arrived
	calls  []string // addresses to call at the next tick

	crowded map[string]int // by path
	done    chan event.CallResult
}

func (c *echoCore) SetWallClock(event.Time, time.Time) {}

func (c *echoCore) Tick(_ event.Time, out *event.Effects) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, addr := range c.calls {
		out.Call(addr, "GET", "/x", nil, 2*time.Second)
	}
	c.calls = nil
}

func (c *echoCore) HandleRequest(_ event.Time, r event.Request, out *event.Effects) {
	if r.ConnectionLimitReached {
		c.mu.Lock()
		c.crowded[r.Path]++
		c.mu.Unlock()
	}
	out.Reply(r.Conn, httpwire.StatusOK, []byte(r.Method+" "+r.Path+" "+string(r.Body)))
}

func (c *echoCore) HandleCallResult(_ event.Time, d event.CallResult, _ *event.Effects) { c.done <- d }

func (c *echoCore) HandleFrame(_ event.Time, f event.PeerFrame, _ *event.Effects) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frames = append(c.frames, f.Data)
}

// crowdedCount returns how many requests for a path have come for which there were too
// few sockets.
func (c *echoCore) crowdedCount(path string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crowded[path]
}

// frameCount returns how many frames have arrived.
func (c *echoCore) frameCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.frames)
}

// call lets the core call an address at the next tick.
func (c *echoCore) call(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, addr)
}

// The inputs that a slowCore reports.
const (
	tickEvent    = "tick"
	requestEvent = "request"
)

// slowCore takes longer for a request than there is between ticks.
type slowCore struct {
	echoCore
	order chan string // the inputs in the order in which they came
}

func (c *slowCore) Tick(event.Time, *event.Effects) {
	select {
	case c.order <- tickEvent:
	default:
	}
}

func (c *slowCore) HandleRequest(now event.Time, r event.Request, out *event.Effects) {
	time.Sleep(tickInterval + 10*time.Millisecond)
	c.order <- requestEvent
	c.echoCore.HandleRequest(now, r, out)
}

// TestTimePasses checks that time passes between requests that arrive at once.
func TestTimePasses(t *testing.T) {
	const requests = 10
	core := &slowCore{order: make(chan string, 1000)}
	cfg := serve(t, core, 100)
	var connections [requests]net.Conn
	for i := range connections {
		c, err := net.Dial("tcp", cfg.Bind)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		connections[i] = c
	}
	for _, c := range connections {
		_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\n\r\n")
	}
	afterTick := 0
	previous := ""
	for seen := 0; seen < requests; {
		current := <-core.order
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

// freeAddr returns a local address that nothing listens on.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start runs an engine with an echoCore for the rest of the test process.
func start(t *testing.T, maxConnections int) (*echoCore, Config) {
	core := &echoCore{crowded: map[string]int{}, done: make(chan event.CallResult, 100)}
	return core, serve(t, core, maxConnections)
}

// serve runs an engine with the given core for the rest of the test process.
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

// exchange sends raw bytes and returns all that comes back until the other side
// closes. With more than one part, the parts arrive separately.
func exchange(t *testing.T, addr string, parts ...string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	for _, part := range parts {
		if _, err := io.WriteString(c, part); err != nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	b, _ := io.ReadAll(c)
	return string(b)
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
	for _, bad := range []string{
		"nonsense\r\n\r\n",
		"GET /a HTTP/1.1\r\n" + longHead + "\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
	} {
		if got := exchange(t, cfg.Bind, bad); !strings.HasPrefix(got, "HTTP/1.1 400") {
			t.Errorf("%.30q: %q", bad, got)
		}
	}
}

// TestLimits checks that the engine's limits admit the longest body that the
// parser takes.
func TestLimits(t *testing.T) {
	if maxUnsentBytes <= httpwire.MaxBody || maxFrameBytes <= httpwire.MaxBody {
		t.Error("a whole report must fit a frame and the unsent bound")
	}
	// Reports of a kibibyte each, one of every worker in the three seconds for which
	// a relay waits.
	if relayed := 8000 << 10; maxUnsentPeerBytes < relayed {
		t.Error("the reports of 8,000 workers must fit what a link to a peer may hold back")
	}
}
