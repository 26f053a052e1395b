// Package election decides which controller leads. The term is a key held by a
// lease, written together with a raised counter by compare-and-set; the counter
// is the fencing token that workers compare. Every write of a leader requires
// the version of the term key, so the writes of a deposed leader fail, however
// late they arrive.
package election

import (
	"encoding/json"
	"log/slog"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
)

// Keys of the term in the state service.
const (
	KeyPrefix = "t" // of all keys of this package
	TermKey   = "t/lead"
	countKey  = "t/count"
)

const (
	// candidacyStagger is the time between the candidacies of two controllers
	// that see the term free at once.
	candidacyStagger = 120 * time.Millisecond
	// abstainDuration is how long a leader that has resigned does not stand.
	abstainDuration = 10 * time.Second
	// retryInterval is the time between two campaigns at least.
	retryInterval = 300 * time.Millisecond

	// Requests within the lease of a term: a renewal is sent four times, one
	// that has failed is repeated after an eighth, and the write of a campaign
	// is not sent after half of it.
	renewalsPerLease       = 4
	renewalRetriesPerLease = 8
	campaignsPerLease      = 2

	// leaseMarginPercent is the part of our lease that we do not rely on, for
	// the drift between our clock and the state service's.
	leaseMarginPercent = 5
	// clockDriftDivisor: a worker's clock may be slow by 1/1000 against ours.
	clockDriftDivisor = 1000
	// expiryMargin is added before tasks count as terminated.
	expiryMargin = 2 * time.Second
	// graceMargin is left of the time for a cancellation, for a report's round
	// trip, clock drift and a step that is late.
	graceMargin = 4 * time.Second
)

// termRecord is the value of the term key and of the counter.
type termRecord struct {
	Label        string `json:"l"`
	FencingToken uint64 `json:"f"`
}

// Config are the settings of the election.
type Config struct {
	Label       string
	Position    int           // our place among the controllers, to stagger candidacies
	TermLease   time.Duration // lease of the term key
	WorkerLease time.Duration // for which a worker goes on after an answered report
	// Grace is how long a leader without the state service goes on answering
	// reports. Together with MaxWorkerLease it must stay below the time within
	// which the tasks of a cancelled job have to stop.
	Grace time.Duration

	Store  *kv.Client // client of the state service
	Logger *slog.Logger
}

// GracePeriod derives the grace from the time for a cancellation and from the
// lease of a worker.
func GracePeriod(cancel, lease time.Duration) time.Duration {
	rest := cancel - lease - lease/clockDriftDivisor
	return max(0, rest-min(graceMargin, rest/2))
}

// Election is one controller's view of the term. It is driven by Tick and by
// the answers of the state service; the store calls Listen for the keys of Kind.
type Election struct {
	cfg   Config
	store *kv.Client
	log   *slog.Logger

	observed  observed
	candidacy candidacy
	term      term
}

// observed is what the replica and the messages of others say about the term.
type observed struct {
	leader          string // label in the replica's term key, "" if there is none
	leaderToken     uint64
	termModRevision uint64 // of the term key
	count           uint64 // the counter
	highestToken    uint64 // highest fencing token of any worker's or peer's message
}

// New returns an election that has seen nothing yet.
func New(cfg Config) *Election {
	return &Election{cfg: cfg, store: cfg.Store, log: cfg.Logger, candidacy: candidacy{campaignAt: notScheduled}}
}

// HandleChange takes a change of the replica; data is nil when the key was deleted.
func (l *Election) HandleChange(key string, data []byte, version uint64) {
	var record termRecord
	if data != nil && json.Unmarshal(data, &record) != nil {
		return
	}
	switch key {
	case TermKey:
		if data == nil {
			version = 0
		}
		l.observed.leader = record.Label
		l.observed.leaderToken = record.FencingToken
		l.observed.termModRevision = version
		l.candidacy.campaignAt = notScheduled
		if l.HoldsTerm() && version != l.term.modRevision {
			l.stepDown(ReasonTermKeyChanged)
		}
	case countKey:
		l.observed.count = record.FencingToken
	}
}

// Leader is the label of the controller that holds the term, "" if the replica
// shows none.
func (l *Election) Leader() string { return l.observed.leader }

// LeaderFencingToken is the fencing token of the term that the replica shows.
func (l *Election) LeaderFencingToken() uint64 { return l.observed.leaderToken }

// ObserveFencingToken notes a fencing token in a message of a worker or controller.
func (l *Election) ObserveFencingToken(token uint64) {
	l.observed.highestToken = max(l.observed.highestToken, token)
}

// Tick keeps our term, or stands for the next one.
func (l *Election) Tick(now event.Time, out *event.Effects) {
	if l.HoldsTerm() {
		l.maintain(now, out)
	} else {
		l.stand(now, out)
	}
}
