package kv

import (
	"slices"

	"lugward/internal/event"
)

// txnQueue holds the queued transactions and the state of the commit requests in
// flight.
type txnQueue struct {
	waiting  [priorityCount][]*Txn
	inFlight int // number of commit requests in flight
	// keysInFlight are the keys that a request in flight writes. No other write of such
	// a key is sent, because its compares would fail.
	keysInFlight map[string]bool
	pausedUntil  event.Time // set when the store answers with 429 or 503
}

func newTxnQueue() txnQueue { return txnQueue{keysInFlight: map[string]bool{}} }

// Submit queues a transaction behind those of the same priority with the same or a
// higher rank. If it has not been sent by expiresAt, it ends as Aborted.
func (c *Client) Submit(txn *Txn, expiresAt event.Time) {
	txn.expiresAt = expiresAt
	waiting := &c.txns.waiting[txn.Priority]
	at := len(*waiting)
	for at > 0 && (*waiting)[at-1].Rank < txn.Rank {
		at--
	}
	*waiting = slices.Insert(*waiting, at, txn)
}

// requeue returns transactions to the head of their queues and preserves their
// order.
func (q *txnQueue) requeue(txns []*Txn) {
	for _, txn := range slices.Backward(txns) {
		p := txn.Priority
		q.waiting[p] = append([]*Txn{txn}, q.waiting[p]...)
	}
}

// expireTxns ends the queued transactions that have expired.
func (c *Client) expireTxns(now event.Time, out *event.Effects) {
	for p := range c.txns.waiting {
		waiting := c.txns.waiting[p]
		kept := waiting[:0]
		var expired []*Txn
		for _, txn := range waiting {
			if now >= txn.expiresAt {
				expired = append(expired, txn)
			} else {
				kept = append(kept, txn)
			}
		}
		// Updated before Done is called, because Done may submit another transaction.
		c.txns.waiting[p] = kept
		for _, txn := range expired {
			txn.end(Aborted, now, out)
		}
	}
}
