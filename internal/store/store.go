// Package store is the client of the state service: a replica of all keys
// kept up by following changes, transactions batched under the shared rate,
// leases, and the read barrier that answers to users rest on.
package store

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"lugward/internal/event"
)

// Priority orders what waits for the request and write rates.
type Priority uint8

// From most to least urgent.
const (
	Term Priority = iota
	Cancel
	Accept
	Place
	Progress
	Cleanup
	priorities
)

// Write is one change of a transaction.
type Write struct {
	Key     string
	Data    []byte // JSON; nil drops the key
	LeaseID uint64
}

// Condition requires that a key has a version (0: does not exist).
type Condition struct {
	Key     string
	Version uint64
}

// Outcome of an intent.
type Outcome uint8

const (
	// OK means that the writes were executed.
	OK Outcome = iota
	// Conflict means that a condition of this intent did not hold: nothing was executed.
	Conflict
	// Refused means that nothing was executed.
	Refused
	// Unknown means that no response came: the writes may have been executed or
	// may yet be. All our writes carry the versions they build on, so a late one
	// either fails or arrives as an ordinary change.
	Unknown
)

// Result is how an intent ended.
type Result struct {
	Outcome  Outcome
	Revision uint64 // of the transaction when OK
	// Invalid: refused with 400. The same write will be refused again, be it
	// for its size, so it is to be tried ever less often.
	Invalid bool
	Now     event.Time
	Out     *event.Effects
}

// Intent is a set of writes that happen together or not at all. Several
// intents may share one transaction.
type Intent struct {
	Priority   Priority
	Rank       int // among intents of one priority: the greater goes first
	Conditions []Condition
	Writes     []Write
	Done       func(r Result)
	// Build, if set, fills in Conds and Writes when the intent's turn comes, so
	// that one write carries all that changed while it waited. It may be called
	// again for another attempt. False: there is nothing to write any more; Done is
	// told Refused. Key is the key that it is about: it is not built while a
	// write of that key is under way.
	Build func(in *Intent) bool
	Key   string

	expires  event.Time
	attempts int
}

func (in *Intent) ops() int { return max(1, len(in.Writes)) }

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

// Submit queues an intent. It is given up as Refused at the time expires.
func (c *Client) Submit(in *Intent, expires event.Time) {
	in.expires = expires
	queue := c.queue[in.Priority]
	at := len(queue)
	for at > 0 && queue[at-1].Rank < in.Rank {
		at--
	}
	c.queue[in.Priority] = slices.Insert(queue, at, in)
}

// Barrier calls f once the replica holds everything that was committed before
// this call. ok is false when the service does not answer.
func (c *Client) Barrier(f func(now event.Time, ok bool, out *event.Effects)) {
	c.barriers = append(c.barriers, f)
}

// Lease sends a request for a new lease, Extend and Drop work on one.
func (c *Client) Lease(life time.Duration, now event.Time, out *event.Effects, done func(now event.Time, leaseID uint64, out *event.Effects)) {
	body := fmt.Appendf(nil, `{"life_ms":%d}`, life.Milliseconds())
	c.call("POST", "/leases", body, callTimeout, now, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		var v struct {
			LeaseID uint64 `json:"tether"`
		}
		if status != 200 || json.Unmarshal(body, &v) != nil {
			v.LeaseID = 0
		}
		done(now, v.LeaseID, out)
	})
}

// Extend renews a lease; done gets the status.
func (c *Client) Extend(leaseID uint64, timeout time.Duration, now event.Time, out *event.Effects, done func(now event.Time, status int, out *event.Effects)) {
	c.call("POST", "/leases/"+strconv.FormatUint(leaseID, 10)+"/extend", nil, timeout, now, out,
		func(now event.Time, status int, _ []byte, out *event.Effects) { done(now, status, out) })
}

// Drop ends a lease at once.
func (c *Client) Drop(leaseID uint64, now event.Time, out *event.Effects) {
	c.call("DELETE", "/leases/"+strconv.FormatUint(leaseID, 10), nil, callTimeout, now, out,
		func(event.Time, int, []byte, *event.Effects) {})
}

func (c *Client) call(method, path string, body []byte, timeout time.Duration, now event.Time, out *event.Effects, f func(event.Time, int, []byte, *event.Effects)) {
	c.requests.take(now, 1)
	c.requestMeter.add(now, 1)
	sent := now
	c.calls[out.Call(c.addr, method, path, body, timeout)] = func(now event.Time, status int, body []byte, out *event.Effects) {
		if status != 0 && status != 503 && status != 429 {
			c.contact = max(c.contact, sent)
			c.outage = false
		} else if status != 429 {
			c.outage = true
		} else {
			c.lower()
		}
		f(now, status, body, out)
	}
}

// CallDone takes the outcome of a call; it tells whether it was ours.
func (c *Client) CallDone(now event.Time, d event.CallDone, out *event.Effects) bool {
	f, ok := c.calls[d.ID]
	if !ok {
		return false
	}
	delete(c.calls, d.ID)
	f(now, d.Status, d.Body, out)
	return true
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

func (c *Client) expire(now event.Time, out *event.Effects) {
	for p := range c.queue {
		list := c.queue[p]
		kept := list[:0]
		var gone []*Intent
		for _, in := range list {
			if now >= in.expires {
				gone = append(gone, in)
			} else {
				kept = append(kept, in)
			}
		}
		c.queue[p] = kept
		for _, in := range gone {
			in.Done(Result{Outcome: Refused, Now: now, Out: out})
		}
	}
}

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

func (c *Client) failBarriers(now event.Time, out *event.Effects) {
	list := c.barriers
	c.barriers = nil
	for _, f := range list {
		f(now, false, out)
	}
}

func (c *Client) sendBarrier(now event.Time, out *event.Effects) {
	if c.barrierOpen || (len(c.barriers) == 0 && now-c.fresh < c.limits.StaleAfter) || now < c.barrierNext || !c.requests.has(now, 1) {
		return
	}
	list, sent := c.barriers, now
	c.barriers, c.barrierOpen, c.barrierNext = nil, true, now+c.barrierEvery
	path := fmt.Sprintf("/follow?starts=&from=%d&wait_ms=0", c.revision)
	c.call("GET", path, nil, callTimeout, now, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		c.barrierOpen = false
		ok := c.follow(sent, now, status, body)
		if !ok {
			c.barrierNext = now + refusedPause
		}
		for _, f := range list {
			f(now, ok, out)
		}
		c.Tick(now, out)
	})
}

// flush packs waiting intents into transactions, most urgent first.
func (c *Client) flush(now event.Time, out *event.Effects) {
	for c.inflight < maxInFlight && now >= c.pauseTo {
		batch, ops := c.pick(now)
		if len(batch) == 0 {
			return
		}
		c.send(batch, ops, now, out)
	}
}

// pick takes what fits into one transaction. Terms and cancellations go beyond
// our part of the rates, which is owed afterwards: where many nodes share a
// small rate, a part may be less than the two writes that a term takes, and
// nobody would ever lead.
func (c *Client) pick(now event.Time) (batch []*Intent, ops int) {
	size, conds := 0, 0
	taken := map[string]bool{}
	requests, writes := c.requests.has(now, 1), c.writes.whole(now)
	for p := range c.queue {
		capacity := c.limits.TxnOps
		if Priority(p) > Cancel {
			capacity = min(capacity, writes)
			if !requests {
				break
			}
		}
		list := c.queue[p]
		kept := list[:0]
		full := false
		for _, in := range list {
			capacity := max(capacity, c.lend(in, ops))
			if full || ops+in.ops() > capacity || (in.attempts > 1 && len(batch) > 0) {
				full = true
				kept = append(kept, in)
				continue
			}
			if in.Build != nil && c.busyKeys[in.Key] {
				kept = append(kept, in)
				continue
			}
			if in.Build != nil && !in.Build(in) {
				in.Done(Result{Outcome: Refused, Now: now})
				continue
			}
			capacity = max(capacity, c.lend(in, ops))
			bytes := 0
			clash := false
			for _, w := range in.Writes {
				bytes += len(w.Key) + len(w.Data) + 60
				clash = clash || c.busyKeys[w.Key] || taken[w.Key]
			}
			bytes += 120 * len(in.Conditions)
			// What failed in company goes alone the next time.
			if clash || ops+len(in.Writes) > capacity || size+bytes > maxTxn || conds+len(in.Conditions) > 4*c.limits.TxnOps {
				// Order within a priority is kept: a large intent is not
				// starved by small ones behind it.
				full = full || !clash
				kept = append(kept, in)
				continue
			}
			for _, w := range in.Writes {
				taken[w.Key] = true
			}
			ops += len(in.Writes)
			conds += len(in.Conditions)
			size += bytes
			batch = append(batch, in)
			full = full || in.attempts > 1
		}
		c.queue[p] = kept
		if full && len(batch) > 0 {
			break
		}
	}
	return batch, ops
}

// lend is the capacity for an intent that has more writes than our part of the rate
// ever holds: once the part is full and nothing goes before it, it borrows.
func (c *Client) lend(in *Intent, before int) int {
	if n := in.ops(); before == 0 && n <= c.limits.TxnOps && n > int(c.writes.most()) && c.writes.level >= c.writes.most() {
		return n
	}
	return 0
}

type wireCondition struct {
	Key     string `json:"key"`
	Version uint64 `json:"stamp"`
}

type wireWrite struct {
	Write   string          `json:"write,omitempty"`
	Drop    string          `json:"drop,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tether,omitempty"`
}

func (c *Client) send(batch []*Intent, ops int, now event.Time, out *event.Effects) {
	var txn struct {
		If   []wireCondition `json:"if"`
		Then []wireWrite     `json:"then"`
	}
	seen := map[Condition]bool{}
	for _, in := range batch {
		in.attempts++
		for _, cond := range in.Conditions {
			if !seen[cond] {
				seen[cond] = true
				txn.If = append(txn.If, wireCondition(cond))
			}
		}
		for _, w := range in.Writes {
			c.busyKeys[w.Key] = true
			if w.Data == nil {
				txn.Then = append(txn.Then, wireWrite{Drop: w.Key})
			} else {
				txn.Then = append(txn.Then, wireWrite{Write: w.Key, Data: w.Data, LeaseID: w.LeaseID})
			}
		}
	}
	body, err := json.Marshal(txn)
	if err != nil {
		panic(err) // our own values are valid JSON
	}
	c.writes.take(now, float64(ops))
	c.written.add(now, float64(ops))
	c.inflight++
	c.call("POST", "/commit", body, callTimeout, now, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		c.inflight--
		for _, in := range batch {
			for _, w := range in.Writes {
				delete(c.busyKeys, w.Key)
			}
		}
		c.committed(batch, now, status, body, out)
		c.Tick(now, out)
	})
}

func (c *Client) committed(batch []*Intent, now event.Time, status int, body []byte, out *event.Effects) {
	var v struct {
		Revision uint64   `json:"epoch"`
		Failed   []string `json:"failed"`
	}
	if status == 200 || status == 409 {
		if json.Unmarshal(body, &v) != nil {
			status = 0
		}
	}
	switch status {
	case 200:
		for _, in := range batch {
			for _, w := range in.Writes {
				c.change(w.Key, w.Data, v.Revision)
			}
		}
		for _, in := range batch {
			in.Done(Result{Outcome: OK, Revision: v.Revision, Now: now, Out: out})
		}
	case 409:
		// One failing condition must not fail its neighbours for good.
		failed := map[string]bool{}
		for _, k := range v.Failed {
			failed[k] = true
		}
		var again []*Intent
		for _, in := range batch {
			bad := false
			for _, cond := range in.Conditions {
				bad = bad || failed[cond.Key]
			}
			if bad || len(batch) == 1 {
				in.Done(Result{Outcome: Conflict, Now: now, Out: out})
			} else {
				again = append(again, in)
			}
		}
		c.requeue(again)
	case 429, 503:
		c.pauseTo = now + refusedPause
		c.requeue(batch)
	case 400:
		if len(batch) > 1 {
			for _, in := range batch {
				in.attempts = max(in.attempts, 2)
			}
			c.requeue(batch)
			return
		}
		if c.Log != nil {
			list := make([]string, 0, len(batch[0].Writes))
			for _, w := range batch[0].Writes {
				list = append(list, fmt.Sprintf("%s (%d bytes)", w.Key, len(w.Data)))
			}
			c.Log.Error("write refused as malformed", "writes", list, "answer", string(body[:min(len(body), 200)]))
		}
		batch[0].Done(Result{Outcome: Refused, Now: now, Out: out, Invalid: true})
	default:
		for _, in := range batch {
			in.Done(Result{Outcome: Unknown, Now: now, Out: out})
		}
	}
}

func (c *Client) requeue(list []*Intent) {
	for i := len(list) - 1; i >= 0; i-- {
		p := list[i].Priority
		c.queue[p] = append([]*Intent{list[i]}, c.queue[p]...)
	}
}

// SplitKey cuts the first segment off a key; it names the slice that the key
// belongs to.
func SplitKey(key string) (kind, rest string) {
	kind, rest, _ = strings.Cut(key, "/")
	return kind, rest
}

// bucket is a token bucket with one second's burst.
type bucket struct {
	rate, level float64
	at          event.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, level: rate} }

func (b *bucket) fill(now event.Time) {
	if now > b.at {
		b.level = math.Min(b.most(), b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

func (b *bucket) has(now event.Time, n float64) bool {
	b.fill(now)
	return b.level >= n
}

func (b *bucket) whole(now event.Time) int {
	b.fill(now)
	return int(math.Max(b.level, 0))
}

// most is what the bucket holds when it is full.
func (b *bucket) most() float64 { return math.Max(b.rate, 1) }

func (b *bucket) take(now event.Time, n float64) {
	b.fill(now)
	b.level -= n
}
