package simtest

import (
	"cmp"
	"slices"
	"time"

	"lugward/internal/event"
)

// Message is an HTTP request, its response, or a peer frame that a controller receives
// or sends. Fields that do not apply to its kind are zero.
type Message struct {
	Time     time.Duration // virtual
	From, To string        // names or addresses
	Method   string        // of a request
	Path     string        // of a request
	Status   int           // of a response; a message without Method and Status is a peer frame
	// RetryAfter is the Retry-After header of a response in seconds, zero if absent.
	RetryAfter int
	Body       []byte
}

// WireObserver is called for every message, in the order in which controllers receive
// and send them.
type WireObserver func(Message)

// observe passes a message to the observer, if there is one.
func (world *World) observe(message Message) {
	if world.observer == nil {
		return
	}
	message.Time = world.now
	world.observer(message)
}

// observeEffects passes the messages that a controller sends to the observer. The replies of
// one step go to different connections. They are sorted by connection, since a controller
// that iterates over a map may return them in any order.
func (process *controllerProcess) observeEffects(replies []event.Reply, calls []event.Call, frames []event.PeerFrame) {
	if process.world.observer == nil {
		return
	}
	byConnection := slices.SortedStableFunc(slices.Values(replies), func(a, b event.Reply) int { return cmp.Compare(a.Conn, b.Conn) })
	for _, reply := range byConnection {
		process.world.observe(Message{From: process.name, Status: reply.Status, RetryAfter: reply.RetryAfter, Body: reply.Body})
	}
	for _, call := range calls {
		process.world.observe(Message{From: process.name, To: call.Addr, Method: call.Method, Path: call.Path, Body: call.Body})
	}
	for _, frame := range frames {
		process.world.observe(Message{From: process.name, To: process.peer(frame.Peer).name, Body: frame.Data})
	}
}
