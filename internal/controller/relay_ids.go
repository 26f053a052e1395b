package controller

import (
	"time"

	"lugward/internal/event"
)

// relayIDMargin is added to the time in which a process assigns no relay IDs. It covers the
// resolution of the clocks, and IDs that are ahead of the time of day because several were
// assigned at the same time.
const relayIDMargin = 100 * time.Millisecond

// relayIDs assigns the IDs of the heartbeats that this controller relays. The leader's
// response names a relayed heartbeat by its ID only, and may arrive after a restart of this
// controller. No ID may therefore be equal to one of an earlier process.
//
// An ID is the time of day in Unix ns, or the last ID plus 1 if that is greater. The time of
// day differs from true time by no more than the clock skew of the settings. A process
// assigns no ID until it has run for twice that skew, so its first ID is greater than every
// ID of a process that ended before it started, however short the time between the two.
//
// The version in production numbers its relays from 1, so its IDs are smaller as well.
type relayIDs struct {
	notBefore event.Time // when the first ID may be assigned
	last      uint64
}

// newRelayIDs returns the relay IDs of a process that has just started. clockSkew is the
// greatest difference between the time of day and true time.
func newRelayIDs(clockSkew time.Duration) relayIDs {
	return relayIDs{notBefore: 2*clockSkew + relayIDMargin}
}

// available reports whether an ID may be assigned.
func (r *relayIDs) available(now event.Time) bool { return now >= r.notBefore }

// next assigns an ID. The caller must have checked that IDs are available. unixNano is the
// time of day in Unix ns.
func (r *relayIDs) next(unixNano int64) uint64 {
	r.last = max(uint64(unixNano), r.last+1)
	return r.last
}
