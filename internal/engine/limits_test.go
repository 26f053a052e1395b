package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lugward/internal/httpwire"
)

// userPath is a path that neither workers nor probes use.
const userPath = "/a"

// TestConnectionCap checks which connection is closed when no socket is free: the
// least recently used idle connection of a user, and that of a worker only when no
// user's is left. It also checks that some sockets stay free for outgoing connections.
func TestConnectionCap(t *testing.T) {
	_, cfg := start(t, 64)
	connect := func(path string) (net.Conn, bool) {
		c := dial(t, cfg.Bind)
		return c, requestOn(c, path)
	}
	const pairs = 30
	workers, users := make([]net.Conn, 0, pairs), make([]net.Conn, 0, pairs)
	for range pairs {
		worker, workerAnswered := connect(heartbeatPath)
		user, userAnswered := connect(userPath)
		workers = append(workers, worker)
		users = append(users, user)
		if !workerAnswered || !userAnswered {
			t.Fatalf("request failed with %d workers and as many users connected, want it answered", len(workers))
		}
	}
	for i, worker := range workers {
		if !requestOn(worker, heartbeatPath) {
			t.Errorf("connection of worker %d was closed, want it open", i)
		}
	}
	usersConnected := 0
	for _, user := range users {
		if requestOn(user, userPath) {
			usersConnected++
		}
	}
	// Connections that are being closed may still be counted.
	if usersConnected > pairs || usersConnected < 10 {
		t.Errorf("%d users are connected with 64 sockets, want 10 to %d", usersConnected, pairs)
	}
}

// TestFewerSocketsThanWorkers checks that every request is answered while three times
// as many workers as sockets send heartbeats in turn, and users and probes send
// requests. A worker dials again after its connection was closed with a reply.
func TestFewerSocketsThanWorkers(t *testing.T) {
	const sockets = 64
	stateMachine, cfg := start(t, sockets)
	var workers [3 * sockets]*client
	for i := range workers {
		workers[i] = &client{addr: cfg.Bind}
	}
	connected := 0
	for round := range 4 {
		connected = 0
		for i, worker := range workers {
			if !worker.request(t, heartbeatPath) {
				t.Fatalf("heartbeat of worker %d failed in round %d, want status 200", i, round)
			}
			if worker.conn != nil {
				connected++
			}
			if i%8 != 0 {
				continue
			}
			for _, path := range []string{userPath, healthPath} {
				if other := (&client{addr: cfg.Bind}); !other.request(t, path) {
					t.Fatalf("request for %s failed in round %d, want status 200", path, round)
				}
			}
		}
	}
	most := sockets - sockets/userReserveDivisor - outgoingHeadroom
	if connected > most || connected < most/2 {
		t.Errorf("%d workers stay connected, want %d to %d", connected, most/2, most)
	}
	// Every heartbeat whose connection is closed because of the limit is passed to the
	// state machine with ConnectionLimitReached, and no request of a user is.
	least := 3 * (len(workers) - most)
	if got := stateMachine.limitReachedCount(heartbeatPath); got < least || stateMachine.limitReachedCount(userPath) != 0 {
		t.Errorf("got ConnectionLimitReached for %d heartbeats, want at least %d; got it for %d requests of users, want 0", got, least, stateMachine.limitReachedCount(userPath))
	}
}

// TestIdleOutgoingClosedForWorkers checks that idle outgoing connections, such as those
// left by direct commands to many machines, do not reduce the sockets for workers.
func TestIdleOutgoingClosedForWorkers(t *testing.T) {
	const sockets = 64
	stateMachine, cfg := start(t, sockets)
	for range sockets / 2 {
		stateMachine.call(serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
	for range sockets / 2 {
		if r := <-stateMachine.results; r.Status != httpwire.StatusOK {
			t.Fatalf("call returned status %d, want %d", r.Status, httpwire.StatusOK)
		}
	}
	connected := 0
	for i := range sockets {
		worker := &client{addr: cfg.Bind}
		if !worker.request(t, heartbeatPath) {
			t.Fatalf("heartbeat of worker %d failed, want status 200", i)
		}
		if worker.conn != nil {
			connected++
		}
	}
	if least := (sockets - sockets/userReserveDivisor - outgoingHeadroom) / 2; connected < least {
		t.Errorf("%d workers stay connected, want at least %d", connected, least)
	}
}

// client is an HTTP client that dials again after the engine has closed its
// connection with a response.
type client struct {
	addr string
	conn net.Conn // nil while not connected
}

// request sends a request and reports whether the response has status 200.
func (c *client) request(t *testing.T, path string) bool {
	t.Helper()
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			return false
		}
		t.Cleanup(func() { _ = conn.Close() }) // may already be closed
		c.conn = conn
	}
	_, _ = io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\n\r\n")
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.Close {
		closeAll(t, c.conn)
		c.conn = nil
	}
	return response.StatusCode == httpwire.StatusOK
}

// requestOn sends a request on an open connection and reports whether the response
// has status 200.
func requestOn(c net.Conn, path string) bool {
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.Contains(line, "200")
}
