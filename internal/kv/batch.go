package kv

import (
	"encoding/json"

	"lugward/internal/event"
)

const (
	// maxTransactionBytes is the estimated size of a transaction's body, a
	// margin below the 64 KiB that the service takes.
	maxTransactionBytes = 60 << 10
	// writeOverhead and compareOverhead are the most bytes that the JSON of a
	// write takes beside its key and data, and that of a condition in all.
	writeOverhead   = 60
	compareOverhead = 120
	// comparesPerOp is the number of conditions that the service takes for
	// each write that it allows in a transaction.
	comparesPerOp = 4
)

// batch is a transaction that is being put together. No key is in two of its
// writes, since the service would carry out only one of them.
type batch struct {
	txns     []*Txn
	ops      int // writes
	compares int
	bytes    int // estimated size
	keys     map[string]bool
}

// size estimates what the intent adds to a transaction's body.
func (in *Txn) size() int {
	bytes := compareOverhead * len(in.Compares)
	for _, write := range in.Writes {
		bytes += len(write.Key) + len(write.Data) + writeOverhead
	}
	return bytes
}

func (b *batch) add(in *Txn) {
	for _, write := range in.Writes {
		b.keys[write.Key] = true
	}
	b.txns = append(b.txns, in)
	b.ops += len(in.Writes)
	b.compares += len(in.Compares)
	b.bytes += in.size()
}

// verdict is what becomes of an intent whose turn has come.
type verdict uint8

const (
	added    verdict = iota // it goes with this batch
	finished                // it has nothing to write and has ended
	skipped                 // it waits for its key; intents behind it may go first
	blocked                 // it does not fit; nothing of its priority goes first
)

// pickBatch takes what fits into one transaction off the queue, most urgent first.
func (c *Client) pickBatch(now event.Time) *batch {
	b := &batch{keys: map[string]bool{}}
	mayRequest := c.rates.requests.has(now, 1)
	writes := c.rates.writes.whole(now)
	for p := range c.txns.queue {
		priority := Priority(p)
		capacity := c.limits.TxnOps
		if !priority.exceedsShare() {
			if !mayRequest {
				break
			}
			capacity = min(capacity, writes)
		}
		if full := c.pickPriority(now, priority, capacity, b); full && len(b.txns) > 0 {
			break
		}
	}
	return b
}

// pickPriority adds what fits of one priority. It reports whether the batch
// takes no more. Within a priority the order is kept, lest small intents
// starve a large one.
func (c *Client) pickPriority(now event.Time, priority Priority, capacity int, b *batch) (full bool) {
	waiting := c.txns.queue[priority]
	kept := waiting[:0]
	for _, in := range waiting {
		if full {
			kept = append(kept, in)
			continue
		}
		switch c.pickTxn(now, in, capacity, b) {
		case added:
			full = in.mustGoAlone()
		case finished:
		case skipped:
			kept = append(kept, in)
		case blocked:
			kept = append(kept, in)
			full = true
		}
	}
	c.txns.queue[priority] = kept
	return full
}

// pickTxn builds an intent and adds it to the batch if it fits.
func (c *Client) pickTxn(now event.Time, in *Txn, capacity int, b *batch) verdict {
	if in.mustGoAlone() && len(b.txns) > 0 {
		return blocked
	}
	if b.ops+in.ops() > max(capacity, c.borrowable(in, b)) {
		return blocked
	}
	if in.Build != nil {
		if c.txns.keysInFlight[in.Key] {
			return skipped
		}
		if !in.Build(in) {
			in.Done(Result{Outcome: Aborted, Now: now})
			return finished
		}
	}
	if c.clashes(in, b) {
		return skipped
	}
	if b.ops+len(in.Writes) > max(capacity, c.borrowable(in, b)) ||
		b.bytes+in.size() > maxTransactionBytes ||
		b.compares+len(in.Compares) > comparesPerOp*c.limits.TxnOps {
		return blocked
	}
	b.add(in)
	return added
}

// clashes reports whether a key of the intent is written by the batch or by a
// transaction that is under way.
func (c *Client) clashes(in *Txn, b *batch) bool {
	for _, write := range in.Writes {
		if c.txns.keysInFlight[write.Key] || b.keys[write.Key] {
			return true
		}
	}
	return false
}

// borrowable is the capacity for an intent that has more writes than this
// node's part of the rate ever holds: once the bucket is full and nothing is
// before the intent, it goes and the rest is owed. Else it would wait for ever.
func (c *Client) borrowable(in *Txn, b *batch) int {
	n := in.ops()
	bucket := &c.rates.writes
	if b.ops == 0 && n <= c.limits.TxnOps && n > int(bucket.capacity()) && bucket.full() {
		return n
	}
	return 0
}

// wireCompare and wireWrite are the JSON of a transaction's parts.
type wireCompare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

type wireWrite struct {
	Write   string          `json:"write,omitempty"`
	Drop    string          `json:"drop,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tether,omitempty"`
}

// encode returns the transaction's JSON. Conditions that several intents share
// appear once.
func (b *batch) encode() []byte {
	var transaction struct {
		If   []wireCompare `json:"if"`
		Then []wireWrite   `json:"then"`
	}
	seen := map[Compare]bool{}
	for _, in := range b.txns {
		for _, condition := range in.Compares {
			if !seen[condition] {
				seen[condition] = true
				transaction.If = append(transaction.If, wireCompare(condition))
			}
		}
		for _, write := range in.Writes {
			transaction.Then = append(transaction.Then, write.encode())
		}
	}
	body, err := json.Marshal(transaction)
	if err != nil {
		panic(err) // Write.Data is valid JSON of our own encoders
	}
	return body
}

func (w Write) encode() wireWrite {
	if w.Data == nil {
		return wireWrite{Drop: w.Key}
	}
	return wireWrite{Write: w.Key, Data: w.Data, LeaseID: w.LeaseID}
}
