// Package store is the client of the state service: a replica of all keys
// kept up by following changes, transactions batched under the shared rate,
// leases, and the read barrier that answers to users rest on.
package store

import (
	"log/slog"
	"time"

	"lugward/internal/event"
)

// Limits are the service's published limits and our part of the rates.
type Limits struct {
	TxnOps   int
	RPS      float64
	WriteRPS float64
	// Those that count from the first 429 on, 0: the same. The service may
	// lower its rates without notice.
	NextRPS, NextWriteRPS float64
	// A replica this old is refreshed without being asked.
	StaleAfter time.Duration
}

// ListenFunc hears every change of the replica. data is nil when the key is gone.
type ListenFunc func(key string, data []byte, version uint64)

const (
	maxTxn       = 60 << 10
	watchWait    = 10 * time.Second
	callTimeout  = 1500 * time.Millisecond
	watchSlack   = 4 * time.Second // beyond watchWait before a watch counts as lost
	pageLimit    = 500
	maxInFlight  = 2
	refusedPause = 100 * time.Millisecond // after 429 or 503
	reloadPause  = 300 * time.Millisecond
	leastPause   = 150 * time.Millisecond // between two watches, and two barriers
	followPart   = 0.6                    // of the requests, for watches and barriers
)

// Client is the state service as one controller sees it.
type Client struct {
	addr   string
	limits Limits
	listen ListenFunc

	versions   map[string]uint64
	tombstones map[string]uint64 // dropped keys until the replica has passed the drop
	revision   uint64
	synced     bool

	loading      bool
	loadRevision uint64
	loadSeen     map[string]bool
	loadNext     event.Time

	requests, writes      bucket
	requestMeter, written meter

	queue    [priorities][]*Intent
	inflight int
	busyKeys map[string]bool
	pauseTo  event.Time

	calls      map[uint64]func(now event.Time, status int, body []byte, out *event.Effects)
	watchOpen  bool
	watchNext  event.Time
	watchEvery time.Duration // least time between two watches

	barriers     []func(now event.Time, ok bool, out *event.Effects)
	barrierOpen  bool
	barrierNext  event.Time
	barrierEvery time.Duration

	fresh event.Time // the replica held all changes up to then
	// Log, if set, is told of writes that the service calls malformed.
	Log *slog.Logger

	contact event.Time // sending time of the last request that was executed
	outage  bool       // the last answer was 503 or missing
}

// New returns a client for the service at addr.
func New(addr string, limits Limits, listen ListenFunc) *Client {
	return &Client{addr: addr, limits: limits, listen: listen, versions: map[string]uint64{}, tombstones: map[string]uint64{},
		busyKeys: map[string]bool{}, calls: map[uint64]func(event.Time, int, []byte, *event.Effects){},
		requests: newBucket(limits.RPS), writes: newBucket(limits.WriteRPS), contact: -time.Hour,
		watchEvery: leastPause, barrierEvery: leastPause}
}

// Synced tells whether the replica was complete at some time.
func (c *Client) Synced() bool { return c.synced }

// Contact is when the last request that the service executed was sent.
func (c *Client) Contact() event.Time { return c.contact }

// Fresh is a time up to which the replica holds every change. A watch whose
// answer got lost would else leave it stale for long with nobody noticing.
func (c *Client) Fresh() event.Time { return c.fresh }

// Revision is the change up to which the replica is complete.
func (c *Client) Revision() uint64 { return c.revision }

// Outage tells whether the service failed to answer lately.
func (c *Client) Outage() bool { return c.outage }

// Version returns the version of a key in the replica, 0 if absent.
func (c *Client) Version(key string) uint64 { return c.versions[key] }

// SetShare changes this node's part of the rates. Watches and barriers are
// paced so that they leave capacity for the rest.
func (c *Client) SetShare(rps, writeRPS float64) {
	c.requests.rate, c.writes.rate = rps, writeRPS
	pause := max(leastPause, time.Duration(2/(followPart*rps)*float64(time.Second)))
	c.watchEvery, c.barrierEvery = pause, pause
}

// Rates are what the service takes of all nodes together, as far as we know.
func (c *Client) Rates() (rps, writeRPS float64) { return c.limits.RPS, c.limits.WriteRPS }

// lower goes over to the rates that were announced: a 429 is the first sign of
// them. One that came of a burst costs little.
func (c *Client) lower() {
	if next := c.limits.NextRPS; next > 0 {
		c.limits.RPS = min(c.limits.RPS, next)
	}
	if next := c.limits.NextWriteRPS; next > 0 {
		c.limits.WriteRPS = min(c.limits.WriteRPS, next)
	}
}

// Tick sends what is due.
func (c *Client) Tick(now event.Time, out *event.Effects) {
	c.expire(now, out)
	if !c.synced {
		c.failBarriers(now, out)
		if !c.loading && now >= c.loadNext {
			c.load(now, out)
		}
		return
	}
	c.flush(now, out)
	c.sendBarrier(now, out)
	if !c.watchOpen && now >= c.watchNext && c.requests.has(now, 1) {
		c.watch(now, out)
	}
}
