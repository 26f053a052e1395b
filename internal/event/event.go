// Package event holds the inputs the core takes and the effects it returns.
// The engine (or a test) turns effects into input and output; the core itself
// has no clock, goroutine, socket or global randomness.
package event

import "time"

// Time is a point on the process's steady clock, counted from its start.
type Time = time.Duration

// Request is a parsed HTTP request that reached the service.
type Request struct {
	Conn   uint64 // the connection to answer on
	Method string
	Path   string
	Body   []byte
}

// Reply answers a Request.
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

// CallDone is the outcome of a Call. Status 0 means that no response came:
// the request may or may not have been executed, or may still be.
type CallDone struct {
	ID     uint64
	Status int
	Body   []byte
}

// PeerFrame is one frame to or from another controller.
type PeerFrame struct {
	Peer int // index into the configured seeds; -1 while unknown (inbound)
	Data []byte
}

// Effects collects the effects of one step.
type Effects struct {
	Replies []Reply
	Calls   []Call
	Frames  []PeerFrame

	lastCall uint64
}

// Reply adds an answer.
func (o *Effects) Reply(conn uint64, status int, body []byte) {
	o.Replies = append(o.Replies, Reply{Conn: conn, Status: status, Body: body})
}

// Busy answers 503 and tells the client when to come back.
func (o *Effects) Busy(conn uint64, retryAfter int) {
	o.Replies = append(o.Replies, Reply{Conn: conn, Status: 503, RetryAfter: retryAfter})
}

// Call adds an outgoing request and returns its ID.
func (o *Effects) Call(addr, method, path string, body []byte, timeout time.Duration) uint64 {
	o.lastCall++
	o.Calls = append(o.Calls, Call{ID: o.lastCall, Addr: addr, Method: method, Path: path, Body: body, Timeout: timeout})
	return o.lastCall
}

// Send adds a frame to a peer.
func (o *Effects) Send(peer int, data []byte) {
	o.Frames = append(o.Frames, PeerFrame{Peer: peer, Data: data})
}

// Reset drops collected effects; call IDs go on counting.
func (o *Effects) Reset() {
	o.Replies, o.Calls, o.Frames = o.Replies[:0], o.Calls[:0], o.Frames[:0]
}
