package store

import (
	"fmt"

	"lugward/internal/event"
)

// Barrier calls f once the replica holds everything that was committed before
// this call. ok is false when the service does not answer.
func (c *Client) Barrier(f func(now event.Time, ok bool, out *event.Effects)) {
	c.barriers = append(c.barriers, f)
}

func (c *Client) failBarriers(now event.Time, out *event.Effects) {
	list := c.barriers
	c.barriers = nil
	for _, f := range list {
		f(now, false, out)
	}
}

func (c *Client) sendBarrier(now event.Time, out *event.Effects) {
	if c.barrierOpen || (len(c.barriers) == 0 && now-c.fresh < c.limits.StaleAfter) || now < c.barrierNext || !c.requests.has(now, 1) {
		return
	}
	list, sent := c.barriers, now
	c.barriers, c.barrierOpen, c.barrierNext = nil, true, now+c.barrierEvery
	path := fmt.Sprintf("/follow?starts=&from=%d&wait_ms=0", c.revision)
	c.call("GET", path, nil, callTimeout, now, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		c.barrierOpen = false
		ok := c.follow(sent, now, status, body)
		if !ok {
			c.barrierNext = now + refusedPause
		}
		for _, f := range list {
			f(now, ok, out)
		}
		c.Tick(now, out)
	})
}
