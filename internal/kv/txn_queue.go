package kv

import (
	"slices"

	"lugward/internal/event"
)

// txnQueue holds the transactions that wait, and what the requests in flight
// write.
type txnQueue struct {
	waiting  [priorityCount][]*Txn
	inFlight int // requests
	// keysInFlight are the keys that a request in flight writes. No other write of
	// such a key is sent, as its compares would not hold.
	keysInFlight map[string]bool
	pausedUntil  event.Time // after the store refused a request for now
}

func newTxnQueue() txnQueue { return txnQueue{keysInFlight: map[string]bool{}} }

// Submit queues a transaction behind those of its priority and rank. If it has
// not been sent at expiresAt, it ends as Aborted.
func (c *Client) Submit(txn *Txn, expiresAt event.Time) {
	txn.expiresAt = expiresAt
	waiting := &c.txns.waiting[txn.Priority]
	at := len(*waiting)
	for at > 0 && (*waiting)[at-1].Rank < txn.Rank {
		at--
	}
	*waiting = slices.Insert(*waiting, at, txn)
}

// requeue puts transactions back at the head of their queues, in their order.
func (q *txnQueue) requeue(txns []*Txn) {
	for _, txn := range slices.Backward(txns) {
		p := txn.Priority
		q.waiting[p] = append([]*Txn{txn}, q.waiting[p]...)
	}
}

// expireTxns ends the transactions that have waited for too long.
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
		// Stored before Done is called, as Done may submit another transaction.
		c.txns.waiting[p] = kept
		for _, txn := range expired {
			txn.end(Aborted, now, out)
		}
	}
}
