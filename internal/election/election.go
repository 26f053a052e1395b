// Package election decides which controller leads.
//
// A term is the time for which one controller is leader. It holds the term key,
// which is bound to a lease in the key-value store, and its number, the fencing
// token, is written to a second key in the same transaction. Workers obey the
// highest token that they have seen. Every write of a leader compares the mod
// revision of the term key (TermCompare), so the writes of a deposed leader fail,
// however late they are executed.
//
// A controller that holds a term (HoldsTerm) is leader (IsLeader) while its lease
// is alive for certain and its cache shows everything that was written before the
// term. After that it goes on renewing the leases of workers for a grace period
// (MayRenewWorkerLeases) before it steps down.
package election

import (
	"log/slog"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
)

// Config are the settings of an Election.
type Config struct {
	Label       string        // of this controller
	Position    int           // our place among the controllers, to stagger campaigns
	TermLease   time.Duration // lease of the term key
	WorkerLease time.Duration // for which a worker goes on after an answered heartbeat
	// Grace is how long after the last renewal of the term's lease a leader goes on
	// answering heartbeats; see GracePeriod.
	Grace time.Duration

	Store  *kv.Client
	Logger *slog.Logger
}

// Election is one controller's view of the term. It is driven by Tick and by the
// responses of the store. It is not safe for concurrent use.
type Election struct {
	cfg   Config
	store *kv.Client
	log   *slog.Logger

	observed  observed
	candidacy candidacy
	term      term
}

// observed is what the cache and the messages of others say about the term.
type observed struct {
	leader          string // label in the term key, "" if the key does not exist
	leaderToken     uint64 // fencing token in the term key
	termModRevision uint64 // of the term key, 0 if it does not exist
	latestToken     uint64 // value of the token key
	highestToken    uint64 // of the messages of workers and peers
}

// New returns an election that has seen nothing yet.
func New(cfg Config) *Election {
	return &Election{
		cfg:       cfg,
		store:     cfg.Store,
		log:       cfg.Logger,
		candidacy: candidacy{campaignAt: notScheduled},
	}
}

// HandleChange takes a change of a key of KeyPrefix; data is nil when the key was
// deleted.
func (e *Election) HandleChange(key string, data []byte, modRevision uint64) {
	record, err := decodeTermRecord(data)
	if err != nil {
		e.log.Debug("term record ignored", "key", key, "error", err)
		return
	}
	switch key {
	case termKey:
		if data == nil {
			modRevision = 0
		}
		e.termKeyChanged(record, modRevision)
	case tokenKey:
		e.observed.latestToken = record.FencingToken
	}
}

func (e *Election) termKeyChanged(record termRecord, modRevision uint64) {
	e.observed.leader = record.Label
	e.observed.leaderToken = record.FencingToken
	e.observed.termModRevision = modRevision
	e.candidacy.campaignAt = notScheduled
	if e.HoldsTerm() && modRevision != e.term.modRevision {
		e.stepDown(ReasonTermKeyChanged)
	}
}

// Leader returns the label of the controller that holds the term, "" if the cache
// shows none.
func (e *Election) Leader() string { return e.observed.leader }

// LeaderFencingToken returns the fencing token of the term that the cache shows.
func (e *Election) LeaderFencingToken() uint64 { return e.observed.leaderToken }

// ObserveFencingToken notes a fencing token in a message of a worker or
// controller.
func (e *Election) ObserveFencingToken(token uint64) {
	e.observed.highestToken = max(e.observed.highestToken, token)
}

// Tick keeps our term, or campaigns for the next one.
func (e *Election) Tick(now event.Time, out *event.Effects) {
	if e.HoldsTerm() {
		e.keepTerm(now, out)
	} else {
		e.campaignIfDue(now, out)
	}
}
