package election

import (
	"errors"

	"lugward/internal/event"
	"lugward/internal/kv"
)

// term is the term that this controller holds or has held last. It is held while
// both leaseID and modRevision are set. The other fields outlast it: a write or a
// response of it may still be under way.
type term struct {
	leaseID      uint64     // lease of the term key
	modRevision  uint64     // of the term key, as we have written it
	token        uint64     // fencing token
	leasedAt     event.Time // when its lease was granted; the term before had ended by then
	validUntil   event.Time // until then the lease is alive for certain
	renewAt      event.Time
	renewing     bool // a renewal is in flight
	startPending bool // TakeTermStart has not reported it yet
}

// StepDownReason says in the log why a leader has stepped down.
type StepDownReason string

// The reasons for stepping down.
const (
	// ReasonGraceOver means that the store has not answered for longer than the
	// grace, or that another leader was heard of within it.
	ReasonGraceOver      StepDownReason = "grace period over"
	ReasonLeaseExpired   StepDownReason = "lease expired"
	ReasonTermKeyChanged StepDownReason = "term key changed"
	// ReasonNoHeartbeats means that no worker reaches this leader.
	ReasonNoHeartbeats StepDownReason = "no worker heartbeats"
)

// HoldsTerm reports whether this controller holds a term at all, be it only in
// grace.
func (e *Election) HoldsTerm() bool { return e.term.leaseID != 0 && e.term.modRevision != 0 }

// FencingToken returns the number of our present or last term.
func (e *Election) FencingToken() uint64 { return e.term.token }

// TermCompare returns the compare that every write of a leader carries.
func (e *Election) TermCompare() kv.Compare {
	return kv.Compare{Key: termKey, ModRevision: e.term.modRevision}
}

// IsLeader reports whether this controller may act as leader, and so start tasks:
// its lease is alive for certain and its cache shows all that was written before
// the term.
func (e *Election) IsLeader(now event.Time) bool {
	return e.cacheShowsTerm() && now < e.term.validUntil
}

// MayRenewWorkerLeases reports whether heartbeats may be answered with 200, which
// renews the lease of the worker: while this controller is leader and, with
// nothing started, in the grace after that.
func (e *Election) MayRenewWorkerLeases(now event.Time) bool {
	return e.cacheShowsTerm() && e.termLasts(now)
}

// cacheShowsTerm reports whether we hold a term and the cache shows everything up
// to its beginning. A controller that replaces its own term from before a
// restart, or has just read all keys page by page, would otherwise miss what the
// term before wrote last, and place other tasks on the same capacity and quota.
func (e *Election) cacheShowsTerm() bool {
	return e.HoldsTerm() && e.store.Revision() >= e.term.modRevision
}

// termLasts reports whether our term, or its grace, goes on.
func (e *Election) termLasts(now event.Time) bool {
	// Each 200 keeps the tasks of that worker alive. A cancellation that another
	// controller has confirmed may be missing from our cache for no longer than
	// the grace, whatever the lease says.
	if now >= e.store.FreshUntil()+e.cfg.Grace {
		return false
	}
	if now < e.term.validUntil {
		return true
	}
	return now < e.graceEnd() && e.observed.highestToken <= e.term.token
}

// TakeTermStart reports, once for each term, that a term has begun and the cache
// has caught up with it.
func (e *Election) TakeTermStart() bool {
	if !e.term.startPending || (e.HoldsTerm() && !e.cacheShowsTerm()) {
		return false
	}
	e.term.startPending = false
	if e.HoldsTerm() {
		e.log.Info("became leader", "token", e.term.token)
	}
	return e.HoldsTerm()
}

// Resign ends our term early, for another controller to take: this one does not
// campaign for a while.
func (e *Election) Resign(now event.Time, reason StepDownReason, out *event.Effects) {
	if !e.HoldsTerm() {
		return
	}
	e.store.RevokeLease(now, e.term.leaseID, out)
	e.candidacy.notBefore = now + resignPause
	e.stepDown(reason)
}

// stepDown notes that we do not hold a term any more.
func (e *Election) stepDown(reason StepDownReason) {
	e.log.Info("stepped down as leader", "token", e.term.token, "reason", string(reason))
	e.term.leaseID = 0
	e.term.modRevision = 0
}

// keepTerm steps down when the term has run out, and renews its lease when that
// is due.
func (e *Election) keepTerm(now event.Time, out *event.Effects) {
	if !e.termLasts(now) {
		e.stepDown(ReasonGraceOver)
		return
	}
	if !e.term.renewing && now >= e.term.renewAt {
		e.renew(now, out)
	}
}

// renewal is a request to renew the lease of a term.
type renewal struct {
	sentAt event.Time
	token  uint64 // of the term
}

func (e *Election) renew(now event.Time, out *event.Effects) {
	e.term.renewing = true
	r := renewal{sentAt: now, token: e.term.token}
	timeout := e.cfg.TermLease / renewalsPerLease
	e.store.RenewLease(now, e.term.leaseID, timeout, out, func(now event.Time, err error, _ *event.Effects) {
		e.handleRenewal(now, r, err)
	})
}

// handleRenewal takes the result of a renewal. The lease counts from when the
// request was sent, as the response may have been late.
func (e *Election) handleRenewal(now event.Time, r renewal, err error) {
	e.term.renewing = false
	e.log.Debug("term lease renewal", "error", err, "after", now-r.sentAt, "token", r.token)
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
