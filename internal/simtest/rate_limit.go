package simtest

import (
	"time"
)

// rateLimits are how the state service's rates are used.
type rateLimits struct {
	requests, writes leakyBucket
	refusedForRate   int // requests and transactions
}

// stateBurst is how many seconds' worth of requests or writes may come at once.
const stateBurst = 1

// leakyBucket is a rate with bursts.
type leakyBucket struct {
	used      float64
	updatedAt time.Duration
}

// take reports whether so many more are allowed now; a burst is as many as come in that many
// seconds at the rate.
func (bucket *leakyBucket) take(now time.Duration, rate, burstSeconds, count float64) bool {
	bucket.used = max(0, bucket.used-rate*(now-bucket.updatedAt).Seconds())
	bucket.updatedAt = now
	if bucket.used+count > rate*burstSeconds {
		return false
	}
	bucket.used += count
	return true
}
