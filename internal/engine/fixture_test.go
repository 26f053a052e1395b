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

// echoMachine is a state machine that answers every request at once and makes the
// calls that a test asks for.
type echoMachine struct {
	mu     sync.Mutex
	frames [][]byte // that have arrived
	calls  []string // addresses to call at the next tick

	beyondLimit map[string]int // requests with ConnectionLimitReached, by path
	results     chan event.CallResult
}

func (m *echoMachine) SetWallClock(event.Time, time.Time) {}

func (m *echoMachine) Tick(_ event.Time, out *event.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, addr := range m.calls {
		out.Call(addr, "GET", "/x", nil, 2*time.Second)
	}
	m.calls = nil
}

func (m *echoMachine) HandleRequest(_ event.Time, r event.Request, out *event.Effects) {
	if r.ConnectionLimitReached {
		m.mu.Lock()
		m.beyondLimit[r.Path]++
		m.mu.Unlock()
	}
	out.Reply(r.Conn, httpwire.StatusOK, []byte(r.Method+" "+r.Path+" "+string(r.Body)))
}

func (m *echoMachine) HandleCallResult(_ event.Time, r event.CallResult, _ *event.Effects) {
	m.results <- r
}

func (m *echoMachine) HandleFrame(_ event.Time, f event.PeerFrame, _ *event.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frames = append(m.frames, f.Data)
}

// beyondLimitCount returns how many requests for a path have come for which there
// were too few sockets.
func (m *echoMachine) beyondLimitCount(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.beyondLimit[path]
}

// frameCount returns how many frames have arrived.
func (m *echoMachine) frameCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.frames)
}

// call lets the state machine call an address at the next tick.
func (m *echoMachine) call(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls = append(m.calls, addr)
}

// The inputs that a slowMachine records.
const (
	tickEvent    = "tick"
	requestEvent = "request"
)

// slowMachine takes longer for a request than there is between ticks.
type slowMachine struct {
	echoMachine
	order chan string // the inputs in the order in which they came
}

func (m *slowMachine) Tick(event.Time, *event.Effects) {
	select {
	case m.order <- tickEvent:
	default:
	}
}

func (m *slowMachine) HandleRequest(now event.Time, r event.Request, out *event.Effects) {
	time.Sleep(tickInterval + 10*time.Millisecond)
	m.order <- requestEvent
	m.echoMachine.HandleRequest(now, r, out)
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

// start runs an engine with an echoMachine until the test ends.
func start(t *testing.T, maxConnections int) (*echoMachine, Config) {
	t.Helper()
	machine := &echoMachine{beyondLimit: map[string]int{}, results: make(chan event.CallResult, 100)}
	return machine, serve(t, machine, maxConnections)
}

// serve runs an engine with the given state machine until the test ends.
func serve(t *testing.T, machine StateMachine, maxConnections int) Config {
	t.Helper()
	cfg := Config{Bind: freeAddr(t), PeerBind: freeAddr(t), MaxConnections: maxConnections}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, cfg, machine, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the engine ended with %v", err)
			}
		case <-time.After(20 * time.Second):
			t.Error("the engine does not end")
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
	t.Fatal("the engine does not listen")
	return cfg
}

// dial connects to an address until the test ends.
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
			t.Errorf("close: %v", err)
		}
	}
}

func writeAll(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}
