package autoscaler

import (
	"math"
	"net/http"
	"time"

	"lugward/internal/event"
)

const (
	callTimeout = 8 * time.Second // for a response of the cloud
	// After an error nothing is asked of the cloud for this long.
	errorPause = 2 * time.Second
	// Requests are sent at this share of the cloud's rate, as a margin to its limit.
	rateShare = 0.9
	// Requests that were not sent add up to a burst of this many seconds' worth.
	burstSeconds = 2
)

// request is a call to the cloud whose response is awaited.
type request interface {
	// finish takes the response in.
	finish(a *Autoscaler, now event.Time, response response, out *event.Effects)
}

// response is the cloud's answer to a request. The status is 0 where none arrived.
type response struct {
	status int
	body   []byte
}

// pendingCall is a request in flight.
type pendingCall struct {
	method  string
	request request
}

// provisionRetry is a request for machines that is to be repeated.
type provisionRetry struct {
	at      event.Time
	request provisionRequest
}

// cloudClient holds the calls to the cloud and limits their rate by a token bucket.
type cloudClient struct {
	pending     map[uint64]pendingCall // by call
	retries     []provisionRetry
	tokens      float64
	refilledAt  event.Time
	pausedUntil event.Time
}

// reset drops all calls: responses to them are ignored from now on.
func (c *cloudClient) reset() {
	c.pending = map[uint64]pendingCall{}
	c.retries = nil
}

// allowed tells whether another request may be sent now.
func (a *Autoscaler) allowed(now event.Time) bool {
	cloud := &a.cloud
	if now < cloud.pausedUntil {
		return false
	}
	refill := a.cfg.CloudRPS * rateShare * (now - cloud.refilledAt).Seconds()
	cloud.tokens = math.Min(burstSeconds*a.cfg.CloudRPS, cloud.tokens+refill)
	cloud.refilledAt = now
	return cloud.tokens >= 1
}

// call sends a request to the cloud. The caller has checked that it is allowed.
func (a *Autoscaler) call(method, path string, body []byte, request request, out *event.Effects) {
	a.cloud.tokens--
	id := out.Call(a.cfg.CloudAddr, method, path, body, callTimeout)
	a.cloud.pending[id] = pendingCall{method, request}
}

// HandleCallResult takes the outcome of a call; it tells whether the call was the
// autoscaler's.
func (a *Autoscaler) HandleCallResult(now event.Time, done event.CallResult, out *event.Effects) bool {
	call, ok := a.cloud.pending[done.ID]
	if !ok {
		return false
	}
	delete(a.cloud.pending, done.ID)
	// A 503 to a request for machines may only mean that there are none.
	unavailable := done.Status == http.StatusServiceUnavailable && call.method == http.MethodGet
	if done.Status == http.StatusTooManyRequests || unavailable {
		a.cloud.pausedUntil = now + errorPause
	}
	call.request.finish(a, now, response{done.Status, done.Body}, out)
	return true
}

// sendRetries repeats the requests for machines that are due.
func (a *Autoscaler) sendRetries(now event.Time, out *event.Effects) {
	retries := a.cloud.retries
	a.cloud.retries = nil
	for _, retry := range retries {
		if now >= retry.at && a.allowed(now) {
			a.sendProvision(retry.request, out)
		} else {
			a.cloud.retries = append(a.cloud.retries, retry)
		}
	}
}
