package election

import (
	"time"

	"lugward/internal/event"
)

// Campaigns.
const (
	// campaignStagger is the delay between the campaigns of two controllers that
	// observe a free term at the same time.
	campaignStagger = 120 * time.Millisecond
	// resignBackoff is how long a leader does not campaign after it has resigned.
	resignBackoff = 10 * time.Second
	// campaignRetryDelay is the delay between a failed campaign and the next one.
	campaignRetryDelay = 300 * time.Millisecond
)

// Requests within the lease of a term.
const (
	// renewalsPerLease is the number of times that a lease is renewed within its
	// duration. It also determines the timeout of a renewal.
	renewalsPerLease = 4
	// renewalRetriesPerLease determines the retry of a failed renewal: it is sent one
	// eighth of the lease after the failed request.
	renewalRetriesPerLease = 8
	// campaignsPerLease determines the deadline for a campaign's transaction: it is not
	// sent once half of the lease has passed.
	campaignsPerLease = 2
)

// Safety margins for clock drift and delays. Three durations depend on each other:
//
//   - The lease of the term (Config.TermLease). It expires by the clock of the state
//     service, so a leader relies on it for slightly less than its duration.
//   - The lease of a worker (Config.WorkerLease). Each answered heartbeat renews it.
//     When it expires, the worker terminates its tasks on its own.
//   - The grace period (Config.Grace), counted from the last renewal of the term
//     lease. A leader that cannot reach the state service keeps answering heartbeats
//     during the grace period, so that a short outage of the service does not
//     terminate any tasks. It does not start tasks in this period.
//
// A leader in its grace period may be unaware of a cancellation that another controller
// has confirmed. The tasks must still stop in time. They stop at the latest when the
// grace period and then the worker's lease have passed:
//
//	Grace + WorkerLease + clock drift + graceMargin <= time for a cancellation
const (
	// leaseMarginPercent is the part of the term lease that a leader does not rely on.
	// It allows for drift between the clocks of the controller and the state service.
	leaseMarginPercent = 5
	// clockDriftDivisor is the inverse of the assumed clock drift: a worker's clock may
	// be slower than the controller's by 1/1000.
	clockDriftDivisor = 1000
	// graceMargin is reserved within the time for a cancellation for the round trip of
	// a heartbeat, clock drift and a delay in this process. If less than twice
	// this margin remains, half of the remaining time is reserved.
	graceMargin = 4 * time.Second
	// terminationMargin is how long after the expiry of a worker's lease its tasks are
	// considered terminated.
	terminationMargin = 2 * time.Second
)

// GracePeriod returns the longest safe grace period, given the time within which the
// tasks of a cancelled job must stop and the lease of a worker. It may be zero.
func GracePeriod(cancellation, workerLease time.Duration) time.Duration {
	remaining := cancellation - workerLease - workerLease/clockDriftDivisor
	return max(0, remaining-min(graceMargin, remaining/2))
}

// MaxWorkerLease returns the longest duration of a worker's lease as measured by the
// clock of this controller.
func (e *Election) MaxWorkerLease() time.Duration {
	return e.cfg.WorkerLease + e.cfg.WorkerLease/clockDriftDivisor
}

// TasksExpireAt returns the time from which the tasks of a machine are guaranteed to
// have terminated, provided that this controller has answered no heartbeat of the
// machine since lastResponse. The lease of its worker has then expired. It is counted
// from lastResponse or from the end of the grace period of any previous leader,
// whichever is later.
func (e *Election) TasksExpireAt(lastResponse event.Time) event.Time {
	// The lease of the previous term had expired when the lease of this term was
	// granted. The grace period of the previous term began with its last renewal, one
	// TermLease earlier.
	previousGraceEnd := e.term.leasedAt + max(0, e.cfg.Grace-e.cfg.TermLease)
	return max(lastResponse, previousGraceEnd) + e.MaxWorkerLease() + terminationMargin
}

// reliableLease returns the duration for which a lease of the term is guaranteed to be
// valid.
func (e *Election) reliableLease() time.Duration {
	return e.cfg.TermLease - e.cfg.TermLease*leaseMarginPercent/100
}

// graceEnd returns the end of the grace period of the current term. It is counted from
// the last renewal and shortened by the safety margin of the lease.
func (e *Election) graceEnd() event.Time {
	return e.term.validUntil - e.cfg.TermLease + e.cfg.Grace
}
