// Package kv is the client of the state service: a consensus-backed key-value
// store, "the store" for short, in which the controllers persist everything that
// must survive the failure of a controller.
//
// # Revisions
//
// The store has one revision, which every executed transaction increases. The mod
// revision of a key is the revision of the transaction that last wrote the key; it
// is 0 for a key that does not exist. A Compare requires a key to have a given mod
// revision, so a Txn is a compare-and-swap over several keys.
//
// # Group commit
//
// The store limits the rates of requests and writes, for all controllers together.
// Client.Submit therefore queues a Txn, and the client sends several of them in one
// request, most urgent first (group commit). The store executes a request as a
// whole or not at all. If a compare of one Txn fails, the client resends the
// others, so the result of a Txn never depends on the compares of another.
//
// # Watch cache and read barrier
//
// The client reads every key at the start and from then on follows the store's log
// with a long poll (the watch). Each change is passed to Config.OnChange; the
// client itself keeps only the mod revisions. The cache lags behind the store: a
// caller that must not act on stale data waits for a read barrier
// (Client.Barrier).
//
// # Leases
//
// A key may be bound to a lease. When the lease expires or is revoked, the store
// deletes the key.
//
// # No input or output
//
// Nothing in this package blocks, reads a clock or opens a connection. Requests are
// returned as event.Effects; their results and the current time are passed to
// Client.HandleCallResult and Client.Tick.
package kv

import (
	"log/slog"
	"time"

	"lugward/internal/event"
)

// Config holds the settings of a Client.
type Config struct {
	// Addr is the host and port of the store.
	Addr   string
	Limits Limits
	// StaleAfter is the age at which the cache is refreshed even if no caller waits
	// for a read barrier.
	StaleAfter time.Duration
	// ImmutablePrefix is the prefix of keys that are written once and never changed
	// or deleted. There may be very many of them, so the cache keeps no mod revisions
	// for them, and OnChange may be called more than once for the same key. An empty
	// prefix means that there are no such keys.
	ImmutablePrefix string
	// OnChange is called for every change of a key, from within Tick and
	// HandleCallResult.
	OnChange ChangeFunc
	// Logger receives the transactions that the store rejects as malformed and, at
	// debug level, failed requests. A nil Logger discards them.
	Logger *slog.Logger
}

// Limits holds the limits that the store publishes.
type Limits struct {
	// TxnOps is the maximum number of writes in one request.
	TxnOps int
	// Rates are the rates that the store accepts from all controllers together.
	Rates Rates
	// NextRates are the rates that apply from the first 429 response on, as the store
	// may lower its rates without notice. 0 means that the current rate stays.
	NextRates Rates
}

// ChangeFunc handles a change of a key. data is the new value as JSON, or nil if the
// key was deleted; it must not be modified. modRevision is the revision of the
// store at which the key was written or deleted.
type ChangeFunc func(key string, data []byte, modRevision uint64)

const (
	// callTimeout is the timeout of requests that the store answers without waiting.
	callTimeout = 1500 * time.Millisecond
	// retryDelay is the delay before a retry after a 429, a 503 or no response.
	retryDelay = 100 * time.Millisecond
	// minPollInterval is the minimum interval between two watches and between two
	// barriers. A response takes one round trip, so a shorter interval would not make
	// the cache any fresher.
	minPollInterval = 150 * time.Millisecond
	// pollShare is the fraction of the request rate that watches and barriers use
	// together; the rest is for transactions and leases.
	pollShare = 0.6
	// pollKinds is the number of kinds of polls that divide pollShare equally.
	pollKinds = 2
)

// Client is a controller's client of the store. It is not safe for concurrent
// use.
type Client struct {
	addr       string
	limits     Limits
	staleAfter time.Duration
	log        *slog.Logger
	rates      rateLimiter
	pending    map[uint64]pendingCall // by the ID of the event.Call
	health     health

	cache   watchCache
	scan    scan
	watch   pollPacer
	barrier pollPacer
	// barrierWaiters are called at the end of the next barrier that is sent.
	barrierWaiters []BarrierFunc
	refreshAge     time.Duration // maximum age of the last Refresh without effect so far, or 0

	txns txnQueue
}

// New returns a client with an empty cache.
func New(cfg Config) *Client {
	log := cfg.Logger
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Client{
		addr:       cfg.Addr,
		limits:     cfg.Limits,
		staleAfter: cfg.StaleAfter,
		log:        log,
		rates:      newRateLimiter(cfg.Limits.Rates),
		pending:    map[uint64]pendingCall{},
		health:     newHealth(),
		cache:      newWatchCache(cfg.OnChange, cfg.ImmutablePrefix),
		watch:      pollPacer{interval: minPollInterval},
		barrier:    pollPacer{interval: minPollInterval},
		txns:       newTxnQueue(),
	}
}

// Synced reports whether the cache is complete: the client has read every key and
// can follow the changes since then.
func (c *Client) Synced() bool { return c.cache.synced }

// FreshUntil returns the time up to which the cache is known to hold every change.
// It lags behind if responses to watches and barriers are lost.
func (c *Client) FreshUntil() event.Time { return c.cache.freshUntil }

// Revision returns the revision of the store up to which the cache is complete.
func (c *Client) Revision() uint64 { return c.cache.revision }

// ModRevision returns the mod revision of a key in the cache. It is 0 if the key
// does not exist or has the immutable prefix.
func (c *Client) ModRevision(key string) uint64 { return c.cache.modRevisions[key] }

// LastContact returns the time at which the latest request that the store has
// executed was sent.
func (c *Client) LastContact() event.Time { return c.health.lastContact }

// Unavailable reports whether the last request, not counting those answered with
// 429, got a 503 or no response.
func (c *Client) Unavailable() bool { return c.health.unavailable }

// Tick ends the transactions that have expired and sends the requests that are due.
// The caller must call it several times a second, because delays and intervals of
// the client end only at the next call.
func (c *Client) Tick(now event.Time, out *event.Effects) {
	c.expireTxns(now, out)
	if !c.cache.synced {
		c.failBarriers(now, out)
		if !c.scan.running && now >= c.scan.notBefore {
			c.startScan(now, out)
		}
		return
	}
	c.sendTxns(now, out)
	c.sendBarrier(now, out)
	c.sendWatch(now, out)
}
