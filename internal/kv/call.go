package kv

import (
	"fmt"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// request is an HTTP request to the store.
type request struct {
	method, path string
	body         []byte
	timeout      time.Duration
}

// responseHandler handles the response to a request.
type responseHandler interface {
	handle(now event.Time, c *Client, r response, out *event.Effects)
}

// pendingCall is a request that was sent and has no response yet.
type pendingCall struct {
	method, path string
	sentAt       event.Time
	handler      responseHandler
}

// response is the response to a request, or with the status event.NoResponse or
// event.ResponseTooLarge the lack of one.
type response struct {
	call   pendingCall
	status int
	body   []byte
}

// err returns nil for the status 200, else a *StatusError.
func (r *response) err() error {
	if r.status == httpwire.StatusOK {
		return nil
	}
	return &StatusError{Method: r.call.method, Path: r.call.path, Status: r.status}
}

// A StatusError reports that a request got a response other than 200, or none.
// Without a usable response the store may have executed the request all the same.
type StatusError struct {
	Method, Path string
	// Status is the HTTP status, or event.NoResponse or event.ResponseTooLarge.
	Status int
}

// Error returns the request and its status.
func (e *StatusError) Error() string {
	switch e.Status {
	case event.NoResponse:
		return fmt.Sprintf("%s %s: no response", e.Method, e.Path)
	case event.ResponseTooLarge:
		return fmt.Sprintf("%s %s: response too large", e.Method, e.Path)
	default:
		return fmt.Sprintf("%s %s: status %d", e.Method, e.Path, e.Status)
	}
}

// send sends a request and keeps its handler until the response comes. It counts
// against the request rate whether or not the rate allows it; the caller judges
// that first where the request can wait.
func (c *Client) send(now event.Time, r request, handler responseHandler, out *event.Effects) {
	c.rates.takeRequest(now)
	id := out.Call(c.addr, r.method, r.path, r.body, r.timeout)
	c.pending[id] = pendingCall{method: r.method, path: r.path, sentAt: now, handler: handler}
}

// HandleCallResult takes the result of a call. It reports whether the call was
// one of this client's.
func (c *Client) HandleCallResult(now event.Time, result event.CallResult, out *event.Effects) bool {
	call, ok := c.pending[result.ID]
	if !ok {
		return false
	}
	delete(c.pending, result.ID)
	c.health.observe(result.Status, call.sentAt)
	if result.Status == httpwire.StatusTooManyRequests {
		c.lowerRates()
	}
	call.handler.handle(now, c, response{call: call, status: result.Status, body: result.Body}, out)
	return true
}

// health is what the responses say about the availability of the store.
type health struct {
	lastContact event.Time // when the last request that was executed was sent
	unavailable bool       // the last response, 429 apart, was 503 or missing
}

// neverInContact lies before any time at which a request can have been sent, so
// that a controller that has just started does not count as recently in contact.
const neverInContact event.Time = -time.Hour

func newHealth() health { return health{lastContact: neverInContact} }

// observe takes the status of the response to a request.
func (h *health) observe(status int, sentAt event.Time) {
	switch status {
	case event.NoResponse, httpwire.StatusServiceUnavailable:
		h.unavailable = true
	case httpwire.StatusTooManyRequests:
		// Neither executed nor unavailable.
	default:
		h.lastContact = max(h.lastContact, sentAt)
		h.unavailable = false
	}
}
