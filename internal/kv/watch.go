package kv

import (
	"errors"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// ErrCompacted means that the store's log no longer reaches back to the revision
// of the cache, or so far that the part since then is more than is taken at once.
// The client then reads every key again.
var ErrCompacted = errors.New("revision compacted")

// pollPacer paces one kind of request for changes: watches or barriers. At most
// one of each is in flight at a time.
type pollPacer struct {
	inFlight  bool
	notBefore event.Time
	interval  time.Duration // least time between two
}

// begin notes that a poll is sent. The caller has checked that it is due.
func (p *pollPacer) begin(now event.Time) {
	p.inFlight = true
	p.notBefore = now + p.interval
}

// due reports whether a poll may be sent, if the request rate allows it.
func (p *pollPacer) due(now event.Time) bool { return !p.inFlight && now >= p.notBefore }

// takeChanges brings the cache up to date with the response to a watch or
// barrier. If it returns nil, the cache holds everything up to the sending of the
// request.
func (c *Client) takeChanges(now event.Time, r response) error {
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
			c.cache.observe(key, data, record.ModRevision)
		}
	}
	c.cache.advance(changes.Revision)
	return nil
}

// sendWatch sends the long poll that brings changes as they happen.
func (c *Client) sendWatch(now event.Time, out *event.Effects) {
	if !c.watch.due(now) || !c.rates.requests.canTake(now, 1) {
		return
	}
	c.watch.begin(now)
	c.send(now, watchRequest(c.cache.revision), pendingWatch{}, out)
}

// pendingWatch is the watch in flight.
type pendingWatch struct{}

func (pendingWatch) handle(now event.Time, c *Client, r response, out *event.Effects) {
	c.watch.inFlight = false
	if err := c.takeChanges(now, r); err != nil {
		c.log.Debug("watch failed", "error", err)
		c.watch.notBefore = max(c.watch.notBefore, now+retryPause)
	}
	c.Tick(now, out)
}
