package election

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
)

// term is the term that this controller holds or has held last. It is held
// while both leaseID and version are set. The other fields outlast it: a write
// or an answer of it may still be under way.
type term struct {
	leaseID            uint64     // lease of the term key
	modRevision        uint64     // of the term key, as we have written it
	token              uint64     // fencing token
	leasedAt           event.Time // when its lease was granted; the term before had ended by then
	validUntil         event.Time // until then the lease is alive for certain
	renewAt            event.Time
	renewing           bool // a renewal is under way
	acquisitionPending bool // Acquired has not reported it yet
}

// HoldsTerm tells whether this node holds a term at all, be it only in grace.
func (l *Election) HoldsTerm() bool { return l.term.leaseID != 0 && l.term.modRevision != 0 }

// FencingToken is the number of our term.
func (l *Election) FencingToken() uint64 { return l.term.token }

// TermCompare is the condition that every write of a leader carries.
func (l *Election) TermCompare() kv.Compare {
	return kv.Compare{Key: TermKey, ModRevision: l.term.modRevision}
}

// IsLeader tells whether tasks may be started: the lease is alive for certain.
func (l *Election) IsLeader(now event.Time) bool {
	return l.cacheShowsTerm() && now < l.term.validUntil
}

// MayRenewWorkerLeases tells whether reports may be answered with 200: within the lease
// and, with nothing started, for the grace after it.
func (l *Election) MayRenewWorkerLeases(now event.Time) bool {
	return l.cacheShowsTerm() && l.termLasts(now)
}

// cacheShowsTerm tells whether we hold a term and the replica shows everything up to
// its beginning. A node that replaces its own term from before a restart, or has
// just read all keys page by page, would otherwise miss what the term before
// wrote last, and place other tasks on the same capacity and quota.
func (l *Election) cacheShowsTerm() bool {
	return l.HoldsTerm() && l.store.Revision() >= l.term.modRevision
}

// termLasts tells whether our term, or its grace, goes on.
func (l *Election) termLasts(now event.Time) bool {
	// Each 200 keeps the tasks of that worker alive. A cancellation that
	// another node has confirmed may be missing from our replica for no longer
	// than the grace, whatever the lease says.
	if now >= l.store.FreshUntil()+l.cfg.Grace {
		return false
	}
	if now < l.term.validUntil {
		return true
	}
	graceEnd := l.term.validUntil - l.cfg.TermLease + l.cfg.Grace
	return now < graceEnd && l.observed.highestToken <= l.term.token
}

// TasksExpireAt is when the tasks of a machine that nobody has answered since
// the given time have terminated for certain: its lease has expired, counted
// from our last answer or from the end of the grace of any leader before us.
func (l *Election) TasksExpireAt(lastAnswer event.Time) event.Time {
	earlierGraceEnd := l.term.leasedAt + max(0, l.cfg.Grace-l.cfg.TermLease)
	return max(lastAnswer, earlierGraceEnd) + l.MaxWorkerLease() + expiryMargin
}

// MaxWorkerLease is how long a worker's lease can last by our clock.
func (l *Election) MaxWorkerLease() time.Duration {
	return l.cfg.WorkerLease + l.cfg.WorkerLease/clockDriftDivisor
}

// TakeTermStart tells, once for each term, that a term has begun and the replica
// has caught up with it.
func (l *Election) TakeTermStart() bool {
	if !l.term.acquisitionPending || (l.HoldsTerm() && !l.cacheShowsTerm()) {
		return false
	}
	l.term.acquisitionPending = false
	if l.HoldsTerm() {
		l.log.Info("became leader", "token", l.term.token)
	}
	return l.HoldsTerm()
}

// Resign ends our term early, for another controller to take: this one does
// not stand for a while. The reason goes to the log.
func (l *Election) Resign(now event.Time, reason StepDownReason, out *event.Effects) {
	if !l.HoldsTerm() {
		return
	}
	l.store.RevokeLease(l.term.leaseID, now, out)
	l.candidacy.notBefore = now + abstainDuration
	l.stepDown(reason)
}

// StepDownReason says in the log why a leader has stepped down.
type StepDownReason string

// The reasons for stepping down.
const (
	ReasonGraceOver      StepDownReason = "grace period over"
	ReasonLeaseExpired   StepDownReason = "lease expired"
	ReasonTermKeyChanged StepDownReason = "term key changed"
	// ReasonNoHeartbeats means that no worker reaches this leader.
	ReasonNoHeartbeats StepDownReason = "no worker heartbeats"
)

// stepDown notes that we do not hold a term any more.
func (l *Election) stepDown(reason StepDownReason) {
	l.log.Info("stepped down as leader", "token", l.term.token, "reason", string(reason))
	l.term.leaseID = 0
	l.term.modRevision = 0
}

// maintain steps down when the term has run out and renews its lease when that
// is due.
func (l *Election) maintain(now event.Time, out *event.Effects) {
	if !l.termLasts(now) {
		l.stepDown(ReasonGraceOver)
		return
	}
	if !l.term.renewing && now >= l.term.renewAt {
		l.renew(now, out)
	}
}

func (l *Election) renew(now event.Time, out *event.Effects) {
	l.term.renewing = true
	r := renewal{sentAt: now, token: l.term.token}
	timeout := l.cfg.TermLease / renewalsPerLease
	l.store.RenewLease(l.term.leaseID, timeout, now, out, func(now event.Time, status int, _ *event.Effects) {
		l.renewed(now, r, status)
	})
}

// renewal is a request to renew the lease of a term.
type renewal struct {
	sentAt event.Time
	token  uint64 // of the term
}

// renewed takes the answer to a renewal. The lease counts from when the
// request was sent, as the answer may have been late.
func (l *Election) renewed(now event.Time, r renewal, status int) {
	l.term.renewing = false
	l.log.Debug("term renewal answered", "status", status, "after", now-r.sentAt, "token", r.token)
	if r.token != l.term.token || !l.HoldsTerm() {
		return
	}
	switch status {
	case httpwire.StatusOK:
		l.term.validUntil = max(l.term.validUntil, r.sentAt+l.reliableLease())
		l.term.renewAt = r.sentAt + l.cfg.TermLease/renewalsPerLease
	case httpwire.StatusNotFound:
		l.stepDown(ReasonLeaseExpired)
	default:
		l.term.renewAt = max(now, r.sentAt+l.cfg.TermLease/renewalRetriesPerLease)
	}
}

// reliableLease is how long a lease of the term lasts for certain.
func (l *Election) reliableLease() time.Duration {
	return l.cfg.TermLease - l.cfg.TermLease*leaseMarginPercent/100
}
