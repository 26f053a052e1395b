// Package event holds the inputs that the core takes and the effects that it
// returns. The engine (or a test) turns effects into input and output; the core
// itself has no clock, goroutine, socket or global randomness.
package event

import (
	"time"

	"lugward/internal/httpwire"
)

// Time is a point on the process's monotonic clock, counted from its start.
type Time = time.Duration

// Request is an HTTP request that has reached this controller.
type Request struct {
	Conn   uint64 // number of the connection to answer on
	Method string
	Path   string
	Body   []byte
	// ConnectionLimitReached tells that more workers are connected than there are sockets for: this
	// one's connection ends with the reply.
	ConnectionLimitReached bool
}

// Reply answers the Request of a connection.
type Reply struct {
	Conn       uint64
	Status     int
	Body       []byte
	RetryAfter int // seconds, 0: no header
}

// Call is an HTTP request of ours to another system. Every Call is answered
// by exactly one CallDone with the same ID.
type Call struct {
	ID      uint64
	Addr    string
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// CallResult is the outcome of a Call. With the status NoResponse the request may
// have been carried out or not, or may still be.
type CallResult struct {
	ID     uint64
	Status int
	Body   []byte
}

// PeerFrame is one frame to or from another controller.
type PeerFrame struct {
	Peer int // index in the list of seeds; -1 for an incoming frame, whose sender its content names
	Data []byte
}

// Effects collects what a step of the core wants done. The engine carries it
// out in the order replies, calls, frames and then calls Reset.
type Effects struct {
	Replies []Reply
	Calls   []Call
	Frames  []PeerFrame

	lastCall uint64 // ID of the last call, never reset
}

// Reply adds an answer to a request.
func (o *Effects) Reply(conn uint64, status int, body []byte) {
	o.Replies = append(o.Replies, Reply{Conn: conn, Status: status, Body: body})
}

// ReplyUnavailable refuses a request for now with 503; the client may come back after the
// given number of seconds.
func (o *Effects) ReplyUnavailable(conn uint64, retryAfter int) {
	o.Replies = append(o.Replies, Reply{Conn: conn, Status: httpwire.StatusServiceUnavailable, RetryAfter: retryAfter})
}

// Call adds an outgoing request and returns its ID.
func (o *Effects) Call(addr, method, path string, body []byte, timeout time.Duration) uint64 {
	o.lastCall++
	o.Calls = append(o.Calls, Call{
		ID:      o.lastCall,
		Addr:    addr,
		Method:  method,
		Path:    path,
		Body:    body,
		Timeout: timeout,
	})
	return o.lastCall
}

// SendFrame adds a frame to a peer.
func (o *Effects) SendFrame(peer int, data []byte) {
	o.Frames = append(o.Frames, PeerFrame{Peer: peer, Data: data})
}

// Reset drops the collected effects. Call IDs go on counting.
func (o *Effects) Reset() {
	o.Replies = o.Replies[:0]
	o.Calls = o.Calls[:0]
	o.Frames = o.Frames[:0]
}
