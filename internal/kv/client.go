// Package kv is the client of the state service. It keeps a replica of all
// keys by following the service's changes, batches writes into transactions
// under the rates that the controllers share, manages leases, and offers the
// read barrier that every answer to a user rests on.
//
// Nothing here blocks or reads a clock: requests leave as effects, their
// answers and the passing of time come in through Client.CallDone and
// Client.Tick.
package kv

import (
	"log/slog"
	"time"

	"lugward/internal/event"
)

// Limits are the service's published limits and this node's settings for it.
type Limits struct {
	// TxnOps is the largest number of writes in one transaction.
	TxnOps int
	// Rates are what the service takes of all controllers together.
	Rates Rates
	// NextRates are the rates in force from the first 429 on; 0 means unchanged.
	// The service may lower its rates without notice.
	NextRates Rates
	// StaleAfter is the age at which the replica is refreshed although nobody
	// waits for a read barrier.
	StaleAfter time.Duration
	// ImmutablePrefix is the beginning of keys that are written once and never change or
	// go. There may be very many; the replica keeps nothing of them, and the listener
	// may receive one more than once. "": there are none.
	ImmutablePrefix string
}

// Rates are numbers of requests and of writes per second.
type Rates struct {
	Requests float64
	Writes   float64
}

// ChangeFunc receives every change of the replica. data is nil when the key
// has been dropped.
type ChangeFunc func(key string, data []byte, version uint64)

const (
	// callTimeout bounds every request that is answered without waiting.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the pause before a retry after 429, 503 or no answer.
	retryPause = 100 * time.Millisecond
	// minPollInterval is the least time between two watches, and between two
	// barriers: answers come one round trip after each, so more would not make
	// the replica any fresher.
	minPollInterval = 150 * time.Millisecond
	// pollShare is the part of the request rate that watches and barriers use
	// together; the rest is for transactions and leases.
	pollShare = 0.6
	// pollKinds is the number of kinds of polls that divide pollShare.
	pollKinds = 2
)

// Client is the state service as one controller sees it. It is not safe for
// concurrent use.
type Client struct {
	addr    string
	limits  Limits
	log     *slog.Logger
	rates   rateLimiter
	pending map[uint64]pendingCall // by the ID of the event.Call
	health  health

	cache   watchCache
	scan    scan
	watch   poll
	barrier poll
	// barrierQueue are the callers that wait for the next barrier to be sent.
	barrierQueue []BarrierFunc

	txns txnQueue
}

// Config are the settings of a Client.
type Config struct {
	// Addr is the host and port of the service.
	Addr   string
	Limits Limits
	// OnChange is called for every change of a key, from within Tick and
	// HandleCallResult.
	OnChange ChangeFunc
	// Logger receives the writes that the service refuses as malformed; nil
	// discards them.
	Logger *slog.Logger
}

// New returns a client that has read nothing yet.
func New(cfg Config) *Client {
	log := cfg.Logger
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Client{
		addr:    cfg.Addr,
		limits:  cfg.Limits,
		log:     log,
		rates:   newRateLimiter(cfg.Limits.Rates),
		pending: map[uint64]pendingCall{},
		health:  newHealth(),
		cache:   newWatchCache(cfg.OnChange, cfg.Limits.ImmutablePrefix),
		watch:   poll{interval: minPollInterval},
		barrier: poll{interval: minPollInterval},
		txns:    newTxnQueue(),
	}
}

// Synced reports whether the replica is complete: every key has been read, and
// the changes since then can be followed.
func (c *Client) Synced() bool { return c.cache.synced }

// LastContact is when the last request that the service executed was sent.
func (c *Client) LastContact() event.Time { return c.health.lastContact }

// FreshUntil is a time up to which the replica holds every change. It shows a
// replica that has become stale because the answer to a watch was lost.
func (c *Client) FreshUntil() event.Time { return c.cache.fresh }

// Revision is the revision of the service up to which the replica is complete.
func (c *Client) Revision() uint64 { return c.cache.revision }

// Unavailable reports whether the last request found the service unavailable.
func (c *Client) Unavailable() bool { return c.health.unavailable }

// ModRevision returns the version of a key in the replica, 0 if absent.
func (c *Client) ModRevision(key string) uint64 { return c.cache.modRevisions[key] }

// SetRateShare changes this node's part of the rates. Watches and barriers are
// paced so that they leave requests for transactions and leases.
func (c *Client) SetRateShare(share Rates) {
	c.rates.requests.rate = share.Requests
	c.rates.writes.rate = share.Writes
	interval := time.Duration(pollKinds / (pollShare * share.Requests) * float64(time.Second))
	c.watch.interval = max(minPollInterval, interval)
	c.barrier.interval = c.watch.interval
}

// TotalRates returns the rates that the service is known to take of all
// controllers together.
func (c *Client) TotalRates() Rates { return c.limits.Rates }

// lowerRates puts the announced rates into force. A 429 is the first sign of
// them; if it came of a burst instead, the lower rates cost little.
func (c *Client) lowerRates() {
	if next := c.limits.NextRates.Requests; next > 0 {
		c.limits.Rates.Requests = min(c.limits.Rates.Requests, next)
	}
	if next := c.limits.NextRates.Writes; next > 0 {
		c.limits.Rates.Writes = min(c.limits.Rates.Writes, next)
	}
}

// Tick ends what has expired and sends what is due. It is called at least as
// often as the shortest interval above.
func (c *Client) Tick(now event.Time, out *event.Effects) {
	c.expireTxns(now, out)
	if !c.cache.synced {
		c.failBarriers(now, out)
		if !c.scan.running && now >= c.scan.notBefore {
			c.startScan(now, out)
		}
		return
	}
	c.sendTransactions(now, out)
	c.sendBarrier(now, out)
	c.sendWatch(now, out)
}
