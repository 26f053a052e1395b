package election

import (
	"time"

	"lugward/internal/event"
)

// From the confirmation of a cancellation on, no controller may give the command to start a task
// of the job, whatever the leader knows. Both sides contribute to this:
//
//   - The leader gives start commands only while it holds a valid lease and its watch cache is no
//     older than MaxStartViewAge (MayStartTasks).
//   - A controller confirms a cancellation only when no start command can be given any more that
//     does not take it into account (StartsInclude): a leader has shown that it knows of the
//     cancellation, or the watch cache of a leader that does not know of it is too old by now.

// MaxStartViewAge is the greatest age of the watch cache at which a leader gives start commands.
// It exceeds the timeout of a lease renewal, so a leader whose requests are slow, but which keeps
// its lease, can still start tasks.
const MaxStartViewAge = 1500 * time.Millisecond

// startDelayMargin is added to the time after which a leader no longer gives start commands
// without knowing of a change. It covers the resolution of timers.
const startDelayMargin = 100 * time.Millisecond

// MayStartTasks reports whether this controller may give start commands now: it is the leader,
// and its watch cache is no older than MaxStartViewAge.
func (e *Election) MayStartTasks(now event.Time) bool {
	return e.IsLeader(now) && now < e.store.FreshUntil()+MaxStartViewAge
}

// RecordLeaderRevision records that the watch cache of a leader was complete up to a revision
// while its lease was valid. Every start command that any controller gives from then on takes all
// changes up to that revision into account: the leader itself knows them, and the watch cache of
// each later leader contains everything that was written before its term.
func (e *Election) RecordLeaderRevision(revision uint64) {
	e.observed.leaderRevision = max(e.observed.leaderRevision, revision)
}

// StartsInclude reports whether every start command that any controller gives from now on takes
// into account a change that this controller's watch cache contains. revision is the revision of
// the change, and seenAt the time at which this controller first saw it.
func (e *Election) StartsInclude(revision uint64, seenAt, now event.Time) bool {
	// While the lease of this controller is valid, no other controller gives start commands.
	return e.IsLeader(now) || revision <= e.observed.leaderRevision || now >= seenAt+e.maxStartDelay(revision)
}

// maxStartDelay returns for how long after a change a leader may give start commands without
// knowing of the change, as measured by the clock of this controller. The leader's term key states
// its limit. A leader of an earlier version has no limit but its lease: if it can neither renew
// the lease nor read changes, it gives no start commands after the lease has expired. The same
// time is assumed while this controller does not know who led at the time of the change.
func (e *Election) maxStartDelay(revision uint64) time.Duration {
	limit := max(e.cfg.TermLease, MaxStartViewAge)
	if e.observed.maxStartViewAge > 0 && e.store.Revision() >= revision {
		limit = e.observed.maxStartViewAge
	}
	return limit + limit/clockDriftDivisor + startDelayMargin
}
