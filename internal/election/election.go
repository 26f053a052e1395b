// Package election decides who acts for the controllers. The term is a counter
// key raised by compare-and-set together with a key held by a lease; its
// number is the fence that workers compare. Every write of a leader requires
// the stamp of the term key, so a deposed leader's writes fail, however late
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
	Label string `json:"l"`
	Fence uint64 `json:"f"`
}

// Config are the settings of this slice.
type Config struct {
	Label string
	Rank  int           // our place among the controllers, to spread candidacies
	Life  time.Duration // of the lease
	Lease time.Duration // of a worker
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
	stagger      = 120 * time.Millisecond
	abstainFor   = 10 * time.Second
	retryPause   = 300 * time.Millisecond
	driftPercent = 5 // of the life that we do not rely on
	proofMargin  = 2 * time.Second
)

// Lead is one controller's view of the term.
type Election struct {
	cfg   Config
	store *store.Client
	log   *slog.Logger

	holder      string // as the replica shows it
	holderFence uint64
	stamp       uint64
	count       uint64
	freeAt      event.Time // when we saw the term free, plus our stagger

	busy      bool
	notBefore event.Time
	tether    uint64 // of the term that we hold, else 0
	fence     uint64
	since     event.Time
	validTo   event.Time
	extendAt  event.Time
	extending bool
	termStamp uint64
	acquired  bool
	highest   uint64 // highest fence that any worker or peer showed
}

// New returns the slice.
func New(cfg Config, s *store.Client, log *slog.Logger) *Election {
	return &Election{cfg: cfg, store: s, log: log, freeAt: -1}
}

// Listen takes a change of the replica.
func (l *Election) Listen(key string, data []byte, stamp uint64) {
	var r termRecord
	if data != nil && json.Unmarshal(data, &r) != nil {
		return
	}
	switch key {
	case TermKey:
		l.holder, l.holderFence, l.stamp = r.Label, r.Fence, stamp
		if data == nil {
			l.holder, l.holderFence, l.stamp = "", 0, 0
		}
		l.freeAt = -1
		if l.tether != 0 && l.termStamp != 0 && l.stamp != l.termStamp {
			l.lose("the term key changed")
		}
	case countKey:
		l.count = r.Fence
	}
}

// Holder is the label of the node that holds the term, "" if none is known.
func (l *Election) Holder() string { return l.holder }

// HolderFence is the number of the term that the replica shows.
func (l *Election) HolderFence() uint64 { return l.holderFence }

// Holds tells whether this node holds a term at all, be it only in grace.
func (l *Election) Holds() bool { return l.tether != 0 && l.termStamp != 0 }

// Fence is the number of our term.
func (l *Election) Fence() uint64 { return l.fence }

// Cond is the condition that every write of a leader carries.
func (l *Election) Cond() store.Cond { return store.Cond{Key: TermKey, Stamp: l.termStamp} }

// Entitled tells whether the lease is surely alive: starts may be ordered.
func (l *Election) Entitled(now event.Time) bool { return l.caughtUp() && now < l.validTo }

// caughtUp tells whether we hold a term and the replica shows everything up to
// its beginning. A node that replaces its own term of before a restart, or that
// has just read all keys page by page, would else miss what the term before had
// written last, and give its room and its team's limit away once more.
func (l *Election) caughtUp() bool { return l.Holds() && l.store.Epoch() >= l.termStamp }

// MayAnswer tells whether reports may be answered with 200: while entitled
// and, with nothing started, for the grace after that.
func (l *Election) MayAnswer(now event.Time) bool {
	// A cancellation that another node told may be missing from our replica
	// for no longer than the grace, whatever the lease says: every 200 keeps
	// the tasks of that worker alive.
	return l.caughtUp() && l.lasts(now)
}

// lasts tells whether our term, or its grace, goes on.
func (l *Election) lasts(now event.Time) bool {
	if now >= l.store.Fresh()+l.cfg.Grace {
		return false
	}
	return now < l.validTo || (now < l.validTo-l.cfg.Life+l.cfg.Grace && l.highest <= l.fence)
}

// SilentProof is when the tasks on a machine are surely gone that nobody has
// answered since the given time: its own lease has run out, counted from our
// last answer or from the end of the grace of whoever held the term before.
func (l *Election) SilentProof(lastAnswer event.Time) event.Time {
	before := l.since + max(0, l.cfg.Grace-l.cfg.Life)
	return max(lastAnswer, before) + l.Lease() + proofMargin
}

// Lease is a worker's lease, with the drift of its clock.
func (l *Election) Lease() time.Duration { return l.cfg.Lease + l.cfg.Lease/1000 }

// SawFence notes a fence shown by a worker or another controller.
func (l *Election) SawFence(f uint64) { l.highest = max(l.highest, f) }

// Yield gives the term up for others to take.
func (l *Election) Yield(now event.Time, out *event.Effects, why string) {
	if !l.Holds() {
		return
	}
	l.store.Drop(l.tether, now, out)
	l.notBefore = now + abstainFor
	l.lose(why)
}

func (l *Election) lose(why string) {
	l.log.Info("term lost", "fence", l.fence, "why", why)
	l.tether, l.termStamp = 0, 0
}

// Tick renews or stands for election.
func (l *Election) Tick(now event.Time, out *event.Effects) {
	if l.Holds() {
		if !l.lasts(now) {
			l.lose("grace is over")
			return
		}
		if !l.extending && now >= l.extendAt {
			l.extend(now, out)
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
	if l.freeAt < 0 {
		l.freeAt = now + time.Duration(l.cfg.Rank)*stagger
	}
	if now >= l.freeAt {
		l.stand(now, out)
	}
}

func (l *Election) stand(now event.Time, out *event.Effects) {
	l.busy = true
	fail := func(now event.Time) {
		l.busy = false
		l.notBefore = max(l.notBefore, now+retryPause)
	}
	asked := now
	l.store.Lease(l.cfg.Life, now, out, func(now event.Time, tether uint64, out *event.Effects) {
		if tether == 0 {
			fail(now)
			return
		}
		if l.holder != "" && l.holder != l.cfg.Label {
			l.store.Drop(tether, now, out)
			fail(now)
			return
		}
		fence := max(l.count, l.holderFence, l.highest) + 1
		rec, _ := json.Marshal(termRecord{Label: l.cfg.Label, Fence: fence})
		l.store.Submit(&store.Intent{Priority: store.Term,
			Conds:  []store.Cond{{Key: TermKey, Stamp: l.stamp}, {Key: countKey, Stamp: l.store.Stamp(countKey)}},
			Writes: []store.Write{{Key: TermKey, Data: rec, Tether: tether}, {Key: countKey, Data: rec}},
			Done: func(r store.Result) {
				l.busy = false
				if r.Outcome != store.OK {
					// An unknown outcome leaves a term that nobody holds; it
					// ends with its lease.
					l.notBefore = max(l.notBefore, r.Now+retryPause)
					return
				}
				l.tether, l.termStamp, l.fence = tether, r.Epoch, fence
				l.validTo = asked + l.life()
				l.extendAt = now
				// The term was seen free before the lease was granted.
				l.acquired, l.since = true, now
				// The read that shows the replica all that came before.
				l.store.Barrier(func(event.Time, bool, *event.Effects) {})
			}}, now+l.cfg.Life/2)
	})
}

// Acquired tells once that a term has begun.
func (l *Election) Acquired() bool {
	if !l.acquired || (l.Holds() && !l.caughtUp()) {
		return false
	}
	l.acquired = false
	if l.Holds() {
		l.log.Info("term begun", "fence", l.fence)
	}
	return l.Holds()
}

func (l *Election) life() time.Duration { return l.cfg.Life - l.cfg.Life*driftPercent/100 }

func (l *Election) extend(now event.Time, out *event.Effects) {
	l.extending = true
	sent, fence := now, l.fence
	l.store.Extend(l.tether, l.cfg.Life/4, now, out, func(now event.Time, status int, _ *event.Effects) {
		l.extending = false
		l.log.Debug("term renewal answered", "status", status, "after", now-sent, "fence", fence)
		if fence != l.fence || !l.Holds() {
			return
		}
		switch status {
		case 200:
			l.validTo = max(l.validTo, sent+l.life())
			l.extendAt = sent + l.cfg.Life/4
		case 404:
			l.lose("the lease ended")
		default:
			l.extendAt = max(now, sent+l.cfg.Life/8)
		}
	})
}
