package autoscaler

import (
	"math"
	"net/http"
	"time"

	"lugward/internal/event"
)

const (
	requestTimeout = 8 * time.Second // for a response of the cloud
	// After an error no request is sent to the cloud for errorPause.
	errorPause = 2 * time.Second
	// Requests are sent at this share of the cloud's rate, as a margin to its limit.
	rateShare = 0.9
	// Requests that were not sent add up to a burst of this many seconds' worth.
	burstSeconds = 2
)

// response is the cloud's answer to a request. The status is 0 where none arrived.
type response struct {
	status int
	body   []byte
}

// responseHandler takes the response to a request.
type responseHandler func(now event.Time, response response)

// pendingRequest is a request whose response has not arrived yet.
type pendingRequest struct {
	method string
	handle responseHandler
}

// cloudClient sends requests to the cloud and limits their rate by a token bucket.
type cloudClient struct {
	addr string
	rps  float64 // requests that the cloud accepts per second

	pending     map[uint64]pendingRequest // by call
	tokens      float64
	refilledAt  event.Time
	pausedUntil event.Time
}

// reset drops all requests: responses to them are ignored from now on.
func (c *cloudClient) reset() {
	c.pending = map[uint64]pendingRequest{}
}

// ready refills the token bucket and reports whether a request may be sent now.
func (c *cloudClient) ready(now event.Time) bool {
	if now < c.pausedUntil {
		return false
	}
	refill := c.rps * rateShare * (now - c.refilledAt).Seconds()
	c.tokens = math.Min(burstSeconds*c.rps, c.tokens+refill)
	c.refilledAt = now
	return c.tokens >= 1
}

// pause keeps requests back after an error.
func (c *cloudClient) pause(now event.Time) {
	c.pausedUntil = now + errorPause
}

// get sends a GET request. The caller has checked that the client is ready.
func (c *cloudClient) get(path string, handle responseHandler, out *event.Effects) {
	c.send(http.MethodGet, path, nil, handle, out)
}

// post sends a POST request with a message of protocol.go. The caller has checked
// that the client is ready.
func (c *cloudClient) post(path string, message any, handle responseHandler, out *event.Effects) {
	c.send(http.MethodPost, path, encode(message), handle, out)
}

func (c *cloudClient) send(method, path string, body []byte, handle responseHandler, out *event.Effects) {
	c.tokens--
	id := out.Call(c.addr, method, path, body, requestTimeout)
	c.pending[id] = pendingRequest{method: method, handle: handle}
}

// handleResult passes the outcome of a call on to the handler of its request. It
// reports whether the call was a request of this client.
func (c *cloudClient) handleResult(now event.Time, result event.CallResult) bool {
	request, ok := c.pending[result.ID]
	if !ok {
		return false
	}
	delete(c.pending, result.ID)
	// A 503 to a request for machines may only mean that there are none.
	unavailable := result.Status == http.StatusServiceUnavailable && request.method == http.MethodGet
	if result.Status == http.StatusTooManyRequests || unavailable {
		c.pause(now)
	}
	request.handle(now, response{status: result.Status, body: result.Body})
	return true
}
