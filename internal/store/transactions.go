package store

import (
	"encoding/json"
	"fmt"

	"lugward/internal/event"
)

// Submit queues an intent. It is given up as Refused at the time expires.
func (c *Client) Submit(in *Intent, expires event.Time) {
	in.expires = expires
	c.queue[in.Priority] = append(c.queue[in.Priority], in)
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
