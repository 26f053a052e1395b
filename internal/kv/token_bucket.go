package kv

import "lugward/internal/event"

// tokenBucket is a token bucket that holds the tokens of one second. Its level may be
// negative, because acquire does not wait for tokens.
type tokenBucket struct {
	rate       float64 // tokens per second
	level      float64
	refilledAt event.Time
}

func newTokenBucket(rate float64) tokenBucket { return tokenBucket{rate: rate, level: rate} }

// refill adds the tokens for the time since the last call.
func (b *tokenBucket) refill(now event.Time) {
	if now > b.refilledAt {
		b.level = min(b.capacity(), b.level+b.rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// canAcquire reports whether the bucket holds n tokens.
func (b *tokenBucket) canAcquire(now event.Time, n float64) bool {
	b.refill(now)
	return b.level >= n
}

// available returns the number of whole tokens in the bucket, at least 0.
func (b *tokenBucket) available(now event.Time) int {
	b.refill(now)
	return int(max(b.level, 0))
}

// capacity returns the level of a full bucket. It is at least one token, because a
// bucket for a rate below one per second would otherwise never hold a whole token.
func (b *tokenBucket) capacity() float64 { return max(b.rate, 1) }

// full reports whether the bucket was full at the last refill.
func (b *tokenBucket) full() bool { return b.level >= b.capacity() }

// acquire removes n tokens. If the bucket holds fewer, its level becomes negative.
func (b *tokenBucket) acquire(now event.Time, n float64) {
	b.refill(now)
	b.level -= n
}
