package kv

import (
	"fmt"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// maxInFlight is the number of requests with transactions in flight at a time:
// while one is answered the next is on its way, and what waits gathers for the
// one after.
const maxInFlight = 2

// sendTxns sends waiting transactions as far as the rates and the number of
// requests in flight allow.
func (c *Client) sendTxns(now event.Time, out *event.Effects) {
	for c.txns.inFlight < maxInFlight && now >= c.txns.pausedUntil {
		b := c.pickBatch(now, out)
		if len(b.txns) == 0 {
			return
		}
		c.sendBatch(now, b, out)
	}
}

func (c *Client) sendBatch(now event.Time, b *batch, out *event.Effects) {
	for _, txn := range b.txns {
		txn.attempts++
	}
	for key := range b.keys {
		c.txns.keysInFlight[key] = true
	}
	c.rates.takeWrites(now, b.ops)
	c.txns.inFlight++
	c.send(now, commitRequest(b.txns), pendingCommit{b}, out)
}

// pendingCommit is a request with transactions in flight.
type pendingCommit struct{ *batch }

func (p pendingCommit) handle(now event.Time, c *Client, r response, out *event.Effects) {
	c.txns.inFlight--
	for key := range p.keys {
		delete(c.txns.keysInFlight, key)
	}
	p.endTxns(now, c, r, out)
	c.Tick(now, out)
}

// endTxns gives the transactions their results, or puts them back into the queue.
func (p pendingCommit) endTxns(now event.Time, c *Client, r response, out *event.Effects) {
	switch r.status {
	case httpwire.StatusOK:
		p.committed(now, c, r, out)
	case httpwire.StatusConflict:
		p.conflicted(now, c, r, out)
	case httpwire.StatusTooManyRequests, httpwire.StatusServiceUnavailable:
		c.txns.pausedUntil = now + retryPause
		c.txns.requeue(p.txns)
	case httpwire.StatusBadRequest:
		p.rejected(now, c, r.body, out)
	default:
		p.outcomeUnknown(now, c, r.err(), out)
	}
}

// committed shows all writes in the cache before Done of any transaction is
// called.
func (p pendingCommit) committed(now event.Time, c *Client, r response, out *event.Effects) {
	commit, err := decodeCommit(r.body)
	if err != nil {
		p.outcomeUnknown(now, c, err, out)
		return
	}
	for _, txn := range p.txns {
		for _, write := range txn.Writes {
			c.cache.observe(write.Key, write.Data, commit.Revision)
		}
	}
	for _, txn := range p.txns {
		txn.Done(Result{Outcome: Committed, Revision: commit.Revision, Now: now, Out: out})
	}
}

// conflicted ends the transactions whose compares failed. The others were not
// executed either, through no fault of theirs: they are sent again.
func (p pendingCommit) conflicted(now event.Time, c *Client, r response, out *event.Effects) {
	commit, err := decodeCommit(r.body)
	if err != nil {
		p.outcomeUnknown(now, c, err, out)
		return
	}
	failedKeys := commit.failedKeys()
	var again []*Txn
	for _, txn := range p.txns {
		if len(p.txns) == 1 || txn.comparesAny(failedKeys) {
			txn.end(Conflict, now, out)
		} else {
			again = append(again, txn)
		}
	}
	c.txns.requeue(again)
}

// rejected handles a 400. Where transactions shared the request, each is sent
// alone to find the one that it is about.
func (p pendingCommit) rejected(now event.Time, c *Client, body []byte, out *event.Effects) {
	if len(p.txns) > 1 {
		for _, txn := range p.txns {
			txn.sendAlone()
		}
		c.txns.requeue(p.txns)
		return
	}
	txn := p.txns[0]
	c.logRejected(txn, body)
	txn.end(Rejected, now, out)
}

// outcomeUnknown ends all transactions of a request that got no usable response.
func (p pendingCommit) outcomeUnknown(now event.Time, c *Client, err error, out *event.Effects) {
	c.log.Debug("outcome of transactions unknown", "transactions", len(p.txns), "error", err)
	for _, txn := range p.txns {
		txn.end(Unknown, now, out)
	}
}

// maxLoggedResponse is how many bytes of a 400's body go into the log.
const maxLoggedResponse = 200

func (c *Client) logRejected(txn *Txn, body []byte) {
	writes := make([]string, 0, len(txn.Writes))
	for _, write := range txn.Writes {
		writes = append(writes, fmt.Sprintf("%s (%d bytes)", write.Key, len(write.Data)))
	}
	c.log.Error("transaction rejected as malformed",
		"writes", writes,
		"response", string(body[:min(len(body), maxLoggedResponse)]))
}
