package kv

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

const (
	// pageLimit is the number of keys asked for in one page of a scan.
	pageLimit = 500
	// pageTimeout is longer than callTimeout, as pages are large.
	pageTimeout = 4 * time.Second
	// scanPause is the pause before a scan that failed is begun again.
	scanPause = 300 * time.Millisecond
)

// scan reads every key, page by page, into a replica that cannot follow
// changes: at the start, and when it has fallen behind the service's log. The
// pages are not one consistent snapshot, but following from the revision of the
// first page replays whatever changed meanwhile.
type scan struct {
	running   bool
	notBefore event.Time
	revision  uint64          // of the first page
	seen      map[string]bool // keys in the pages so far
}

// keyItem is one key in a page.
type keyItem struct {
	Key     string          `json:"key"`
	Data    json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
}

func (c *Client) startScan(now event.Time, out *event.Effects) {
	c.scan.running = true
	c.scan.revision = 0
	c.scan.seen = map[string]bool{}
	c.sendPage(pageRequest{}, now, out)
}

func (c *Client) sendPage(page pageRequest, now event.Time, out *event.Effects) {
	path := "/keys?starts=&limit=" + strconv.Itoa(pageLimit)
	if !page.first() {
		path += "&from=" + url.QueryEscape(page.after)
	}
	c.send(call{method: "GET", path: path, timeout: pageTimeout}, page, now, out)
}

// pageRequest is a pending page of a scan, of the keys behind after.
type pageRequest struct{ after string }

func (p pageRequest) first() bool { return p.after == "" }

func (p pageRequest) answered(c *Client, now event.Time, r response, out *event.Effects) {
	var page struct {
		Items    []keyItem `json:"items"`
		HasNext  bool      `json:"has_next"`
		Revision uint64    `json:"epoch"`
	}
	if r.status != httpwire.StatusOK || json.Unmarshal(r.body, &page) != nil || (page.HasNext && len(page.Items) == 0) {
		c.scan.running = false
		c.scan.notBefore = now + scanPause
		return
	}
	if p.first() {
		c.scan.revision = page.Revision
	}
	for _, item := range page.Items {
		if !c.cache.isImmutable(item.Key) {
			c.scan.seen[item.Key] = true
		}
		c.cache.apply(item.Key, item.Data, item.Version)
	}
	if page.HasNext {
		c.sendPage(pageRequest{after: page.Items[len(page.Items)-1].Key}, now, out)
		return
	}
	c.finishScan()
	c.Tick(now, out)
}

func (c *Client) finishScan() {
	c.cache.dropUnseen(c.scan.seen, c.scan.revision)
	c.cache.revision = c.scan.revision
	c.cache.synced = true
	c.scan.seen = nil
	c.scan.running = false
}
