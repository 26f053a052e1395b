package kv

import (
	"time"

	"lugward/internal/event"
)

// scanPause is the pause before a scan that failed is begun again.
const scanPause = 300 * time.Millisecond

// scan reads every key, page by page, into a cache that cannot follow changes: at
// the start, and when it has fallen behind the store's log. The pages are not one
// consistent snapshot, but following the log from the revision of the first page
// replays whatever changed meanwhile.
type scan struct {
	running   bool
	notBefore event.Time
	revision  uint64          // of the first page
	seen      map[string]bool // keys in the pages so far, immutable ones apart
}

func (c *Client) startScan(now event.Time, out *event.Effects) {
	c.scan.running = true
	c.scan.revision = 0
	c.scan.seen = map[string]bool{}
	c.sendPageRequest(now, "", out)
}

func (c *Client) sendPageRequest(now event.Time, after string, out *event.Effects) {
	c.send(now, pageRequest(after), pendingPage{after}, out)
}

// pendingPage is the request in flight for the page of the keys after the given
// one.
type pendingPage struct{ after string }

func (p pendingPage) isFirst() bool { return p.after == "" }

func (p pendingPage) handle(now event.Time, c *Client, r response, out *event.Effects) {
	page, err := p.decode(r)
	if err != nil {
		c.log.Debug("scan of all keys failed", "error", err)
		c.scan.running = false
		c.scan.notBefore = now + scanPause
		return
	}
	if p.isFirst() {
		c.scan.revision = page.Revision
	}
	c.takePage(&page)
	if page.HasNext {
		c.sendPageRequest(now, page.lastKey(), out)
		return
	}
	c.finishScan()
	c.Tick(now, out)
}

func (p pendingPage) decode(r response) (keysPage, error) {
	if err := r.err(); err != nil {
		return keysPage{}, err
	}
	return decodeKeysPage(r.body)
}

// takePage takes the keys of one page into the cache.
func (c *Client) takePage(page *keysPage) {
	for i := range page.Items {
		item := &page.Items[i]
		if !c.cache.isImmutable(item.Key) {
			c.scan.seen[item.Key] = true
		}
		c.cache.apply(item.Key, item.Data, item.ModRevision)
	}
}

func (c *Client) finishScan() {
	c.cache.deleteUnseen(c.scan.seen, c.scan.revision)
	c.cache.revision = c.scan.revision
	c.cache.synced = true
	c.scan.seen = nil
	c.scan.running = false
}
