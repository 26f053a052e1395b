package kv

import (
	"fmt"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// maxCommitsInFlight is the maximum number of commit requests in flight. With two,
// the next request is already on its way while the store handles the first, and
// the transactions queued meanwhile share the one after.
const maxCommitsInFlight = 2

// sendTxns sends queued transactions as far as the rates and the number of requests
// in flight allow.
func (c *Client) sendTxns(now event.Time, out *event.Effects) {
	for c.txns.inFlight < maxCommitsInFlight && now >= c.txns.pausedUntil {
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
	c.rates.acquireWrites(now, b.ops)
	c.txns.inFlight++
	c.send(now, commitRequest(b.txns), pendingCommit{b}, out)
}

// pendingCommit is a commit request in flight.
type pendingCommit struct{ *batch }

func (p pendingCommit) handle(now event.Time, c *Client, r response, out *event.Effects) {
	c.txns.inFlight--
	for key := range p.keys {
		delete(c.txns.keysInFlight, key)
	}
	p.handleResponse(now, c, r, out)
	c.Tick(now, out)
}

// handleResponse ends the transactions of the request or returns them to the queue.
func (p pendingCommit) handleResponse(now event.Time, c *Client, r response, out *event.Effects) {
	switch r.status {
	case httpwire.StatusOK:
		p.handleCommitted(now, c, r, out)
	case httpwire.StatusConflict:
		p.handleConflict(now, c, r, out)
	case httpwire.StatusTooManyRequests, httpwire.StatusServiceUnavailable:
		c.txns.pausedUntil = now + retryDelay
		c.txns.requeue(p.txns)
	case httpwire.StatusBadRequest:
		p.handleRejected(now, c, r.body, out)
	default:
		p.handleUnknown(now, c, r.err(), out)
	}
}

// handleCommitted applies the writes of all transactions to the cache before it
// calls Done of any of them.
func (p pendingCommit) handleCommitted(now event.Time, c *Client, r response, out *event.Effects) {
	commit, err := decodeCommit(r.body)
	if err != nil {
		p.handleUnknown(now, c, err, out)
		return
	}
	for _, txn := range p.txns {
		for _, write := range txn.Writes {
			c.cache.applyIfNewer(write.Key, write.Data, commit.Revision)
		}
	}
	for _, txn := range p.txns {
		txn.Done(Result{Outcome: Committed, Revision: commit.Revision, Now: now, Out: out})
	}
}

// handleConflict ends the transactions whose compares failed. The others were not
// executed either, although their compares held: they are sent again.
func (p pendingCommit) handleConflict(now event.Time, c *Client, r response, out *event.Effects) {
	commit, err := decodeCommit(r.body)
	if err != nil {
		p.handleUnknown(now, c, err, out)
		return
	}
	failedKeys := commit.failedKeys()
	var retries []*Txn
	for _, txn := range p.txns {
		if len(p.txns) == 1 || txn.comparesAny(failedKeys) {
			txn.end(Conflict, now, out)
		} else {
			retries = append(retries, txn)
		}
	}
	c.txns.requeue(retries)
}

// handleRejected handles a 400. If several transactions shared the request, it
// requeues them to be sent one by one, in order to find the malformed one.
func (p pendingCommit) handleRejected(now event.Time, c *Client, body []byte, out *event.Effects) {
	if len(p.txns) > 1 {
		for _, txn := range p.txns {
			txn.requireOwnRequest()
		}
		c.txns.requeue(p.txns)
		return
	}
	txn := p.txns[0]
	c.logRejected(txn, body)
	txn.end(Rejected, now, out)
}

// handleUnknown ends all transactions of a request that got no usable response.
func (p pendingCommit) handleUnknown(now event.Time, c *Client, err error, out *event.Effects) {
	c.log.Debug("no usable response to commit request; outcome of its transactions is unknown", "transactions", len(p.txns), "error", err)
	for _, txn := range p.txns {
		txn.end(Unknown, now, out)
	}
}

// maxLoggedResponseBytes is the maximum length of a 400's body in the log.
const maxLoggedResponseBytes = 200

func (c *Client) logRejected(txn *Txn, body []byte) {
	writes := make([]string, 0, len(txn.Writes))
	for _, write := range txn.Writes {
		writes = append(writes, fmt.Sprintf("%s (%d bytes)", write.Key, len(write.Data)))
	}
	c.log.Error("state service rejected transaction as malformed",
		"writes", writes,
		"response", string(body[:min(len(body), maxLoggedResponseBytes)]))
}
