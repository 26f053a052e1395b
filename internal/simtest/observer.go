package simtest

import (
	"cmp"
	"slices"
	"time"

	"lugward/internal/event"
)

// Message is an HTTP request, its answer, or a peer frame that a controller receives
// or sends. Fields that its kind does not have are zero.
type Message struct {
	Time     time.Duration // virtual
	From, To string        // names or addresses
	Method   string        // of a request
	Path     string        // of a request
	Status   int           // of an answer; 0 and no Method: a peer frame
	// RetryAfter is the header of an answer, in seconds; 0: none.
	RetryAfter int
	Body       []byte
}

// WireObserver is told of every message, in the order in which controllers receive
// and send them.
type WireObserver func(Message)

// observe tells the observer, if there is one, of a message.
func (world *World) observe(message Message) {
	if world.observer == nil {
		return
	}
	message.Time = world.now
	world.observer(message)
}

// observeEffects tells the observer what a controller sends. Replies of one step go to
// different connections and are told in the order of these, since a controller that
// walks over a map may give them in any.
func (process *controllerProcess) observeEffects(replies []event.Reply, calls []event.Call, frames []event.PeerFrame) {
	if process.world.observer == nil {
		return
	}
	byConnection := slices.SortedStableFunc(slices.Values(replies), func(reply, b event.Reply) int { return cmp.Compare(reply.Conn, b.Conn) })
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
