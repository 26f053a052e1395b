package kv

import "lugward/internal/event"

const (
	// maxRequestBytes is the maximum estimated size of a request's body. It leaves a margin
	// below the 64 KiB that the store accepts.
	maxRequestBytes = 60 << 10
	// writeOverheadBytes is the maximum size of the JSON of a write without its key and
	// data. compareOverheadBytes is the maximum size of a compare, key included.
	writeOverheadBytes   = 60
	compareOverheadBytes = 120
	// comparesPerOp is the number of compares that the store accepts for each write
	// that it allows in a request.
	comparesPerOp = 4
)

// batch is a request of one or more transactions that is being built. No two of its
// writes have the same key, because the store would execute only one of them.
type batch struct {
	txns     []*Txn
	ops      int // number of writes
	compares int
	bytes    int // estimated size of the body
	keys     map[string]bool
}

// size estimates the bytes that the transaction adds to a request's body.
func (t *Txn) size() int {
	bytes := compareOverheadBytes * len(t.Compares)
	for _, write := range t.Writes {
		bytes += len(write.Key) + len(write.Data) + writeOverheadBytes
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

// admission is the result of trying to add a transaction to a batch.
type admission uint8

const (
	admitted admission = iota // the transaction was added to the batch
	ended                     // the transaction has nothing to write and has ended
	deferred                  // the transaction waits for a key; later ones may be sent before it
	blocked                   // the transaction does not fit; no later one of its priority may be sent before it
)

// batchBuilder builds one batch at a given time.
type batchBuilder struct {
	*batch
	client *Client
	now    event.Time
	out    *event.Effects
}

// pickBatch removes the transactions that fit into one request from the queue, most
// urgent first.
func (c *Client) pickBatch(now event.Time, out *event.Effects) *batch {
	b := &batchBuilder{batch: &batch{keys: map[string]bool{}}, client: c, now: now, out: out}
	mayRequest := c.rates.requests.canAcquire(now, 1)
	writes := c.rates.writes.available(now)
	for p := range c.txns.waiting {
		priority := Priority(p)
		maxOps := c.limits.TxnOps
		if !priority.mayExceedShare() {
			if !mayRequest {
				break
			}
			maxOps = min(maxOps, writes)
		}
		if full := b.pickPriority(priority, maxOps); full && len(b.txns) > 0 {
			break
		}
	}
	return b.batch
}

// pickPriority adds transactions of one priority to the batch while the batch has at
// most maxOps writes. It reports whether the batch is full. Transactions of one
// priority are added in order, because small ones could otherwise starve a large
// one.
func (b *batchBuilder) pickPriority(priority Priority, maxOps int) (full bool) {
	waiting := b.client.txns.waiting[priority]
	kept := waiting[:0]
	for _, txn := range waiting {
		if full {
			kept = append(kept, txn)
			continue
		}
		switch b.admit(txn, maxOps) {
		case admitted:
			full = txn.needsOwnRequest()
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
	if txn.needsOwnRequest() && len(b.txns) > 0 {
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

// fits reports whether the batch with the transaction would be within the limits.
func (b *batchBuilder) fits(txn *Txn, maxOps int) bool {
	return b.ops+len(txn.Writes) <= max(maxOps, b.borrowableOps(txn)) &&
		b.bytes+txn.size() <= maxRequestBytes &&
		b.compares+len(txn.Compares) <= comparesPerOp*b.client.limits.TxnOps
}

// overlapsOtherWrites reports whether the batch or a request in flight writes a key
// that the transaction writes.
func (b *batchBuilder) overlapsOtherWrites(txn *Txn) bool {
	for _, write := range txn.Writes {
		if b.client.txns.keysInFlight[write.Key] || b.keys[write.Key] {
			return true
		}
	}
	return false
}

// borrowableOps returns the limit on writes for a transaction with more writes than
// the token bucket for this controller's share of the rate can hold. Such a
// transaction would otherwise wait forever. It is sent when the bucket is full and
// the batch has no writes yet, and the level of the bucket becomes negative. In all
// other cases borrowableOps returns 0.
func (b *batchBuilder) borrowableOps(txn *Txn) int {
	ops := txn.ops()
	bucket := &b.client.rates.writes
	if b.ops == 0 && ops <= b.client.limits.TxnOps && ops > int(bucket.capacity()) && bucket.full() {
		return ops
	}
	return 0
}
