// Package kv is the client of the consensus-backed key-value store in which the
// controllers keep everything that must outlive them.
//
// # Revisions
//
// The store has one revision, which every executed transaction raises. The mod
// revision of a key is the revision of the transaction that wrote its present
// value; it is 0 for a key that does not exist. A Compare requires a key to have
// a given mod revision, so a Txn is a compare-and-swap over several keys.
//
// # Group commit
//
// Requests and writes to the store are rate limited, for all controllers
// together. Client.Submit therefore queues a Txn, and several of them go to the
// store in one request, most urgent first (group commit). The store executes a
// request as a whole or not at all; where a compare of one Txn fails, the client
// sends the others again, so that each Txn still ends by its own merits.
//
// # Watch cache and read barrier
//
// The client reads every key at the start and follows the store's log from then
// on with a long poll (the watch). Each change goes to Config.OnChange; the
// client itself keeps the mod revisions only. The cache lags behind the store: an
// answer that must not be stale waits for a read barrier (Client.Barrier).
//
// # Leases
//
// A key may be bound to a lease. When the lease expires or is revoked, the store
// deletes the key.
//
// # No input or output
//
// Nothing here blocks, reads a clock or opens a connection. Requests leave as
// event.Effects; their results and the passing of time come in through
// Client.HandleCallResult and Client.Tick.
package kv

import (
	"log/slog"
	"time"

	"lugward/internal/event"
)

// Config are the settings of a Client.
type Config struct {
	// Addr is the host and port of the store.
	Addr   string
	Limits Limits
	// StaleAfter is the age at which the cache is refreshed although nobody waits
	// for a read barrier.
	StaleAfter time.Duration
	// ImmutablePrefix is the prefix of keys that are written once and never
	// changed or deleted. There may be very many of them: the cache keeps no mod
	// revisions of them, and OnChange may be called for one more than once. Empty
	// if there are none.
	ImmutablePrefix string
	// OnChange is called for every change of a key, from within Tick and
	// HandleCallResult.
	OnChange ChangeFunc
	// Logger receives the writes that the store rejects as malformed, and at debug
	// level the requests that failed; nil discards them.
	Logger *slog.Logger
}

// Limits are the limits that the store publishes.
type Limits struct {
	// TxnOps is the largest number of writes in one request.
	TxnOps int
	// Rates are what the store takes of all controllers together.
	Rates Rates
	// NextRates are the rates in force from the first 429 on; 0 means unchanged.
	// The store may lower its rates without notice.
	NextRates Rates
}

// ChangeFunc receives a change of a key. data is the new value as JSON, or nil
// if the key has been deleted; it must not be modified. modRevision is the
// revision of the store at which the key was written or deleted.
type ChangeFunc func(key string, data []byte, modRevision uint64)

const (
	// callTimeout bounds every request that the store answers at once.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the pause before a retry after 429, 503 or no response.
	retryPause = 100 * time.Millisecond
	// minPollInterval is the least time between two watches, and between two
	// barriers: a response takes one round trip, so more of them would not make
	// the cache any fresher.
	minPollInterval = 150 * time.Millisecond
	// pollShare is the part of the request rate that watches and barriers use
	// together; the rest is for transactions and leases.
	pollShare = 0.6
	// pollKinds is the number of kinds of polls that divide pollShare.
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
	// barrierWaiters wait for the next barrier to be sent.
	barrierWaiters []BarrierFunc

	txns txnQueue
}

// New returns a client that has read nothing yet.
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

// Synced reports whether the cache is complete: every key has been read, and the
// changes since then can be followed.
func (c *Client) Synced() bool { return c.cache.synced }

// FreshUntil returns a time up to which the cache holds every change. It lags
// behind when the responses to watches and barriers are lost.
func (c *Client) FreshUntil() event.Time { return c.cache.freshUntil }

// Revision returns the revision of the store up to which the cache is complete.
func (c *Client) Revision() uint64 { return c.cache.revision }

// ModRevision returns the mod revision of a key in the cache, 0 if the key does
// not exist or has the immutable prefix.
func (c *Client) ModRevision(key string) uint64 { return c.cache.modRevisions[key] }

// LastContact returns when the last request that the store has executed was
// sent.
func (c *Client) LastContact() event.Time { return c.health.lastContact }

// Unavailable reports whether the last request, apart from those answered with
// 429, got a 503 or no response.
func (c *Client) Unavailable() bool { return c.health.unavailable }

// Tick ends the transactions that have expired and sends what is due. It is to be
// called several times a second: every pause and interval of the client lasts
// until the next call after it.
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
