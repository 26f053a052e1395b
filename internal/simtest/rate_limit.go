package simtest

import (
	"time"
)

// rateLimits holds the rate limiters of the state service.
type rateLimits struct {
	requests, writes leakyBucket
	rateLimitedCount int // requests and transactions rejected by the rate limits
}

// stateBurstSeconds is the burst of the state service's rate limits, in seconds at the full rate.
const stateBurstSeconds = 1

// leakyBucket is a rate limiter that allows bursts.
type leakyBucket struct {
	used      float64
	updatedAt time.Duration
}

// acquire acquires count units and reports whether the limit allows them now. The rate is in
// units per second. The burst size is the number of units of burstSeconds at this rate.
func (bucket *leakyBucket) acquire(now time.Duration, rate, burstSeconds, count float64) bool {
	bucket.used = max(0, bucket.used-rate*(now-bucket.updatedAt).Seconds())
	bucket.updatedAt = now
	if bucket.used+count > rate*burstSeconds {
		return false
	}
	bucket.used += count
	return true
}
