package kv

import (
	"errors"
	"time"

	"lugward/internal/event"
)

// ErrNotSynced means that the cache is not complete, for example just after the start.
var ErrNotSynced = errors.New("cache not synced")

// BarrierFunc is called when a read barrier ends. If err is nil, the cache holds
// everything that was committed before Client.Barrier was called. Otherwise some of
// it may be missing: err is ErrNotSynced, ErrCompacted, a *StatusError or a
// *DecodeError.
type BarrierFunc func(now event.Time, err error, out *event.Effects)

// Barrier queues a read barrier. All callers that wait when a barrier request is sent
// share it. They cannot share a request that is already in flight, because the store
// may have answered it before Barrier was called.
func (c *Client) Barrier(done BarrierFunc) {
	c.barrierWaiters = append(c.barrierWaiters, done)
}

// failBarriers ends all waiting barriers with ErrNotSynced while the cache is not complete.
func (c *Client) failBarriers(now event.Time, out *event.Effects) {
	waiters := c.barrierWaiters
	c.barrierWaiters = nil
	for _, done := range waiters {
		done(now, ErrNotSynced, out)
	}
}

// Refresh requests that the cache be read again as soon as possible, unless it is newer
// than maxAge when the request could be sent.
func (c *Client) Refresh(maxAge time.Duration) { c.refreshAge = maxAge }

// sendBarrier requests all changes up to now if a caller waits for a barrier, Refresh was
// called or the cache is stale.
func (c *Client) sendBarrier(now event.Time, out *event.Effects) {
	age := now - c.cache.freshUntil
	if age < c.refreshAge {
		c.refreshAge = 0
	}
	needed := len(c.barrierWaiters) > 0 || c.refreshAge > 0 || age >= c.staleAfter
	if !needed || !c.barrier.due(now) || !c.rates.requests.canAcquire(now, 1) {
		return
	}
	c.refreshAge = 0
	c.barrier.recordSent(now)
	waiters := c.barrierWaiters
	c.barrierWaiters = nil
	c.send(now, barrierRequest(c.cache.revision), pendingBarrier{waiters}, out)
}

// pendingBarrier is a barrier request in flight and the callers that wait for it.
type pendingBarrier struct{ waiters []BarrierFunc }

func (p pendingBarrier) handle(now event.Time, c *Client, r response, out *event.Effects) {
	c.barrier.inFlight = false
	err := c.handleChanges(now, r)
	if err != nil {
		c.barrier.notBefore = now + retryDelay
	}
	for _, done := range p.waiters {
		done(now, err, out)
	}
	c.Tick(now, out)
}
