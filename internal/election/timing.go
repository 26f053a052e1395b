package election

import (
	"time"

	"lugward/internal/event"
)

// Campaigns.
const (
	// campaignStagger is the time between the campaigns of two controllers that
	// see the term free at once.
	campaignStagger = 120 * time.Millisecond
	// resignPause is how long a leader that has resigned does not campaign.
	resignPause = 10 * time.Second
	// campaignInterval is the least time between two campaigns.
	campaignInterval = 300 * time.Millisecond
)

// Requests within the lease of a term.
const (
	// renewalsPerLease: a lease is renewed four times in its duration.
	renewalsPerLease = 4
	// renewalRetriesPerLease: a renewal that failed is repeated after an eighth.
	renewalRetriesPerLease = 8
	// campaignsPerLease: the write of a campaign is not sent after half of it.
	campaignsPerLease = 2
)

// Margins for clocks and delays. Three leases and periods depend on each other:
//
//   - The lease of the term (Config.TermLease). It expires in the store, so a
//     leader relies on it for a little less than its duration.
//   - The lease of a worker (Config.WorkerLease), which each answered heartbeat
//     renews. When it expires, the worker terminates its tasks by itself.
//   - The grace period (Config.Grace), counted from the last renewal of the term's
//     lease. A leader that the store no longer answers goes on answering
//     heartbeats for as long, so that a short outage of the store terminates no
//     tasks. It starts nothing.
//
// Such a leader may not learn of a cancellation that another controller has
// confirmed. The tasks must nevertheless stop in time, which they do when the
// grace and then the worker's lease have passed:
//
//	Grace + WorkerLease + clock drift + graceMargin <= time for a cancellation
const (
	// leaseMarginPercent is the part of the term's lease that is not relied on,
	// for the drift between our clock and the store's.
	leaseMarginPercent = 5
	// clockDriftDivisor: a worker's clock may be slow by 1/1000 against ours.
	clockDriftDivisor = 1000
	// graceMargin is left of the time for a cancellation for the round trip of a
	// heartbeat, clock drift and a late step of this process. If little time is
	// left, half of it is.
	graceMargin = 4 * time.Second
	// terminationMargin is added to the expiry of a worker's lease before its
	// tasks count as terminated.
	terminationMargin = 2 * time.Second
)

// GracePeriod returns the longest grace period that is safe, given the time
// within which the tasks of a cancelled job have to stop, and the lease of a
// worker. It may be 0.
func GracePeriod(cancellation, workerLease time.Duration) time.Duration {
	rest := cancellation - workerLease - workerLease/clockDriftDivisor
	return max(0, rest-min(graceMargin, rest/2))
}

// MaxWorkerLease returns how long a worker's lease can last by our clock.
func (e *Election) MaxWorkerLease() time.Duration {
	return e.cfg.WorkerLease + e.cfg.WorkerLease/clockDriftDivisor
}

// TasksExpireAt returns when the tasks of a machine have terminated for certain,
// if this controller has answered no heartbeat of it since lastAnswer: the lease
// of its worker has expired, counted from that answer or from the end of the
// grace of any leader before us, whichever is later.
func (e *Election) TasksExpireAt(lastAnswer event.Time) event.Time {
	// The lease of the term before had expired when ours was granted, and its
	// grace began with its last renewal, one TermLease earlier.
	earlierGraceEnd := e.term.leasedAt + max(0, e.cfg.Grace-e.cfg.TermLease)
	return max(lastAnswer, earlierGraceEnd) + e.MaxWorkerLease() + terminationMargin
}

// reliableLease returns how long a lease of the term lasts for certain.
func (e *Election) reliableLease() time.Duration {
	return e.cfg.TermLease - e.cfg.TermLease*leaseMarginPercent/100
}

// graceEnd returns the end of our term's grace, which is counted from the last
// renewal, less the margin of the lease.
func (e *Election) graceEnd() event.Time {
	return e.term.validUntil - e.cfg.TermLease + e.cfg.Grace
}
