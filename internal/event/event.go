// Package event defines the inputs that a controller handles and the effects that it
// returns. The engine, or a test, executes the effects and delivers the inputs. The
// controller itself uses no clock, goroutine, socket or global randomness.
//
// # Slice ownership
//
// The bodies and data of inputs are copies that the engine makes for the controller.
// The controller may retain them but must not modify them, because several of its
// components may share one slice. Bodies and data passed to Effects must not be
// modified afterwards; several effects may share one slice. The slices of Effects
// itself are reused and are valid until the next Reset.
package event

import (
	"time"

	"lugward/internal/httpwire"
)

// Time is a time on the monotonic clock, measured from the start of the process.
type Time = time.Duration

// Request is an HTTP request received by this controller. Each request gets exactly
// one Reply.
type Request struct {
	Conn   uint64 // ID of the connection for the reply
	Method string
	Path   string
	Body   []byte
	// ConnectionLimitReached means that more workers are connected than the socket
	// limit allows. The engine closes this worker's connection after the reply.
	ConnectionLimitReached bool
}

// Reply is the response to the Request of a connection.
type Reply struct {
	Conn       uint64
	Status     int    // HTTP status, see package httpwire
	Body       []byte // nil means no body
	RetryAfter int    // seconds in the Retry-After header, zero for no header
}

// Call is an HTTP request of this controller to another system. Every Call has exactly
// one CallResult with the same ID, which is delivered after Timeout at the latest.
type Call struct {
	ID      uint64
	Addr    string // host and port
	Method  string
	Path    string // includes the query
	Body    []byte
	Timeout time.Duration
}

// CallResult is the result of a Call. Status is the HTTP status of the response,
// NoResponse or ResponseTooLarge.
type CallResult struct {
	ID     uint64
	Status int
	Body   []byte
}

// UnknownPeer is the Peer of an incoming frame. The content of the frame names the
// sender.
const UnknownPeer = -1

// PeerFrame is a frame to or from another controller.
type PeerFrame struct {
	Peer int // index in the list of peers, or UnknownPeer
	Data []byte
}

// Effects collects the effects of one step of the controller. After the step the engine
// executes them in the order replies, calls, frames, and then calls Reset. The zero
// value is empty.
type Effects struct {
	Replies []Reply
	Calls   []Call
	Frames  []PeerFrame

	lastCallID uint64 // never reset
}

// Reply adds the response to a request.
func (e *Effects) Reply(conn uint64, status int, body []byte) {
	e.Replies = append(e.Replies, Reply{Conn: conn, Status: status, Body: body})
}

// ReplyUnavailable adds a response with status 503. The client may retry after
// retryAfter seconds.
func (e *Effects) ReplyUnavailable(conn uint64, retryAfter int) {
	e.Replies = append(e.Replies, Reply{
		Conn:       conn,
		Status:     httpwire.StatusServiceUnavailable,
		RetryAfter: retryAfter,
	})
}

// Call adds an outgoing request and returns its ID, which is unique within this
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

// SendFrame adds a frame to a peer. peer is an index in the list of peers.
func (e *Effects) SendFrame(peer int, data []byte) {
	e.Frames = append(e.Frames, PeerFrame{Peer: peer, Data: data})
}

// Reset removes the collected effects but keeps the allocated slices. Call IDs continue
// to increase.
func (e *Effects) Reset() {
	e.Replies = e.Replies[:0]
	e.Calls = e.Calls[:0]
	e.Frames = e.Frames[:0]
}
