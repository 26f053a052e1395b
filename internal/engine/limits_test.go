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

// userPath is a path of neither workers nor probes.
const userPath = "/a"

// TestConnectionCap checks that with all sockets taken the least recently used
// user's connection is closed, a worker's between two heartbeats only after all of
// them, and that some sockets stay free for outgoing connections.
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
			t.Fatalf("refused with %d workers and as many users", len(workers))
		}
	}
	for i, worker := range workers {
		if !requestOn(worker, heartbeatPath) {
			t.Errorf("worker %d lost its connection", i)
		}
	}
	usersConnected := 0
	for _, user := range users {
		if requestOn(user, userPath) {
			usersConnected++
		}
	}
	// Connections that are just being closed may still count.
	if usersConnected > pairs || usersConnected < 10 {
		t.Errorf("%d of %d users are connected, too, with 64 sockets", usersConnected, pairs)
	}
}

// TestFewerSocketsThanWorkers lets three times as many workers as sockets
// send heartbeats in turn, while users and probes come. A worker dials again when its
// connection was closed with an answer. Every request is answered.
func TestFewerSocketsThanWorkers(t *testing.T) {
	const sockets = 64
	machine, cfg := start(t, sockets)
	var workers [3 * sockets]*client
	for i := range workers {
		workers[i] = &client{addr: cfg.Bind}
	}
	connected := 0
	for round := range 4 {
		connected = 0
		for i, worker := range workers {
			if !worker.request(t, heartbeatPath) {
				t.Fatalf("worker %d is refused in round %d", i, round)
			}
			if worker.conn != nil {
				connected++
			}
			if i%8 != 0 {
				continue
			}
			for _, path := range []string{userPath, healthPath} {
				if other := (&client{addr: cfg.Bind}); !other.request(t, path) {
					t.Fatalf("%s is refused in round %d", path, round)
				}
			}
		}
	}
	most := sockets - sockets/userFraction - outgoingHeadroom
	if connected > most || connected < most/2 {
		t.Errorf("%d workers stay connected, not about %d", connected, most)
	}
	// The state machine hears of each whose connection ends for want of sockets, and of no user.
	least := 3 * (len(workers) - most)
	if got := machine.beyondLimitCount(heartbeatPath); got < least || machine.beyondLimitCount(userPath) != 0 {
		t.Errorf("the limit was reached for %d heartbeats, not %d at least, and for %d requests of users", got, least, machine.beyondLimitCount(userPath))
	}
}

// TestIdleOutgoingGiveWay checks that connections left from calls of ours, such
// as direct commands to many machines, take no sockets from workers.
func TestIdleOutgoingGiveWay(t *testing.T) {
	const sockets = 64
	machine, cfg := start(t, sockets)
	for range sockets / 2 {
		machine.call(serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
	for range sockets / 2 {
		if r := <-machine.results; r.Status != httpwire.StatusOK {
			t.Fatalf("a call ended with %d", r.Status)
		}
	}
	connected := 0
	for i := range sockets {
		worker := &client{addr: cfg.Bind}
		if !worker.request(t, heartbeatPath) {
			t.Fatalf("worker %d is refused", i)
		}
		if worker.conn != nil {
			connected++
		}
	}
	if least := (sockets - sockets/userFraction - outgoingHeadroom) / 2; connected < least {
		t.Errorf("%d workers stay connected, not %d", connected, least)
	}
}

// client is a connection that is dialled again after the engine has closed it
// with an answer.
type client struct {
	addr string
	conn net.Conn // nil while it is closed
}

// request sends a request and reports whether the answer is 200.
func (c *client) request(t *testing.T, path string) bool {
	t.Helper()
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			return false
		}
		t.Cleanup(func() { _ = conn.Close() }) // may be closed by then
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

// requestOn sends a request on an open connection and reports whether the answer
// is 200.
func requestOn(c net.Conn, path string) bool {
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.Contains(line, "200")
}
