// Package election decides who acts for the controllers. The term is a counter
// key raised by compare-and-set together with a key held by a lease; its
// number is the fencing token that workers compare. Every write of a leader requires
// the version of the term key, so a deposed leader's writes fail, however late
// they arrive.
package election

import (
	"encoding/json"
	"log/slog"
	"time"

	"lugward/internal/event"
	"lugward/internal/store"
)

// Keys of this slice.
const (
	TermKey  = "t/lead"
	countKey = "t/count"
	Kind     = "t"
)

type termRecord struct {
	Label        string `json:"l"`
	FencingToken uint64 `json:"f"`
}

// Config are the settings of this slice.
type Config struct {
	Label       string
	Position    int           // our place among the controllers, to spread candidacies
	TermLease   time.Duration // of the lease
	WorkerLease time.Duration // of a worker
	// Grace is how long a leader without the state service goes on answering
	// reports. With the lease of a worker that heard it last it must stay
	// below the time within which a cancelled job has to be gone.
	Grace time.Duration
}

// GraceFor derives the grace from the workers' settings.
func GraceFor(cancel, lease time.Duration) time.Duration {
	const margin = 4 * time.Second // a report's round trip, clock drift, a late step
	rest := cancel - lease - lease/1000
	return max(0, rest-min(margin, rest/2))
}

const (
	stagger         = 120 * time.Millisecond
	abstainDuration = 10 * time.Second
	retryPause      = 300 * time.Millisecond
	driftPercent    = 5 // of the life that we do not rely on
	proofMargin     = 2 * time.Second
)

// Election is one controller's view of the term.
type Election struct {
	cfg   Config
	store *store.Client
	log   *slog.Logger

	holder      string // as the replica shows it
	holderToken uint64
	version     uint64
	count       uint64
	campaignAt  event.Time // when we saw the term free, plus our stagger

	busy        bool
	notBefore   event.Time
	leaseID     uint64 // of the term that we hold, else 0
	token       uint64
	since       event.Time
	validUntil  event.Time
	renewAt     event.Time
	renewing    bool
	termVersion uint64
	acquired    bool
	highest     uint64 // highest fencing token that any worker or peer showed
}

// New returns the slice.
func New(cfg Config, s *store.Client, log *slog.Logger) *Election {
	return &Election{cfg: cfg, store: s, log: log, campaignAt: -1}
}

// Listen takes a change of the replica.
func (l *Election) Listen(key string, data []byte, version uint64) {
	var r termRecord
	if data != nil && json.Unmarshal(data, &r) != nil {
		return
	}
	switch key {
	case TermKey:
		l.holder, l.holderToken, l.version = r.Label, r.FencingToken, version
		if data == nil {
			l.holder, l.holderToken, l.version = "", 0, 0
		}
		l.campaignAt = -1
		if l.leaseID != 0 && l.termVersion != 0 && l.version != l.termVersion {
			l.stepDown("the term key changed")
		}
	case countKey:
		l.count = r.FencingToken
	}
}

// Holder is the label of the node that holds the term, "" if none is known.
func (l *Election) Holder() string { return l.holder }

// HolderToken is the number of the term that the replica shows.
func (l *Election) HolderToken() uint64 { return l.holderToken }

// Holds tells whether this node holds a term at all, be it only in grace.
func (l *Election) Holds() bool { return l.leaseID != 0 && l.termVersion != 0 }

// FencingToken is the number of our term.
func (l *Election) FencingToken() uint64 { return l.token }

// Condition is the condition that every write of a leader carries.
func (l *Election) Condition() store.Condition {
	return store.Condition{Key: TermKey, Version: l.termVersion}
}

// MayStart tells whether the lease is surely alive: starts may be ordered.
func (l *Election) MayStart(now event.Time) bool { return l.caughtUp() && now < l.validUntil }

// caughtUp tells whether we hold a term and the replica shows everything up to
// its beginning. A node that replaces its own term of before a restart, or that
// has just read all keys page by page, would else miss what the term before had
// written last, and give its capacity and its team's limit away once more.
func (l *Election) caughtUp() bool { return l.Holds() && l.store.Revision() >= l.termVersion }

// MayAnswer tells whether reports may be answered with 200: while entitled
// and, with nothing started, for the grace after that.
func (l *Election) MayAnswer(now event.Time) bool {
	// A cancellation that another node told may be missing from our replica
	// for no longer than the grace, whatever the lease says: every 200 keeps
	// the tasks of that worker alive.
	return l.caughtUp() && l.termLasts(now)
}

// termLasts tells whether our term, or its grace, goes on.
func (l *Election) termLasts(now event.Time) bool {
	if now >= l.store.Fresh()+l.cfg.Grace {
		return false
	}
	return now < l.validUntil || (now < l.validUntil-l.cfg.TermLease+l.cfg.Grace && l.highest <= l.token)
}

// TasksExpireAt is when the tasks on a machine are surely terminated that nobody has
// answered since the given time: its own lease has run out, counted from our
// last answer or from the end of the grace of whoever held the term before.
func (l *Election) TasksExpireAt(lastAnswer event.Time) event.Time {
	before := l.since + max(0, l.cfg.Grace-l.cfg.TermLease)
	return max(lastAnswer, before) + l.WorkerLease() + proofMargin
}

// WorkerLease is a worker's lease, with the drift of its clock.
func (l *Election) WorkerLease() time.Duration { return l.cfg.WorkerLease + l.cfg.WorkerLease/1000 }

// ObserveToken notes a fencing token shown by a worker or another controller.
func (l *Election) ObserveToken(f uint64) { l.highest = max(l.highest, f) }

// Resign gives the term up for others to take.
func (l *Election) Resign(now event.Time, out *event.Effects, why string) {
	if !l.Holds() {
		return
	}
	l.store.Drop(l.leaseID, now, out)
	l.notBefore = now + abstainDuration
	l.stepDown(why)
}

func (l *Election) stepDown(why string) {
	l.log.Info("term lost", "token", l.token, "why", why)
	l.leaseID, l.termVersion = 0, 0
}

// Tick renews or stands for election.
func (l *Election) Tick(now event.Time, out *event.Effects) {
	if l.Holds() {
		if !l.termLasts(now) {
			l.stepDown("grace is over")
			return
		}
		if !l.renewing && now >= l.renewAt {
			l.renew(now, out)
		}
		return
	}
	if l.busy || !l.store.Synced() || now < l.notBefore {
		return
	}
	// A term key with our own label is left from before a restart: that
	// process is gone, so it can be replaced at once.
	if l.holder != "" && l.holder != l.cfg.Label {
		return
	}
	if l.campaignAt < 0 {
		l.campaignAt = now + time.Duration(l.cfg.Position)*stagger
	}
	if now >= l.campaignAt {
		l.campaign(now, out)
	}
}

func (l *Election) campaign(now event.Time, out *event.Effects) {
	l.busy = true
	fail := func(now event.Time) {
		l.busy = false
		l.notBefore = max(l.notBefore, now+retryPause)
	}
	asked := now
	l.store.Lease(l.cfg.TermLease, now, out, func(now event.Time, leaseID uint64, out *event.Effects) {
		if leaseID == 0 {
			fail(now)
			return
		}
		if l.holder != "" && l.holder != l.cfg.Label {
			l.store.Drop(leaseID, now, out)
			fail(now)
			return
		}
		token := max(l.count, l.holderToken, l.highest) + 1
		rec, _ := json.Marshal(termRecord{Label: l.cfg.Label, FencingToken: token})
		l.store.Submit(&store.Intent{Priority: store.Term,
			Conditions: []store.Condition{{Key: TermKey, Version: l.version}, {Key: countKey, Version: l.store.Version(countKey)}},
			Writes:     []store.Write{{Key: TermKey, Data: rec, LeaseID: leaseID}, {Key: countKey, Data: rec}},
			Done: func(r store.Result) {
				l.busy = false
				if r.Outcome != store.OK {
					// An unknown outcome leaves a term that nobody holds; it
					// ends with its lease.
					l.notBefore = max(l.notBefore, r.Now+retryPause)
					return
				}
				l.leaseID, l.termVersion, l.token = leaseID, r.Revision, token
				l.validUntil = asked + l.termLease()
				l.renewAt = now
				// The term was seen free before the lease was granted.
				l.acquired, l.since = true, now
				// The read that shows the replica all that came before.
				l.store.Barrier(func(event.Time, bool, *event.Effects) {})
			}}, now+l.cfg.TermLease/2)
	})
}

// Acquired tells once that a term has begun.
func (l *Election) Acquired() bool {
	if !l.acquired || (l.Holds() && !l.caughtUp()) {
		return false
	}
	l.acquired = false
	if l.Holds() {
		l.log.Info("term begun", "token", l.token)
	}
	return l.Holds()
}

func (l *Election) termLease() time.Duration {
	return l.cfg.TermLease - l.cfg.TermLease*driftPercent/100
}

func (l *Election) renew(now event.Time, out *event.Effects) {
	l.renewing = true
	sent, token := now, l.token
	l.store.Extend(l.leaseID, l.cfg.TermLease/4, now, out, func(now event.Time, status int, _ *event.Effects) {
		l.renewing = false
		l.log.Debug("term renewal answered", "status", status, "after", now-sent, "token", token)
		if token != l.token || !l.Holds() {
			return
		}
		switch status {
		case 200:
			l.validUntil = max(l.validUntil, sent+l.termLease())
			l.renewAt = sent + l.cfg.TermLease/4
		case 404:
			l.stepDown("the lease ended")
		default:
			l.renewAt = max(now, sent+l.cfg.TermLease/8)
		}
	})
}
