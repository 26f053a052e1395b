package election

import (
	"errors"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
)

// term is the current or last term of this controller. The controller holds it while
// both leaseID and modRevision are set. The other fields keep their values after the
// term has ended, because writes and responses of the term may still be in flight.
type term struct {
	leaseID         uint64     // lease of the term key
	modRevision     uint64     // mod revision of the term key as written by this controller
	token           uint64     // fencing token
	leasedAt        event.Time // when the lease was granted; the previous term had ended by then
	validUntil      event.Time // the lease is guaranteed to be valid before this time
	renewAt         event.Time // when the next renewal is due
	renewalInFlight bool       // a renewal is in flight
	startPending    bool       // ConsumeTermStart has not reported the term yet
}

// StepDownReason is the reason for which a leader has stepped down, as it is logged.
type StepDownReason string

// The reasons for stepping down.
const (
	// ReasonGraceExpired means that the state service has not responded for longer than
	// the grace period, or that a higher fencing token was seen within the grace period.
	ReasonGraceExpired   StepDownReason = "grace period expired"
	ReasonLeaseExpired   StepDownReason = "lease expired"
	ReasonTermKeyChanged StepDownReason = "term key changed"
	// ReasonNoHeartbeats means that the leader received no heartbeats from workers.
	ReasonNoHeartbeats StepDownReason = "no worker heartbeats"
)

// HoldsTerm reports whether this controller holds a term, including its grace period.
func (e *Election) HoldsTerm() bool { return e.term.leaseID != 0 && e.term.modRevision != 0 }

// FencingToken returns the fencing token of the current or last term of this
// controller.
func (e *Election) FencingToken() uint64 { return e.term.token }

// TermCompare returns the compare that every write of a leader must include.
func (e *Election) TermCompare() kv.Compare {
	return kv.Compare{Key: termKey, ModRevision: e.term.modRevision}
}

// IsLeader reports whether this controller may act as leader: its lease is guaranteed to
// be valid and its cache contains everything that was written before the term. To start
// tasks, its cache must also be fresh, see MayStartTasks.
func (e *Election) IsLeader(now event.Time) bool {
	return e.cacheCaughtUp() && now < e.term.validUntil
}

// MayRenewWorkerLeases reports whether this controller may answer heartbeats with
// status 200, which renews the lease of the worker. This is allowed while it is leader
// and during the grace period that follows, in which no tasks are started.
func (e *Election) MayRenewWorkerLeases(now event.Time) bool {
	return e.cacheCaughtUp() && e.withinTermOrGrace(now)
}

// LeaseLeft returns how long the lease of this controller's term is still guaranteed to be
// valid. It is negative in the grace period.
func (e *Election) LeaseLeft(now event.Time) time.Duration { return e.term.validUntil - now }

// cacheCaughtUp reports whether this controller holds a term and its cache contains
// everything up to the beginning of that term. Without this check, a controller that
// replaces its own term from before a restart, or that has just read all keys page by
// page, could miss the last writes of the previous term and place other tasks on the
// same capacity and quota.
func (e *Election) cacheCaughtUp() bool {
	return e.HoldsTerm() && e.store.Revision() >= e.term.modRevision
}

// withinTermOrGrace reports whether now is within the term of this controller or its grace
// period.
func (e *Election) withinTermOrGrace(now event.Time) bool {
	// Each response with status 200 keeps the tasks of that worker running. The cache
	// may lack a cancellation that another controller has confirmed, so it must not be
	// stale for longer than the grace period, even if the lease is valid.
	if now >= e.store.FreshUntil()+e.cfg.Grace {
		return false
	}
	if now < e.term.validUntil {
		return true
	}
	return now < e.graceEnd() && e.observed.highestReportedToken <= e.term.token
}

// ConsumeTermStart reports whether a new term has begun and the cache has caught up with
// it. It returns true once for each term.
func (e *Election) ConsumeTermStart() bool {
	if !e.term.startPending || (e.HoldsTerm() && !e.cacheCaughtUp()) {
		return false
	}
	e.term.startPending = false
	if e.HoldsTerm() {
		e.log.Info("became leader", "token", e.term.token)
	}
	return e.HoldsTerm()
}

// Resign ends the term of this controller early, so that another controller can
// become leader. This controller does not campaign again for resignBackoff.
func (e *Election) Resign(now event.Time, reason StepDownReason, out *event.Effects) {
	if !e.HoldsTerm() {
		return
	}
	e.store.RevokeLease(now, e.term.leaseID, out)
	e.candidacy.notBefore = now + resignBackoff
	e.stepDown(reason)
}

// stepDown ends the term locally: this controller no longer holds it.
func (e *Election) stepDown(reason StepDownReason) {
	e.log.Info("stepped down as leader", "token", e.term.token, "reason", string(reason))
	e.term.leaseID = 0
	e.term.modRevision = 0
}

// maintainTerm steps down if the term and its grace period have ended, and renews the
// lease when a renewal is due.
func (e *Election) maintainTerm(now event.Time, out *event.Effects) {
	if !e.withinTermOrGrace(now) {
		e.stepDown(ReasonGraceExpired)
		return
	}
	if !e.term.renewalInFlight && now >= e.term.renewAt {
		e.renew(now, out)
	}
}

// renewal is a request to renew the lease of a term.
type renewal struct {
	sentAt event.Time
	token  uint64 // fencing token of the term
}

// renew sends a request to renew the lease of the term.
func (e *Election) renew(now event.Time, out *event.Effects) {
	e.term.renewalInFlight = true
	r := renewal{sentAt: now, token: e.term.token}
	timeout := e.cfg.TermLease / renewalsPerLease
	e.store.RenewLease(now, e.term.leaseID, timeout, out, func(now event.Time, err error, _ *event.Effects) {
		e.handleRenewal(now, r, err)
	})
}

// handleRenewal handles the result of a renewal. The duration of the lease is counted
// from when the request was sent, because the response may have been delayed.
func (e *Election) handleRenewal(now event.Time, r renewal, err error) {
	e.term.renewalInFlight = false
	e.log.Debug("term lease renewal finished", "error", err, "after", now-r.sentAt, "token", r.token)
	if r.token != e.term.token || !e.HoldsTerm() {
		return
	}
	switch {
	case err == nil:
		e.term.validUntil = max(e.term.validUntil, r.sentAt+e.reliableLease())
		e.term.renewAt = r.sentAt + e.cfg.TermLease/renewalsPerLease
	case errors.Is(err, kv.ErrLeaseNotFound):
		e.stepDown(ReasonLeaseExpired)
	default:
		e.term.renewAt = max(now, r.sentAt+e.cfg.TermLease/renewalRetriesPerLease)
	}
}
