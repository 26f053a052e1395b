package kv

import (
	"encoding/json"
	"fmt"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

const (
	// watchWait is how long the service holds a watch open while nothing changes.
	watchWait = 10 * time.Second
	// watchSlack is the time beyond watchWait after which a watch counts as lost.
	watchSlack = 4 * time.Second
)

// poll paces one kind of request for changes: watches or barriers. At most one
// of each is open at a time.
type poll struct {
	open      bool
	notBefore event.Time
	interval  time.Duration // least time between two
}

// begin opens the poll. The caller has checked that it is due.
func (p *poll) begin(now event.Time) {
	p.open = true
	p.notBefore = now + p.interval
}

// due reports whether a poll may be sent, if the request rate allows it.
func (p *poll) due(now event.Time) bool { return !p.open && now >= p.notBefore }

// loggedChange is one change in the service's log: a write or a drop.
type loggedChange struct {
	Write       string          `json:"write"`
	Drop        string          `json:"drop"`
	Data        json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
}

// followPath asks for the changes since the replica's revision. The service
// answers at the first one, or with none after wait.
func (c *Client) followPath(wait time.Duration) string {
	return fmt.Sprintf("/follow?starts=&from=%d&wait_ms=%d", c.cache.revision, wait.Milliseconds())
}

// takeChanges brings the replica up to date with an answer to /follow. It
// reports whether the replica holds everything up to the request's sending.
func (c *Client) takeChanges(now event.Time, r response) bool {
	if r.status == httpwire.StatusGone || r.status == event.ResponseTooLarge {
		// The log no longer reaches back to our revision, or so far that its part
		// is more than we take at once: read every key again, page by page.
		c.cache.synced = false
		c.scan.notBefore = now
		return false
	}
	var answer struct {
		Revision uint64         `json:"epoch"`
		Log      []loggedChange `json:"log"`
	}
	if r.status != httpwire.StatusOK || json.Unmarshal(r.body, &answer) != nil {
		return false
	}
	c.cache.fresh = max(c.cache.fresh, r.sent)
	for _, entry := range answer.Log {
		if entry.Drop != "" {
			c.cache.change(entry.Drop, nil, entry.ModRevision)
		} else if entry.Write != "" {
			c.cache.change(entry.Write, entry.Data, entry.ModRevision)
		}
	}
	c.cache.advance(answer.Revision)
	return true
}

// sendWatch sends the long poll that brings changes as they happen.
func (c *Client) sendWatch(now event.Time, out *event.Effects) {
	if !c.watch.due(now) || !c.rates.requests.has(now, 1) {
		return
	}
	c.watch.begin(now)
	path := c.followPath(watchWait)
	c.send(call{method: "GET", path: path, timeout: watchWait + watchSlack}, watchRequest{}, now, out)
}

// watchRequest is the pending watch.
type watchRequest struct{}

func (watchRequest) answered(c *Client, now event.Time, r response, out *event.Effects) {
	c.watch.open = false
	if !c.takeChanges(now, r) {
		c.watch.notBefore = max(c.watch.notBefore, now+retryPause)
	}
	c.Tick(now, out)
}
