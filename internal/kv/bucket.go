package kv

import (
	"math"

	"lugward/internal/event"
)

// bucket is a token bucket that holds the tokens of one second. Its level may
// be negative: what was taken beyond it is owed.
type bucket struct {
	rate    float64 // tokens per second
	level   float64
	updated event.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, level: rate} }

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now event.Time) {
	if now > b.updated {
		b.level = math.Min(b.capacity(), b.level+b.rate*(now-b.updated).Seconds())
		b.updated = now
	}
}

// has reports whether n tokens can be taken without owing any.
func (b *bucket) has(now event.Time, n float64) bool {
	b.fill(now)
	return b.level >= n
}

// whole is the number of whole tokens that can be taken without owing any.
func (b *bucket) whole(now event.Time) int {
	b.fill(now)
	return int(math.Max(b.level, 0))
}

// capacity is the level of a full bucket: one token at least, else a rate
// below one a second would never allow anything.
func (b *bucket) capacity() float64 { return math.Max(b.rate, 1) }

// full reports whether the bucket was full when it was last filled.
func (b *bucket) full() bool { return b.level >= b.capacity() }

// take takes n tokens, owing those that are not there.
func (b *bucket) take(now event.Time, n float64) {
	b.fill(now)
	b.level -= n
}

// rateLimiter is this node's part of the service's rates, and what it used of them.
type rateLimiter struct {
	requests, writes         bucket
	requestMeter, writeMeter meter
}

func newRateLimiter(total Rates) rateLimiter {
	return rateLimiter{requests: newBucket(total.Requests), writes: newBucket(total.Writes)}
}

func (r *rateLimiter) takeRequest(now event.Time) {
	r.requests.take(now, 1)
	r.requestMeter.add(now, 1)
}

func (r *rateLimiter) takeWrites(now event.Time, n int) {
	r.writes.take(now, float64(n))
	r.writeMeter.add(now, float64(n))
}
