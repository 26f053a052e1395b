package kv

import (
	"errors"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// ErrCompacted means that the changes since the revision of the cache cannot be read:
// the store's log no longer reaches back that far, or the response would exceed the
// size limit. The client then scans all keys again.
var ErrCompacted = errors.New("changes since cached revision are compacted or too large")

// pollPacer limits the frequency of one kind of request for changes: watches or
// barriers. At most one of each kind is in flight at a time.
type pollPacer struct {
	inFlight  bool
	notBefore event.Time
	interval  time.Duration // minimum time between two polls
}

// recordSent records that a poll is sent. The caller must have checked that it is
// due.
func (p *pollPacer) recordSent(now event.Time) {
	p.inFlight = true
	p.notBefore = now + p.interval
}

// due reports whether a poll may be sent, apart from the request rate.
func (p *pollPacer) due(now event.Time) bool { return !p.inFlight && now >= p.notBefore }

// handleChanges applies the response to a watch or barrier to the cache. If it returns
// nil, the cache holds everything that was committed before the request was sent.
func (c *Client) handleChanges(now event.Time, r response) error {
	if r.status == httpwire.StatusGone || r.status == event.ResponseTooLarge {
		c.cache.synced = false
		c.scan.notBefore = now
		return ErrCompacted
	}
	if err := r.err(); err != nil {
		return err
	}
	changes, err := decodeChanges(r.body)
	if err != nil {
		return err
	}
	c.cache.freshUntil = max(c.cache.freshUntil, r.call.sentAt)
	for i := range changes.Log {
		record := &changes.Log[i]
		if key, data := record.change(); key != "" {
			c.cache.applyIfNewer(key, data, record.ModRevision)
		}
	}
	c.cache.advance(changes.Revision)
	return nil
}

// sendWatch sends a long poll, to which the store responds when a key changes.
func (c *Client) sendWatch(now event.Time, out *event.Effects) {
	if !c.watch.due(now) || !c.rates.requests.canAcquire(now, 1) {
		return
	}
	c.watch.recordSent(now)
	c.send(now, watchRequest(c.cache.revision), pendingWatch{}, out)
}

// pendingWatch is a watch in flight.
type pendingWatch struct{}

func (pendingWatch) handle(now event.Time, c *Client, r response, out *event.Effects) {
	c.watch.inFlight = false
	if err := c.handleChanges(now, r); err != nil {
		c.log.Debug("watch failed", "error", err)
		c.watch.notBefore = max(c.watch.notBefore, now+retryDelay)
	}
	c.Tick(now, out)
}
