// Package election decides which controller leads.
//
// A term is the period in which one controller is the leader. To begin a term, a
// controller writes two keys in one transaction: the term key, which is bound to a
// lease in the state service, and the token key, which holds the number of the
// term, the fencing token. Workers obey the highest token that they have seen. Every
// write of a leader compares the mod revision of the term key (TermCompare), so the
// writes of a deposed leader fail, however late they are executed.
//
// A controller that holds a term (HoldsTerm) is the leader (IsLeader) while its lease
// is guaranteed to be valid and its watch cache contains everything that was written
// before the term. When the lease can no longer be relied on, the controller keeps
// renewing the leases of workers for a grace period (MayRenewWorkerLeases) and then
// steps down.
package election

import (
	"log/slog"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
)

// Config holds the settings of an Election.
type Config struct {
	Label       string        // label of this controller
	Position    int           // index of this controller among all controllers; staggers campaigns
	TermLease   time.Duration // lease of the term key
	WorkerLease time.Duration // how long a worker keeps its tasks running after an answered heartbeat
	// Grace is how long after the last renewal of the term lease a leader keeps
	// answering heartbeats; see GracePeriod.
	Grace time.Duration

	Store  *kv.Client
	Logger *slog.Logger
}

// Election takes part in the leader election on behalf of one controller. It is driven
// by Tick and by the responses of the state service. It is not safe for concurrent use.
type Election struct {
	cfg   Config
	store *kv.Client
	log   *slog.Logger

	observed  observed
	candidacy candidacy
	term      term
}

// observed is the state of the term as seen in the watch cache and in the messages of
// workers and other controllers.
type observed struct {
	leader               string // label in the term key, empty if the key does not exist
	leaderToken          uint64 // fencing token in the term key
	termModRevision      uint64 // mod revision of the term key, zero if the key does not exist
	latestToken          uint64 // fencing token in the token key
	highestReportedToken uint64 // highest fencing token in messages of workers and peers
	leaderRevision       uint64 // see RecordLeaderRevision
	// maxStartViewAge is the greatest age of the watch cache at which the leader gives start
	// commands, as the term key states it, or zero if the key does not.
	maxStartViewAge time.Duration
}

// New returns an election that has not observed any term.
func New(cfg Config) *Election {
	return &Election{
		cfg:       cfg,
		store:     cfg.Store,
		log:       cfg.Logger,
		candidacy: candidacy{campaignAt: notScheduled},
	}
}

// HandleChange handles a change of a key under KeyPrefix; data is nil if the key was
// deleted.
func (e *Election) HandleChange(key string, data []byte, modRevision uint64) {
	record, err := decodeTermRecord(data)
	if err != nil {
		e.log.Debug("ignoring malformed term record", "key", key, "error", err)
		return
	}
	switch key {
	case termKey:
		if data == nil {
			modRevision = 0
		}
		e.handleTermKeyChange(record, modRevision)
	case tokenKey:
		e.observed.latestToken = record.FencingToken
	}
}

// handleTermKeyChange handles a change of the term key. A leader whose key was replaced or
// deleted steps down.
func (e *Election) handleTermKeyChange(record termRecord, modRevision uint64) {
	e.observed.leader = record.Label
	e.observed.leaderToken = record.FencingToken
	e.observed.termModRevision = modRevision
	e.observed.maxStartViewAge = time.Duration(record.MaxStartViewAgeMS) * time.Millisecond
	if e.observed.maxStartViewAge > 0 {
		// The leader acts only once its watch cache contains its own term key.
		e.RecordLeaderRevision(modRevision)
	}
	e.candidacy.campaignAt = notScheduled
	if e.HoldsTerm() && modRevision != e.term.modRevision {
		e.stepDown(ReasonTermKeyChanged)
	}
}

// Leader returns the label in the cached term key, or "" if the key does not exist.
func (e *Election) Leader() string { return e.observed.leader }

// LeaderFencingToken returns the fencing token in the cached term key.
func (e *Election) LeaderFencingToken() uint64 { return e.observed.leaderToken }

// RecordFencingToken records a fencing token that a worker or another controller
// has sent.
func (e *Election) RecordFencingToken(token uint64) {
	e.observed.highestReportedToken = max(e.observed.highestReportedToken, token)
}

// Tick maintains the term of this controller, or campaigns for the next term if it
// holds none.
func (e *Election) Tick(now event.Time, out *event.Effects) {
	if e.HoldsTerm() {
		e.maintainTerm(now, out)
	} else {
		e.campaignIfDue(now, out)
	}
}
