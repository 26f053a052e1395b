package kv

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// noResponse is the status of a request that got no answer: it may have been
// executed, or may yet be.
const noResponse = 0

// request is the part of a sent request that handles its answer.
type request interface {
	answered(c *Client, now event.Time, r response, out *event.Effects)
}

// pendingCall is a request that was sent and is not answered yet.
type pendingCall struct {
	sent    event.Time
	request request
}

// response is the answer to a request. A status of noResponse means that none
// came.
type response struct {
	sent   event.Time // when the request was sent
	status int
	body   []byte
}

// call describes an HTTP request to the service.
type call struct {
	method, path string
	body         []byte
	timeout      time.Duration
}

// send sends a request and keeps its handler until the answer comes. It counts
// against the request rate whether or not the rate allows it; the caller judges
// that first where the request can wait.
func (c *Client) send(what call, handler request, now event.Time, out *event.Effects) {
	c.rates.takeRequest(now)
	id := out.Call(c.addr, what.method, what.path, what.body, what.timeout)
	c.pending[id] = pendingCall{sent: now, request: handler}
}

// HandleCallResult takes the outcome of a call. It reports whether the call was one of
// this client's.
func (c *Client) HandleCallResult(now event.Time, done event.CallResult, out *event.Effects) bool {
	pending, ok := c.pending[done.ID]
	if !ok {
		return false
	}
	delete(c.pending, done.ID)
	c.health.observe(done.Status, pending.sent)
	if done.Status == httpwire.StatusTooManyRequests {
		c.lowerRates()
	}
	pending.request.answered(c, now, response{sent: pending.sent, status: done.Status, body: done.Body}, out)
	return true
}

// health is what the answers say about the service's availability.
type health struct {
	lastContact event.Time // when the last request that was executed was sent
	unavailable bool       // the last answer, 429 apart, was 503 or missing
}

// neverInContact lies before any time at which a request can have been sent, so
// that a node that has just started does not count as recently in contact.
const neverInContact event.Time = -time.Hour

func newHealth() health { return health{lastContact: neverInContact} }

func (h *health) observe(status int, sent event.Time) {
	switch status {
	case noResponse, httpwire.StatusServiceUnavailable:
		h.unavailable = true
	case httpwire.StatusTooManyRequests:
		// Neither executed nor unavailable.
	default:
		h.lastContact = max(h.lastContact, sent)
		h.unavailable = false
	}
}
