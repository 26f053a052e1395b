package store

import (
	"math"

	"lugward/internal/event"
)

// bucket is a token bucket with one second's burst.
type bucket struct {
	rate, level float64
	at          event.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, level: rate} }

func (b *bucket) fill(now event.Time) {
	if now > b.at {
		b.level = math.Min(b.most(), b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

func (b *bucket) has(now event.Time, n float64) bool {
	b.fill(now)
	return b.level >= n
}

func (b *bucket) whole(now event.Time) int {
	b.fill(now)
	return int(math.Max(b.level, 0))
}

// most is what the bucket holds when it is full.
func (b *bucket) most() float64 { return math.Max(b.rate, 1) }

func (b *bucket) take(now event.Time, n float64) {
	b.fill(now)
	b.level -= n
}
