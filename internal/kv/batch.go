package kv

import "lugward/internal/event"

const (
	// maxTxnBytes is the estimated size of a request's body, a margin below the
	// 64 KiB that the store takes.
	maxTxnBytes = 60 << 10
	// writeOverhead is the most bytes that the JSON of a write takes beside its
	// key and data; compareOverhead is the most that a compare takes in all.
	writeOverhead   = 60
	compareOverhead = 120
	// comparesPerOp is the number of compares that the store takes for each write
	// that it allows in a request.
	comparesPerOp = 4
)

// batch is a request of one or more transactions that is being put together. No
// key is in two of its writes, since the store would execute only one of them.
type batch struct {
	txns     []*Txn
	ops      int // writes
	compares int
	bytes    int // estimated size
	keys     map[string]bool
}

// size estimates the bytes that the transaction adds to a request's body.
func (t *Txn) size() int {
	bytes := compareOverhead * len(t.Compares)
	for _, write := range t.Writes {
		bytes += len(write.Key) + len(write.Data) + writeOverhead
	}
	return bytes
}

func (b *batch) add(txn *Txn) {
	for _, write := range txn.Writes {
		b.keys[write.Key] = true
	}
	b.txns = append(b.txns, txn)
	b.ops += len(txn.Writes)
	b.compares += len(txn.Compares)
	b.bytes += txn.size()
}

// admission is what becomes of a transaction whose turn has come.
type admission uint8

const (
	admitted admission = iota // it goes with this batch
	ended                     // it has nothing to write and has ended
	deferred                  // it waits for its key; transactions behind it may go first
	blocked                   // it does not fit; nothing of its priority goes first
)

// batchBuilder puts one batch together at one time.
type batchBuilder struct {
	*batch
	client *Client
	now    event.Time
	out    *event.Effects
}

// pickBatch takes what fits into one request off the queue, most urgent first.
func (c *Client) pickBatch(now event.Time, out *event.Effects) *batch {
	b := &batchBuilder{batch: &batch{keys: map[string]bool{}}, client: c, now: now, out: out}
	mayRequest := c.rates.requests.canTake(now, 1)
	writes := c.rates.writes.available(now)
	for p := range c.txns.waiting {
		priority := Priority(p)
		maxOps := c.limits.TxnOps
		if !priority.exceedsShare() {
			if !mayRequest {
				break
			}
			maxOps = min(maxOps, writes)
		}
		if full := b.pick(priority, maxOps); full && len(b.txns) > 0 {
			break
		}
	}
	return b.batch
}

// pick adds what fits of one priority, as long as the batch has no more than
// maxOps writes. It reports whether the batch takes no more. Within a priority the
// order is kept, lest small transactions starve a large one.
func (b *batchBuilder) pick(priority Priority, maxOps int) (full bool) {
	waiting := b.client.txns.waiting[priority]
	kept := waiting[:0]
	for _, txn := range waiting {
		if full {
			kept = append(kept, txn)
			continue
		}
		switch b.admit(txn, maxOps) {
		case admitted:
			full = txn.mustGoAlone()
		case ended:
		case deferred:
			kept = append(kept, txn)
		case blocked:
			kept = append(kept, txn)
			full = true
		}
	}
	b.client.txns.waiting[priority] = kept
	return full
}

// admit builds a transaction and adds it to the batch if it fits.
func (b *batchBuilder) admit(txn *Txn, maxOps int) admission {
	if txn.mustGoAlone() && len(b.txns) > 0 {
		return blocked
	}
	if b.ops+txn.ops() > max(maxOps, b.borrowableOps(txn)) {
		return blocked
	}
	if txn.Build != nil {
		if b.client.txns.keysInFlight[txn.BuildKey] {
			return deferred
		}
		if !txn.Build(txn) {
			txn.end(Aborted, b.now, b.out)
			return ended
		}
	}
	if b.overlapsOtherWrites(txn) {
		return deferred
	}
	if !b.fits(txn, maxOps) {
		return blocked
	}
	b.add(txn)
	return admitted
}

// fits reports whether the batch takes the transaction within the limits.
func (b *batchBuilder) fits(txn *Txn, maxOps int) bool {
	return b.ops+len(txn.Writes) <= max(maxOps, b.borrowableOps(txn)) &&
		b.bytes+txn.size() <= maxTxnBytes &&
		b.compares+len(txn.Compares) <= comparesPerOp*b.client.limits.TxnOps
}

// overlapsOtherWrites reports whether a key of the transaction is written by the
// batch or by a request in flight.
func (b *batchBuilder) overlapsOtherWrites(txn *Txn) bool {
	for _, write := range txn.Writes {
		if b.client.txns.keysInFlight[write.Key] || b.keys[write.Key] {
			return true
		}
	}
	return false
}

// borrowableOps returns the limit on writes for a transaction that has more of
// them than this controller's share of the rate ever holds: once the bucket is full and
// nothing is before the transaction, it goes and the rest is owed. Otherwise it
// would wait for ever.
func (b *batchBuilder) borrowableOps(txn *Txn) int {
	ops := txn.ops()
	bucket := &b.client.rates.writes
	if b.ops == 0 && ops <= b.client.limits.TxnOps && ops > int(bucket.capacity()) && bucket.full() {
		return ops
	}
	return 0
}
