package kv

import (
	"time"

	"lugward/internal/event"
)

// scanRetryDelay is the delay before a failed scan is restarted.
const scanRetryDelay = 300 * time.Millisecond

// scan reads every key, page by page, into the cache when the cache cannot follow
// changes: at the start, and when the changes since its revision cannot be read
// (ErrCompacted). The pages are not one consistent snapshot. The cache becomes
// consistent by following the log from the revision of the first page, which replays
// all changes made during the scan.
type scan struct {
	running   bool
	notBefore event.Time
	revision  uint64          // revision of the first page
	seenKeys  map[string]bool // keys in the pages so far, except immutable ones
}

func (c *Client) startScan(now event.Time, out *event.Effects) {
	c.scan.running = true
	c.scan.revision = 0
	c.scan.seenKeys = map[string]bool{}
	c.sendPageRequest(now, "", out)
}

func (c *Client) sendPageRequest(now event.Time, after string, out *event.Effects) {
	c.send(now, pageRequest(after), pendingPage{after}, out)
}

// pendingPage is the request in flight for the page of keys that follow the given
// key.
type pendingPage struct{ after string }

func (p pendingPage) isFirst() bool { return p.after == "" }

func (p pendingPage) handle(now event.Time, c *Client, r response, out *event.Effects) {
	page, err := p.decode(r)
	if err != nil {
		c.log.Debug("scan of all keys failed; restarting it after a delay", "error", err)
		c.scan.running = false
		c.scan.notBefore = now + scanRetryDelay
		return
	}
	if p.isFirst() {
		c.scan.revision = page.Revision
	}
	c.applyPage(&page)
	if page.HasNext {
		c.sendPageRequest(now, page.lastKey(), out)
		return
	}
	c.finishScan()
	c.Tick(now, out)
}

func (p pendingPage) decode(r response) (keyPage, error) {
	if err := r.err(); err != nil {
		return keyPage{}, err
	}
	return decodeKeyPage(r.body)
}

// applyPage applies the keys of one page to the cache.
func (c *Client) applyPage(page *keyPage) {
	for i := range page.Items {
		item := &page.Items[i]
		if !c.cache.isImmutable(item.Key) {
			c.scan.seenKeys[item.Key] = true
		}
		c.cache.apply(item.Key, item.Data, item.ModRevision)
	}
}

func (c *Client) finishScan() {
	c.cache.deleteUnseen(c.scan.seenKeys, c.scan.revision)
	c.cache.revision = c.scan.revision
	c.cache.synced = true
	c.scan.seenKeys = nil
	c.scan.running = false
}
