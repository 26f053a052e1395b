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

// response is the response to a request. If there is none that can be used, the
// status is event.NoResponse or event.ResponseTooLarge.
type response struct {
	call   pendingCall
	status int
	body   []byte
}

// err returns nil if the status is 200, and a *StatusError otherwise.
func (r *response) err() error {
	if r.status == httpwire.StatusOK {
		return nil
	}
	return &StatusError{Method: r.call.method, Path: r.call.path, Status: r.status}
}

// A StatusError reports that a request got no response, or one with a status other
// than 200. The store may still have executed the request if there was no usable
// response.
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
		return fmt.Sprintf("%s %s: unexpected status %d", e.Method, e.Path, e.Status)
	}
}

// send sends a request and keeps its handler until the response arrives. The request
// counts against the request rate, but send does not wait for the rate. A caller
// whose request can wait checks the rate first.
func (c *Client) send(now event.Time, r request, handler responseHandler, out *event.Effects) {
	c.rates.acquireRequest(now)
	id := out.Call(c.addr, r.method, r.path, r.body, r.timeout)
	c.pending[id] = pendingCall{method: r.method, path: r.path, sentAt: now, handler: handler}
}

// HandleCallResult handles the result of a call. It returns false if the call was
// not made by this client.
func (c *Client) HandleCallResult(now event.Time, result event.CallResult, out *event.Effects) bool {
	call, ok := c.pending[result.ID]
	if !ok {
		return false
	}
	delete(c.pending, result.ID)
	c.health.recordStatus(result.Status, call.sentAt)
	if result.Status == httpwire.StatusTooManyRequests {
		c.lowerRates()
	}
	call.handler.handle(now, c, response{call: call, status: result.Status, body: result.Body}, out)
	return true
}

// health is the availability of the store, derived from its responses.
type health struct {
	lastContact event.Time // sending time of the latest request that was executed
	unavailable bool       // the last call, except those answered with 429, got a 503 or no response
}

// neverInContact is earlier than any time at which a request can be sent, so that a
// controller that has just started does not count as recently in contact.
const neverInContact event.Time = -time.Hour

func newHealth() health { return health{lastContact: neverInContact} }

// recordStatus records the status of the response to a request sent at sentAt.
func (h *health) recordStatus(status int, sentAt event.Time) {
	switch status {
	case event.NoResponse, httpwire.StatusServiceUnavailable:
		h.unavailable = true
	case httpwire.StatusTooManyRequests:
		// The store is available but did not execute the request.
	default:
		h.lastContact = max(h.lastContact, sentAt)
		h.unavailable = false
	}
}
