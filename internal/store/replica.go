package store

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lugward/internal/event"
)

// load reads every key, page by page. The pages are not one moment's, but
// following from the first page's revision replays whatever changed meanwhile.
func (c *Client) load(now event.Time, out *event.Effects) {
	c.loading, c.loadRevision, c.loadSeen = true, 0, map[string]bool{}
	c.page("", now, out)
}

type item struct {
	Key     string          `json:"key"`
	Data    json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
}

func (c *Client) page(from string, now event.Time, out *event.Effects) {
	path := "/keys?starts=&limit=" + strconv.Itoa(pageLimit)
	if from != "" {
		path += "&from=" + url.QueryEscape(from)
	}
	c.call("GET", path, nil, 4*time.Second, now, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		var v struct {
			Items    []item `json:"items"`
			HasNext  bool   `json:"has_next"`
			Revision uint64 `json:"epoch"`
		}
		if status != 200 || json.Unmarshal(body, &v) != nil || (v.HasNext && len(v.Items) == 0) {
			c.loading, c.loadNext = false, now+reloadPause
			return
		}
		if from == "" {
			c.loadRevision = v.Revision
		}
		for _, it := range v.Items {
			c.loadSeen[it.Key] = true
			c.apply(it.Key, it.Data, it.Version)
		}
		if v.HasNext {
			c.page(v.Items[len(v.Items)-1].Key, now, out)
			return
		}
		// Keys that we still hold from before a 410 but that have terminated now.
		for key, version := range c.versions {
			if !c.loadSeen[key] && version <= c.loadRevision {
				c.apply(key, nil, c.loadRevision)
			}
		}
		c.loadSeen = nil
		c.loading, c.synced, c.revision = false, true, c.loadRevision
		c.Tick(now, out)
	})
}

// change takes one change of the log or of a write of ours. What the replica
// has passed already is left out: an answer that was held up for longer than
// those after it would else bring back keys that were dropped since.
func (c *Client) change(key string, data []byte, version uint64) {
	if version > c.revision {
		c.apply(key, data, version)
	}
}

// apply takes one change unless the replica holds a newer one.
func (c *Client) apply(key string, data []byte, version uint64) {
	if version <= c.versions[key] || version <= c.tombstones[key] {
		return
	}
	if data == nil {
		c.tombstones[key] = version
		if _, ok := c.versions[key]; !ok {
			return
		}
		delete(c.versions, key)
	} else {
		delete(c.tombstones, key)
		c.versions[key] = version
	}
	c.listen(key, data, version)
}

type change struct {
	Write   string          `json:"write"`
	Drop    string          `json:"drop"`
	Data    json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
}

// follow handles a /follow answer; it tells whether the replica is current as
// of that answer.
func (c *Client) follow(sent event.Time, now event.Time, status int, body []byte) bool {
	if status == 410 {
		// Too far behind: read everything again.
		c.synced, c.loadNext = false, now
		return false
	}
	var v struct {
		Revision uint64   `json:"epoch"`
		Log      []change `json:"log"`
	}
	if status != 200 || json.Unmarshal(body, &v) != nil {
		return false
	}
	c.fresh = max(c.fresh, sent)
	for _, ch := range v.Log {
		if ch.Drop != "" {
			c.change(ch.Drop, nil, ch.Version)
		} else if ch.Write != "" {
			c.change(ch.Write, ch.Data, ch.Version)
		}
	}
	if v.Revision > c.revision {
		c.revision = v.Revision
		for k, s := range c.tombstones {
			if s <= c.revision {
				delete(c.tombstones, k)
			}
		}
	}
	return true
}

func (c *Client) watch(now event.Time, out *event.Effects) {
	c.watchOpen = true
	sent := now
	c.watchNext = now + c.watchEvery
	path := fmt.Sprintf("/follow?starts=&from=%d&wait_ms=%d", c.revision, watchWait.Milliseconds())
	c.call("GET", path, nil, watchWait+watchSlack, now, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		c.watchOpen = false
		if !c.follow(sent, now, status, body) {
			c.watchNext = max(c.watchNext, now+refusedPause)
		}
		c.Tick(now, out)
	})
}

// SplitKey cuts the first segment off a key; it names the slice that the key
// belongs to.
func SplitKey(key string) (kind, rest string) {
	kind, rest, _ = strings.Cut(key, "/")
	return kind, rest
}
