// Package event holds the inputs that a controller takes and the effects that it
// returns. The engine, or a test, turns effects into input and output; the
// controller itself has no clock, goroutine, socket or global randomness.
//
// # Who owns the slices
//
// The bodies and data of inputs are copies that the engine has made for the
// controller: it may keep them, but not modify them, as several of its parts may
// hold the same one. Bodies and data that are passed to Effects must not be
// modified from then on; one may be in several effects. The slices of Effects
// itself are reused: they are valid until the next Reset.
package event

import (
	"time"

	"lugward/internal/httpwire"
)

// Time is a point on the process's monotonic clock, counted from its start.
type Time = time.Duration

// Request is an HTTP request that has reached this controller. Each is answered
// by at most one Reply.
type Request struct {
	Conn   uint64 // ID of the connection to answer on
	Method string
	Path   string
	Body   []byte
	// ConnectionLimitReached means that more workers are connected than there are
	// sockets for: this one's connection ends with the reply.
	ConnectionLimitReached bool
}

// Reply answers the Request of a connection.
type Reply struct {
	Conn       uint64
	Status     int    // HTTP status, see package httpwire
	Body       []byte // nil: no body
	RetryAfter int    // seconds, in the Retry-After header; 0: no header
}

// Call is an HTTP request of ours to another system. Every Call is answered by
// exactly one CallResult with the same ID, after Timeout at the latest.
type Call struct {
	ID      uint64
	Addr    string // host and port
	Method  string
	Path    string // with the query
	Body    []byte
	Timeout time.Duration
}

// CallResult is the outcome of a Call. Status is that of the HTTP response,
// NoResponse or ResponseTooLarge.
type CallResult struct {
	ID     uint64
	Status int
	Body   []byte
}

// UnknownPeer is the Peer of an incoming frame: its content names the sender.
const UnknownPeer = -1

// PeerFrame is one frame to or from another controller.
type PeerFrame struct {
	Peer int // index in the list of peers, or UnknownPeer
	Data []byte
}

// Effects collects what a step of the controller wants done. The engine carries it
// out after the step, in the order replies, calls, frames, and then calls Reset.
// The zero value is empty.
type Effects struct {
	Replies []Reply
	Calls   []Call
	Frames  []PeerFrame

	lastCallID uint64 // never reset
}

// Reply answers a request.
func (e *Effects) Reply(conn uint64, status int, body []byte) {
	e.Replies = append(e.Replies, Reply{Conn: conn, Status: status, Body: body})
}

// ReplyUnavailable refuses a request for now with 503; the client may come back
// after the given number of seconds.
func (e *Effects) ReplyUnavailable(conn uint64, retryAfter int) {
	e.Replies = append(e.Replies, Reply{
		Conn:       conn,
		Status:     httpwire.StatusServiceUnavailable,
		RetryAfter: retryAfter,
	})
}

// Call adds an outgoing request and returns its ID, which is unique in this
// Effects.
func (e *Effects) Call(addr, method, path string, body []byte, timeout time.Duration) uint64 {
	e.lastCallID++
	e.Calls = append(e.Calls, Call{
		ID:      e.lastCallID,
		Addr:    addr,
		Method:  method,
		Path:    path,
		Body:    body,
		Timeout: timeout,
	})
	return e.lastCallID
}

// SendFrame adds a frame to a peer, given by its index in the list of peers.
func (e *Effects) SendFrame(peer int, data []byte) {
	e.Frames = append(e.Frames, PeerFrame{Peer: peer, Data: data})
}

// Reset drops the collected effects and keeps their storage. Call IDs go on
// counting.
func (e *Effects) Reset() {
	e.Replies = e.Replies[:0]
	e.Calls = e.Calls[:0]
	e.Frames = e.Frames[:0]
}
