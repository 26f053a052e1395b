package engine

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// echoStateMachine is a state machine that replies to every request immediately and
// makes the calls that a test requests.
type echoStateMachine struct {
	mu     sync.Mutex
	frames [][]byte // received frames
	calls  []string // addresses to call at the next tick

	limitReached map[string]int // requests with ConnectionLimitReached, by path
	results      chan event.CallResult
}

func (m *echoStateMachine) SetWallClock(event.Time, time.Time) {}

func (m *echoStateMachine) Tick(_ event.Time, out *event.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, addr := range m.calls {
		out.Call(addr, "GET", "/x", nil, 2*time.Second)
	}
	m.calls = nil
}

func (m *echoStateMachine) HandleRequest(_ event.Time, r event.Request, out *event.Effects) {
	if r.ConnectionLimitReached {
		m.mu.Lock()
		m.limitReached[r.Path]++
		m.mu.Unlock()
	}
	out.Reply(r.Conn, httpwire.StatusOK, []byte(r.Method+" "+r.Path+" "+string(r.Body)))
}

func (m *echoStateMachine) HandleCallResult(_ event.Time, r event.CallResult, _ *event.Effects) {
	m.results <- r
}

func (m *echoStateMachine) HandleFrame(_ event.Time, f event.PeerFrame, _ *event.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frames = append(m.frames, f.Data)
}

// limitReachedCount returns the number of requests for a path that arrived with
// ConnectionLimitReached set.
func (m *echoStateMachine) limitReachedCount(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limitReached[path]
}

// frameCount returns the number of received frames.
func (m *echoStateMachine) frameCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.frames)
}

// call makes the state machine call an address at the next tick.
func (m *echoStateMachine) call(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls = append(m.calls, addr)
}

// Inputs that a slowStateMachine records.
const (
	tickEvent    = "tick"
	requestEvent = "request"
)

// slowStateMachine needs longer to handle a request than the interval between ticks.
type slowStateMachine struct {
	echoStateMachine
	order chan string // inputs in order of arrival
}

func (m *slowStateMachine) Tick(event.Time, *event.Effects) {
	select {
	case m.order <- tickEvent:
	default:
	}
}

func (m *slowStateMachine) HandleRequest(now event.Time, r event.Request, out *event.Effects) {
	time.Sleep(tickInterval + 10*time.Millisecond)
	m.order <- requestEvent
	m.echoStateMachine.HandleRequest(now, r, out)
}

// freeAddr returns a local address that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(t, l)
	return l.Addr().String()
}

// start runs an engine with an echoStateMachine until the test ends.
func start(t *testing.T, maxConnections int) (*echoStateMachine, Config) {
	t.Helper()
	stateMachine := &echoStateMachine{limitReached: map[string]int{}, results: make(chan event.CallResult, 100)}
	return stateMachine, serve(t, stateMachine, maxConnections)
}

// serve runs an engine with the given state machine until the test ends.
func serve(t *testing.T, stateMachine StateMachine, maxConnections int) Config {
	t.Helper()
	return serveWith(t, stateMachine, Config{MaxConnections: maxConnections})
}

// serveWith is like serve with a configuration, of which it sets the addresses.
func serveWith(t *testing.T, stateMachine StateMachine, cfg Config) Config {
	t.Helper()
	cfg.Bind, cfg.PeerBind = freeAddr(t), freeAddr(t)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, cfg, stateMachine, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("Run returned %v, want nil", err)
			}
		case <-time.After(20 * time.Second):
			t.Error("Run did not return within 20s after its context was cancelled")
		}
	})
	for range 200 {
		c, err := net.Dial("tcp", cfg.Bind)
		if err == nil {
			closeAll(t, c)
			return cfg
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the engine did not listen within 200 attempts, 10ms apart")
	return cfg
}

// dial connects to an address. The connection is closed when the test ends.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAll(t, c) })
	return c
}

func closeAll(t *testing.T, closers ...io.Closer) {
	t.Helper()
	for _, c := range closers {
		if err := c.Close(); err != nil {
			t.Errorf("Close returned %v, want nil", err)
		}
	}
}

func writeAll(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}
