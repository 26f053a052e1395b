package kv

import "lugward/internal/event"

// tokenBucket is a token bucket that holds the tokens of one second. Its level
// may be negative: what was taken beyond it is owed.
type tokenBucket struct {
	rate     float64 // tokens per second
	level    float64
	filledAt event.Time
}

func newTokenBucket(rate float64) tokenBucket { return tokenBucket{rate: rate, level: rate} }

// fill adds the tokens of the time since the last call.
func (b *tokenBucket) fill(now event.Time) {
	if now > b.filledAt {
		b.level = min(b.capacity(), b.level+b.rate*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
}

// canTake reports whether n tokens can be taken without owing any.
func (b *tokenBucket) canTake(now event.Time, n float64) bool {
	b.fill(now)
	return b.level >= n
}

// available returns the number of whole tokens that can be taken without owing
// any.
func (b *tokenBucket) available(now event.Time) int {
	b.fill(now)
	return int(max(b.level, 0))
}

// capacity returns the level of a full bucket: one token at least, as a rate
// below one a second would otherwise never allow anything.
func (b *tokenBucket) capacity() float64 { return max(b.rate, 1) }

// full reports whether the bucket was full when it was last filled.
func (b *tokenBucket) full() bool { return b.level >= b.capacity() }

// take takes n tokens, owing those that are not there.
func (b *tokenBucket) take(now event.Time, n float64) {
	b.fill(now)
	b.level -= n
}
