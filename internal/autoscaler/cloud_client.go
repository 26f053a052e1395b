package autoscaler

import (
	"math"
	"net/http"
	"time"

	"lugward/internal/event"
)

const (
	requestTimeout = 8 * time.Second
	// errorPause is the time without requests to the cloud after an error.
	errorPause = 2 * time.Second
	// rateShare is the refill rate of the token bucket as a share of the cloud's rate
	// limit. The rest is a safety margin.
	rateShare = 0.9
	// burstSeconds is the size of the token bucket, in seconds at the cloud's rate
	// limit.
	burstSeconds = 2
)

// response is the cloud's response to a request. The status is 0 if no response arrived.
type response struct {
	status int
	body   []byte
}

// responseHandler handles the response to a request.
type responseHandler func(now event.Time, response response)

// pendingRequest is a request that is waiting for its response.
type pendingRequest struct {
	method string
	handle responseHandler
}

// cloudClient sends requests to the cloud API and limits their rate with a token bucket.
type cloudClient struct {
	addr string
	rps  float64 // requests per second that the cloud accepts

	pending     map[uint64]pendingRequest // by call ID
	tokens      float64
	refilledAt  event.Time
	pausedUntil event.Time
}

// reset drops all pending requests. Their responses will be ignored.
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

// pause stops requests for errorPause after an error.
func (c *cloudClient) pause(now event.Time) {
	c.pausedUntil = now + errorPause
}

// get sends a GET request. The caller must have checked that the client is ready.
func (c *cloudClient) get(path string, handle responseHandler, out *event.Effects) {
	c.send(http.MethodGet, path, nil, handle, out)
}

// post sends a POST request whose body is one of the message types in protocol.go. The
// caller must have checked that the client is ready.
func (c *cloudClient) post(path string, message any, handle responseHandler, out *event.Effects) {
	c.send(http.MethodPost, path, encode(message), handle, out)
}

func (c *cloudClient) send(method, path string, body []byte, handle responseHandler, out *event.Effects) {
	c.tokens--
	id := out.Call(c.addr, method, path, body, requestTimeout)
	c.pending[id] = pendingRequest{method: method, handle: handle}
}

// handleResult passes the outcome of a call to the handler of its request. It reports
// whether the call was a pending request of this client.
func (c *cloudClient) handleResult(now event.Time, result event.CallResult) bool {
	request, ok := c.pending[result.ID]
	if !ok {
		return false
	}
	delete(c.pending, result.ID)
	// The cloud also answers a provisioning request with 503 when it has no capacity, so
	// only a GET with 503 shows that the service is unavailable.
	unavailable := result.Status == http.StatusServiceUnavailable && request.method == http.MethodGet
	if result.Status == http.StatusTooManyRequests || unavailable {
		c.pause(now)
	}
	request.handle(now, response{status: result.Status, body: result.Body})
	return true
}
