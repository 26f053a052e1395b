package election

import (
	"encoding/json"

	"lugward/internal/event"
	"lugward/internal/kv"
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
	return l.observed.leader == "" || l.observed.leader == l.cfg.Label
}

// campaign asks for a lease and writes the term key with it.
func (l *Election) campaign(now event.Time, out *event.Effects) {
	l.candidacy.inFlight = true
	sentAt := now
	l.store.GrantLease(l.cfg.TermLease, now, out, func(now event.Time, leaseID uint64, out *event.Effects) {
		if leaseID == 0 {
			l.campaignFailed(now)
			return
		}
		if !l.termIsFree() {
			l.store.RevokeLease(leaseID, now, out)
			l.campaignFailed(now)
			return
		}
		l.submitTerm(now, campaign{
			sentAt:  sentAt,
			leaseID: leaseID,
			token:   max(l.observed.count, l.observed.leaderToken, l.observed.highestToken) + 1,
		})
	})
}

// submitTerm writes the term key and the raised counter, on condition that
// neither has changed.
func (l *Election) submitTerm(now event.Time, c campaign) {
	data, _ := json.Marshal(termRecord{Label: l.cfg.Label, FencingToken: c.token})
	l.store.Submit(&kv.Txn{
		Priority: kv.PriorityTerm,
		Compares: []kv.Compare{
			{Key: TermKey, ModRevision: l.observed.termModRevision},
			{Key: countKey, ModRevision: l.store.ModRevision(countKey)},
		},
		Writes: []kv.Write{
			{Key: TermKey, Data: data, LeaseID: c.leaseID},
			{Key: countKey, Data: data},
		},
		Done: func(result kv.Result) {
			if result.Outcome != kv.Committed {
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
	l.term.modRevision = version
	l.term.token = c.token
	l.term.validUntil = c.sentAt + l.reliableLease()
	l.term.renewAt = leasedAt
	l.term.leasedAt = leasedAt
	l.term.acquisitionPending = true
	// A read that brings the replica up to the beginning of the term.
	l.store.Barrier(func(event.Time, bool, *event.Effects) {})
}
