package kv

import (
	"time"

	"lugward/internal/event"
)

// Rates are numbers of requests and of writes per second.
type Rates struct {
	Requests float64
	Writes   float64
}

// rateLimiter limits this controller to its share of the store's rates and measures
// how much of them it uses.
type rateLimiter struct {
	requests, writes         tokenBucket
	requestMeter, writeMeter rateMeter
}

func newRateLimiter(share Rates) rateLimiter {
	return rateLimiter{requests: newTokenBucket(share.Requests), writes: newTokenBucket(share.Writes)}
}

func (l *rateLimiter) acquireRequest(now event.Time) {
	l.requests.acquire(now, 1)
	l.requestMeter.add(now, 1)
}

func (l *rateLimiter) acquireWrites(now event.Time, n int) {
	l.writes.acquire(now, float64(n))
	l.writeMeter.add(now, float64(n))
}

// TotalRates returns the rates that the store accepts from all controllers together,
// as far as this controller knows.
func (c *Client) TotalRates() Rates { return c.limits.Rates }

// lowerRates applies Limits.NextRates. A 429 is the first sign that they are in force;
// if a burst caused it instead, the lower rates cost little.
func (c *Client) lowerRates() {
	if next := c.limits.NextRates.Requests; next > 0 {
		c.limits.Rates.Requests = min(c.limits.Rates.Requests, next)
	}
	if next := c.limits.NextRates.Writes; next > 0 {
		c.limits.Rates.Writes = min(c.limits.Rates.Writes, next)
	}
}

// SetRateShare changes this controller's share of the rates. It also sets the interval
// of watches and barriers, so that they leave requests for transactions and leases.
func (c *Client) SetRateShare(share Rates) {
	c.rates.requests.rate = share.Requests
	c.rates.writes.rate = share.Writes
	interval := time.Duration(pollKinds / (pollShare * share.Requests) * float64(time.Second))
	c.watch.interval = max(minPollInterval, interval)
	c.barrier.interval = c.watch.interval
}

// Demand returns the rates that this controller could use: its recent use plus the
// queued writes, as if those were sent within a second.
func (c *Client) Demand(now event.Time) Rates {
	queued := 0.0
	for _, txns := range c.txns.waiting {
		for _, txn := range txns {
			queued += float64(txn.ops())
		}
	}
	return Rates{
		Requests: c.rates.requestMeter.rate(now),
		Writes:   c.rates.writeMeter.rate(now) + queued,
	}
}

// QueueDelay is the estimated time in seconds that a new transaction waits in the
// queue.
type QueueDelay struct {
	SecondsAtTotalRate float64 // lower bound: if this controller could use the whole rate of the store
	SecondsAtOwnShare  float64 // at this controller's current share of the rate
}

// QueueDelay estimates the delay of a new transaction of the given priority from the
// number of transactions that are queued before it.
func (c *Client) QueueDelay(priority Priority) QueueDelay {
	ahead := 0
	for _, txns := range c.txns.waiting[:priority+1] {
		ahead += len(txns)
	}
	return QueueDelay{
		SecondsAtTotalRate: float64(ahead) / c.limits.Rates.Writes,
		SecondsAtOwnShare:  float64(ahead) / c.rates.writes.rate,
	}
}
