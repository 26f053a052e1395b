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
func (w *World) observe(m Message) {
	if w.wire == nil {
		return
	}
	m.Time = w.now
	w.wire(m)
}

// observeEffects tells the observer what a controller sends. Replies of one step go to
// different connections and are told in the order of these, since a controller that
// walks over a map may give them in any.
func (n *node) observeEffects(replies []event.Reply, calls []event.Call, frames []event.PeerFrame) {
	if n.w.wire == nil {
		return
	}
	byConnection := slices.SortedStableFunc(slices.Values(replies), func(a, b event.Reply) int { return cmp.Compare(a.Conn, b.Conn) })
	for _, r := range byConnection {
		n.w.observe(Message{From: n.name, Status: r.Status, RetryAfter: r.RetryAfter, Body: r.Body})
	}
	for _, c := range calls {
		n.w.observe(Message{From: n.name, To: c.Addr, Method: c.Method, Path: c.Path, Body: c.Body})
	}
	for _, f := range frames {
		n.w.observe(Message{From: n.name, To: n.peer(f.Peer).name, Body: f.Data})
	}
}
