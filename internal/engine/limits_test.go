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

// Paths by which the engine tells who is connected.
const (
	workerPath = "/hello"
	probePath  = "/healthz"
	userPath   = "/a"
)

// TestConnectionCap checks that with all sockets taken the least recently used
// user's connection is closed, a worker's between two reports only after all of
// them, and that some sockets stay free for outgoing connections.
func TestConnectionCap(t *testing.T) {
	_, cfg := start(t, 64)
	connect := func(path string) (net.Conn, bool) {
		c, err := net.Dial("tcp", cfg.Bind)
		if err != nil {
			t.Fatal(err)
		}
		return c, requestOn(c, path)
	}
	var workers, users []net.Conn
	for range 30 {
		worker, workerAnswered := connect(workerPath)
		user, userAnswered := connect(userPath)
		workers = append(workers, worker)
		users = append(users, user)
		if !workerAnswered || !userAnswered {
			t.Fatalf("refused with %d workers and as many users", len(workers))
		}
	}
	for i, worker := range workers {
		if !requestOn(worker, workerPath) {
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
	if usersConnected > 30 || usersConnected < 10 {
		t.Errorf("%d of 30 users are connected, too, with 64 sockets", usersConnected)
	}
	for _, c := range append(workers, users...) {
		c.Close()
	}
}

// TestFewerSocketsThanWorkers lets three times as many workers as sockets
// report in turn, while users and probes come. A worker dials again when its
// connection was closed with an answer. Every request is answered.
func TestFewerSocketsThanWorkers(t *testing.T) {
	const sockets = 64
	core, cfg := start(t, sockets)
	var workers [3 * sockets]*client
	for i := range workers {
		workers[i] = &client{addr: cfg.Bind}
	}
	connected := 0
	for round := range 4 {
		connected = 0
		for i, worker := range workers {
			if !worker.request(t, workerPath) {
				t.Fatalf("worker %d is refused in round %d", i, round)
			}
			if worker.conn != nil {
				connected++
			}
			if i%8 != 0 {
				continue
			}
			for _, path := range []string{userPath, probePath} {
				if other := (&client{addr: cfg.Bind}); !other.request(t, path) {
					t.Fatalf("%s is refused in round %d", path, round)
				}
			}
		}
	}
	most := sockets - sockets/userDivisor - spareOutgoing
	if connected > most || connected < most/2 {
		t.Errorf("%d workers stay connected, not about %d", connected, most)
	}
	// The core hears of each whose connection ends for want of sockets, and of no user.
	least := 3 * (len(workers) - most)
	if got := core.crowdedCount(workerPath); got < least || core.crowdedCount(userPath) != 0 {
		t.Errorf("%d of the reports were crowded, not %d at least, and %d of the users' requests", got, least, core.crowdedCount(userPath))
	}
}

// TestSpareCallsGiveWay checks that connections left from calls of ours, such
// as direct commands to many machines, take no sockets from workers.
func TestSpareCallsGiveWay(t *testing.T) {
	const sockets = 64
	core, cfg := start(t, sockets)
	for range sockets / 2 {
		core.call(serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
	for range sockets / 2 {
		if d := <-core.done; d.Status != httpwire.StatusOK {
			t.Fatalf("a call ended with %d", d.Status)
		}
	}
	connected := 0
	for i := range sockets {
		worker := &client{addr: cfg.Bind}
		if !worker.request(t, workerPath) {
			t.Fatalf("worker %d is refused", i)
		}
		if worker.conn != nil {
			connected++
		}
	}
	if least := (sockets - sockets/userDivisor - spareOutgoing) / 2; connected < least {
		t.Errorf("%d workers stay connected, not %d", connected, least)
	}
}

// client is a connection that is dialled again after the engine has closed it
// with an answer.
type client struct {
	addr string
	conn net.Conn // nil while it is closed
}

// request sends a request and tells whether the answer is 200.
func (c *client) request(t *testing.T, path string) bool {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			return false
		}
		t.Cleanup(func() { conn.Close() })
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
		c.conn.Close()
		c.conn = nil
	}
	return response.StatusCode == httpwire.StatusOK
}

// requestOn sends a request on an open connection and tells whether the answer
// is 200.
func requestOn(c net.Conn, path string) bool {
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.Contains(line, "200")
}
