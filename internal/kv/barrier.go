package kv

import (
	"errors"

	"lugward/internal/event"
)

// ErrNotSynced means that the cache is not complete, as after the start.
var ErrNotSynced = errors.New("cache not synced")

// BarrierFunc is called when a read barrier ends. If err is nil, the cache holds
// everything that was committed before the barrier was asked for. Otherwise it
// may lack some of it: err is ErrNotSynced, ErrCompacted, a *StatusError or a
// *DecodeError.
type BarrierFunc func(now event.Time, err error, out *event.Effects)

// Barrier queues a read barrier. All that wait when a barrier is sent share it; a
// request that was sent earlier does not count, as the store may have answered it
// before this call.
func (c *Client) Barrier(done BarrierFunc) {
	c.barrierWaiters = append(c.barrierWaiters, done)
}

// failBarriers ends all waiting barriers while there is no cache to answer from.
func (c *Client) failBarriers(now event.Time, out *event.Effects) {
	waiters := c.barrierWaiters
	c.barrierWaiters = nil
	for _, done := range waiters {
		done(now, ErrNotSynced, out)
	}
}

// sendBarrier asks for all changes up to now, for those that wait or because the
// cache has not been refreshed for long.
func (c *Client) sendBarrier(now event.Time, out *event.Effects) {
	stale := now-c.cache.freshUntil >= c.staleAfter
	if !c.barrier.due(now) || (len(c.barrierWaiters) == 0 && !stale) || !c.rates.requests.canTake(now, 1) {
		return
	}
	c.barrier.begin(now)
	waiters := c.barrierWaiters
	c.barrierWaiters = nil
	c.send(now, barrierRequest(c.cache.revision), pendingBarrier{waiters}, out)
}

// pendingBarrier is the barrier in flight and those that wait for it.
type pendingBarrier struct{ waiters []BarrierFunc }

func (p pendingBarrier) handle(now event.Time, c *Client, r response, out *event.Effects) {
	c.barrier.inFlight = false
	err := c.takeChanges(now, r)
	if err != nil {
		c.barrier.notBefore = now + retryPause
	}
	for _, done := range p.waiters {
		done(now, err, out)
	}
	c.Tick(now, out)
}
