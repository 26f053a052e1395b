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

// rateLimiter is this controller's share of the store's rates, and what it used of it.
type rateLimiter struct {
	requests, writes         tokenBucket
	requestMeter, writeMeter rateMeter
}

func newRateLimiter(share Rates) rateLimiter {
	return rateLimiter{requests: newTokenBucket(share.Requests), writes: newTokenBucket(share.Writes)}
}

func (l *rateLimiter) takeRequest(now event.Time) {
	l.requests.take(now, 1)
	l.requestMeter.add(now, 1)
}

func (l *rateLimiter) takeWrites(now event.Time, n int) {
	l.writes.take(now, float64(n))
	l.writeMeter.add(now, float64(n))
}

// TotalRates returns the rates that the store is known to take of all controllers
// together.
func (c *Client) TotalRates() Rates { return c.limits.Rates }

// lowerRates puts the announced rates into force. A 429 is the first sign of
// them; if it came of a burst instead, the lower rates cost little.
func (c *Client) lowerRates() {
	if next := c.limits.NextRates.Requests; next > 0 {
		c.limits.Rates.Requests = min(c.limits.Rates.Requests, next)
	}
	if next := c.limits.NextRates.Writes; next > 0 {
		c.limits.Rates.Writes = min(c.limits.Rates.Writes, next)
	}
}

// SetRateShare changes this controller's share of the rates. Watches and barriers are
// paced so that they leave requests for transactions and leases.
func (c *Client) SetRateShare(share Rates) {
	c.rates.requests.rate = share.Requests
	c.rates.writes.rate = share.Writes
	interval := time.Duration(pollKinds / (pollShare * share.Requests) * float64(time.Second))
	c.watch.interval = max(minPollInterval, interval)
	c.barrier.interval = c.watch.interval
}

// Demand returns the rates that this controller could use: its recent use, and the
// writes that wait as if they were sent within a second.
func (c *Client) Demand(now event.Time) Rates {
	waiting := 0.0
	for _, txns := range c.txns.waiting {
		for _, txn := range txns {
			waiting += float64(txn.ops())
		}
	}
	return Rates{
		Requests: c.rates.requestMeter.rate(now),
		Writes:   c.rates.writeMeter.rate(now) + waiting,
	}
}

// QueueDelay estimates how long a new transaction waits for its turn, in seconds.
type QueueDelay struct {
	AtTotalRate float64 // at best: if all of the store's rate were this controller's
	AtOwnShare  float64 // at this controller's present share of the rate
}

// QueueDelay estimates the delay of a new transaction of a priority by the number
// of transactions that are queued before it.
func (c *Client) QueueDelay(priority Priority) QueueDelay {
	ahead := 0
	for _, txns := range c.txns.waiting[:priority+1] {
		ahead += len(txns)
	}
	return QueueDelay{
		AtTotalRate: float64(ahead) / c.limits.Rates.Writes,
		AtOwnShare:  float64(ahead) / c.rates.writes.rate,
	}
}
