package election

import (
	"lugward/internal/event"
	"lugward/internal/kv"
)

// notScheduled is the campaign time of a controller that has not seen the term
// free.
const notScheduled event.Time = -1

// candidacy paces the campaigns of a controller that holds no term.
type candidacy struct {
	campaignAt event.Time // when the term was seen free, plus our stagger, or notScheduled
	notBefore  event.Time // no campaign before this time
	inFlight   bool       // a campaign is under way
}

// campaign is one attempt to take the term.
type campaign struct {
	sentAt   event.Time // when the lease was asked for, from which it counts
	leasedAt event.Time // when it was granted
	leaseID  uint64
	token    uint64 // fencing token of the term
}

// campaignIfDue begins a campaign when the term has been free for our stagger.
func (e *Election) campaignIfDue(now event.Time, out *event.Effects) {
	if e.candidacy.inFlight || !e.store.Synced() || now < e.candidacy.notBefore {
		return
	}
	if !e.termIsFree() {
		return
	}
	if e.candidacy.campaignAt == notScheduled {
		e.candidacy.campaignAt = now + event.Time(e.cfg.Position)*campaignStagger
	}
	if now >= e.candidacy.campaignAt {
		e.requestLease(now, out)
	}
}

// termIsFree reports whether the term can be taken. A term key with our own label
// is left from before a restart: that process has ended, so it can be replaced at
// once.
func (e *Election) termIsFree() bool {
	return e.observed.leader == "" || e.observed.leader == e.cfg.Label
}

// requestLease begins a campaign: it asks for the lease of the term.
func (e *Election) requestLease(now event.Time, out *event.Effects) {
	e.candidacy.inFlight = true
	sentAt := now
	e.store.GrantLease(now, e.cfg.TermLease, out, func(now event.Time, leaseID uint64, err error, out *event.Effects) {
		if err != nil {
			e.campaignFailed(now, err.Error())
			return
		}
		if !e.termIsFree() {
			e.store.RevokeLease(now, leaseID, out)
			e.campaignFailed(now, "another controller holds the term")
			return
		}
		e.submitTerm(campaign{
			sentAt:   sentAt,
			leasedAt: now,
			leaseID:  leaseID,
			token:    max(e.observed.latestToken, e.observed.leaderToken, e.observed.highestToken) + 1,
		})
	})
}

// submitTerm writes the term key and the token key, provided that neither has
// changed.
func (e *Election) submitTerm(c campaign) {
	data := termRecord{Label: e.cfg.Label, FencingToken: c.token}.encode()
	e.store.Submit(&kv.Txn{
		Priority: kv.PriorityTerm,
		Compares: []kv.Compare{
			{Key: termKey, ModRevision: e.observed.termModRevision},
			{Key: tokenKey, ModRevision: e.store.ModRevision(tokenKey)},
		},
		Writes: []kv.Write{
			{Key: termKey, Data: data, LeaseID: c.leaseID},
			{Key: tokenKey, Data: data},
		},
		Done: func(result kv.Result) {
			if result.Outcome != kv.Committed {
				// An unknown outcome may leave a term that nobody holds; it
				// ends with its lease.
				e.campaignFailed(result.Now, "transaction "+result.Outcome.String())
				return
			}
			e.candidacy.inFlight = false
			e.beginTerm(c, result.Revision)
		},
	}, c.leasedAt+e.cfg.TermLease/campaignsPerLease)
}

// campaignFailed allows the next campaign after a pause.
func (e *Election) campaignFailed(now event.Time, reason string) {
	e.log.Debug("campaign failed", "reason", reason)
	e.candidacy.inFlight = false
	e.candidacy.notBefore = max(e.candidacy.notBefore, now+campaignInterval)
}

// beginTerm takes up the term that a campaign has won.
func (e *Election) beginTerm(c campaign, modRevision uint64) {
	e.term.leaseID = c.leaseID
	e.term.modRevision = modRevision
	e.term.token = c.token
	e.term.validUntil = c.sentAt + e.reliableLease()
	e.term.renewAt = c.leasedAt
	e.term.leasedAt = c.leasedAt
	e.term.startPending = true
	// Brings the cache up to the beginning of the term.
	e.store.Barrier(func(event.Time, error, *event.Effects) {})
}
