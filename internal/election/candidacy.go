package election

import (
	"encoding/json"

	"lugward/internal/event"
	"lugward/internal/store"
)

// notScheduled is the campaign time of a controller that has not seen the term
// free.
const notScheduled event.Time = -1

// candidacy is this controller's attempt to take the term.
type candidacy struct {
	campaignAt event.Time // when the term was seen free, plus our stagger, or notScheduled
	notBefore  event.Time // no attempt before this time
	inFlight   bool
}

// campaign is one attempt to take the term.
type campaign struct {
	sentAt  event.Time // when the lease was asked for, from which it counts
	leaseID uint64
	token   uint64
}

// stand begins a campaign when the term has been free for our stagger.
func (l *Election) stand(now event.Time, out *event.Effects) {
	if l.candidacy.inFlight || !l.store.Synced() || now < l.candidacy.notBefore {
		return
	}
	if !l.termIsFree() {
		return
	}
	if l.candidacy.campaignAt == notScheduled {
		l.candidacy.campaignAt = now + event.Time(l.cfg.Position)*candidacyStagger
	}
	if now >= l.candidacy.campaignAt {
		l.campaign(now, out)
	}
}

// termIsFree tells whether the term can be taken. A term key with our own label
// is left from before a restart: that process has ended, so it can be replaced
// at once.
func (l *Election) termIsFree() bool {
	return l.observed.holder == "" || l.observed.holder == l.cfg.Label
}

// campaign asks for a lease and writes the term key with it.
func (l *Election) campaign(now event.Time, out *event.Effects) {
	l.candidacy.inFlight = true
	sentAt := now
	l.store.Lease(l.cfg.TermLease, now, out, func(now event.Time, leaseID uint64, out *event.Effects) {
		if leaseID == 0 {
			l.campaignFailed(now)
			return
		}
		if !l.termIsFree() {
			l.store.Drop(leaseID, now, out)
			l.campaignFailed(now)
			return
		}
		l.submitTerm(now, campaign{
			sentAt:  sentAt,
			leaseID: leaseID,
			token:   max(l.observed.count, l.observed.holderToken, l.observed.highestToken) + 1,
		})
	})
}

// submitTerm writes the term key and the raised counter, on condition that
// neither has changed.
func (l *Election) submitTerm(now event.Time, c campaign) {
	data, _ := json.Marshal(termRecord{Label: l.cfg.Label, FencingToken: c.token})
	l.store.Submit(&store.Intent{
		Priority: store.Term,
		Conditions: []store.Condition{
			{Key: TermKey, Version: l.observed.termVersion},
			{Key: countKey, Version: l.store.Version(countKey)},
		},
		Writes: []store.Write{
			{Key: TermKey, Data: data, LeaseID: c.leaseID},
			{Key: countKey, Data: data},
		},
		Done: func(result store.Result) {
			if result.Outcome != store.OK {
				// An unknown outcome may leave a term that nobody holds; it
				// ends with its lease.
				l.campaignFailed(result.Now)
				return
			}
			l.candidacy.inFlight = false
			l.beginTerm(now, c, result.Revision)
		},
	}, now+l.cfg.TermLease/campaignsPerLease)
}

// campaignFailed allows the next attempt after a pause.
func (l *Election) campaignFailed(now event.Time) {
	l.candidacy.inFlight = false
	l.candidacy.notBefore = max(l.candidacy.notBefore, now+retryInterval)
}

// beginTerm takes up the term that a campaign has won. leasedAt is when its
// lease was granted.
func (l *Election) beginTerm(leasedAt event.Time, c campaign, version uint64) {
	l.term.leaseID = c.leaseID
	l.term.version = version
	l.term.token = c.token
	l.term.validUntil = c.sentAt + l.reliableLease()
	l.term.renewAt = leasedAt
	l.term.leasedAt = leasedAt
	l.term.unnoticed = true
	// A read that brings the replica up to the beginning of the term.
	l.store.Barrier(func(event.Time, bool, *event.Effects) {})
}
