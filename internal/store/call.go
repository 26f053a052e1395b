package store

import (
	"time"

	"lugward/internal/event"
)

func (c *Client) call(method, path string, body []byte, timeout time.Duration, now event.Time, out *event.Effects, f func(event.Time, int, []byte, *event.Effects)) {
	c.requests.take(now, 1)
	c.requestMeter.add(now, 1)
	sent := now
	c.calls[out.Call(c.addr, method, path, body, timeout)] = func(now event.Time, status int, body []byte, out *event.Effects) {
		if status != 0 && status != 503 && status != 429 {
			c.contact = max(c.contact, sent)
			c.outage = false
		} else if status != 429 {
			c.outage = true
		} else {
			c.lower()
		}
		f(now, status, body, out)
	}
}

// CallDone takes the outcome of a call; it tells whether it was ours.
func (c *Client) CallDone(now event.Time, d event.CallDone, out *event.Effects) bool {
	f, ok := c.calls[d.ID]
	if !ok {
		return false
	}
	delete(c.calls, d.ID)
	f(now, d.Status, d.Body, out)
	return true
}
