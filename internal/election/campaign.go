package election

import (
	"lugward/internal/event"
	"lugward/internal/kv"
)

// notScheduled is the value of candidacy.campaignAt while no campaign is scheduled.
const notScheduled event.Time = -1

// candidacy schedules the campaigns of a controller that holds no term.
type candidacy struct {
	campaignAt event.Time // when the term was first observed free plus the stagger, or notScheduled
	notBefore  event.Time // earliest start of the next campaign
	inFlight   bool       // a campaign is in progress
}

// campaign is one attempt to acquire the term.
type campaign struct {
	sentAt   event.Time // when the lease was requested; its duration is counted from here
	leasedAt event.Time // when the lease was granted
	leaseID  uint64
	token    uint64 // fencing token of the term
}

// campaignIfDue begins a campaign once the term has been free for the stagger of this
// controller.
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

// termIsFree reports whether the term can be acquired. A term key with the label of
// this controller was written before a restart. That process has exited, so the key
// can be replaced immediately.
func (e *Election) termIsFree() bool {
	return e.observed.leader == "" || e.observed.leader == e.cfg.Label
}

// requestLease begins a campaign by requesting the lease of the term.
func (e *Election) requestLease(now event.Time, out *event.Effects) {
	e.candidacy.inFlight = true
	sentAt := now
	e.store.GrantLease(now, e.cfg.TermLease, out, func(now event.Time, leaseID uint64, err error, out *event.Effects) {
		if err != nil {
			e.handleCampaignFailure(now, err.Error())
			return
		}
		if !e.termIsFree() {
			e.store.RevokeLease(now, leaseID, out)
			e.handleCampaignFailure(now, "another controller holds the term")
			return
		}
		e.submitTerm(campaign{
			sentAt:   sentAt,
			leasedAt: now,
			leaseID:  leaseID,
			token:    max(e.observed.latestToken, e.observed.leaderToken, e.observed.highestReportedToken) + 1,
		})
	})
}

// submitTerm writes the term key and the token key in one transaction, which fails if
// either key has changed.
func (e *Election) submitTerm(c campaign) {
	data := termRecord{Label: e.cfg.Label, FencingToken: c.token, MaxStartViewAgeMS: MaxStartViewAge.Milliseconds()}.encode()
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
				// If the outcome is unknown, the term key may exist although no
				// controller holds the term. It is deleted when its lease expires.
				e.handleCampaignFailure(result.Now, "term transaction: "+result.Outcome.String())
				return
			}
			e.candidacy.inFlight = false
			e.beginTerm(c, result.Revision)
		},
	}, c.leasedAt+e.cfg.TermLease/campaignsPerLease)
}

// handleCampaignFailure handles a failed campaign: the next one may begin after
// campaignRetryDelay.
func (e *Election) handleCampaignFailure(now event.Time, reason string) {
	e.log.Debug("campaign failed", "reason", reason)
	e.candidacy.inFlight = false
	e.candidacy.notBefore = max(e.candidacy.notBefore, now+campaignRetryDelay)
}

// beginTerm begins the term that a campaign has acquired.
func (e *Election) beginTerm(c campaign, modRevision uint64) {
	e.term.leaseID = c.leaseID
	e.term.modRevision = modRevision
	e.term.token = c.token
	e.term.validUntil = c.sentAt + e.reliableLease()
	e.term.renewAt = c.leasedAt
	e.term.leasedAt = c.leasedAt
	e.term.startPending = true
	// Makes the cache catch up with the beginning of the term.
	e.store.Barrier(func(event.Time, error, *event.Effects) {})
}
