package kv

import "lugward/internal/event"

// BarrierFunc is called when a read barrier ends. ok means that the replica
// holds everything that was committed before the barrier was asked for; else
// the service did not answer.
type BarrierFunc func(now event.Time, ok bool, out *event.Effects)

// Barrier queues a read barrier. All that wait when a barrier is sent share it;
// a request sent earlier does not count, as it may have been answered before
// this call.
func (c *Client) Barrier(done BarrierFunc) {
	c.barrierQueue = append(c.barrierQueue, done)
}

// failBarriers ends all waiting barriers while there is no replica to answer from.
func (c *Client) failBarriers(now event.Time, out *event.Effects) {
	waiting := c.barrierQueue
	c.barrierQueue = nil
	for _, done := range waiting {
		done(now, false, out)
	}
}

// sendBarrier asks for all changes up to now, for those that wait or because
// the replica has not been refreshed for long.
func (c *Client) sendBarrier(now event.Time, out *event.Effects) {
	stale := now-c.cache.fresh >= c.limits.StaleAfter
	if !c.barrier.due(now) || (len(c.barrierQueue) == 0 && !stale) || !c.rates.requests.has(now, 1) {
		return
	}
	c.barrier.begin(now)
	waiting := c.barrierQueue
	c.barrierQueue = nil
	path := c.followPath(0)
	c.send(call{method: "GET", path: path, timeout: callTimeout}, barrierRequest{waiting}, now, out)
}

// barrierRequest is the pending barrier and those that wait for it.
type barrierRequest struct{ waiting []BarrierFunc }

func (b barrierRequest) answered(c *Client, now event.Time, r response, out *event.Effects) {
	c.barrier.open = false
	ok := c.takeChanges(now, r)
	if !ok {
		c.barrier.notBefore = now + retryPause
	}
	for _, done := range b.waiting {
		done(now, ok, out)
	}
	c.Tick(now, out)
}
