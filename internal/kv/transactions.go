package kv

import (
	"encoding/json"
	"fmt"
	"slices"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// maxInFlight is the number of transactions under way at a time: while one is
// answered the next is on its way, and what waits gathers for the one after.
const maxInFlight = 2

// txnQueue holds the intents that wait and the transactions under way.
type txnQueue struct {
	queue    [priorityCount][]*Txn
	inFlight int
	// keysInFlight are the keys that a transaction under way writes. No other write
	// of such a key is sent, as its conditions would not hold.
	keysInFlight map[string]bool
	pausedUntil  event.Time // after the service refused one
}

func newTxnQueue() txnQueue { return txnQueue{keysInFlight: map[string]bool{}} }

// Submit queues an intent behind those of its priority and rank. If it has not been sent by expires, it ends as Refused.
func (c *Client) Submit(in *Txn, expires event.Time) {
	in.expires = expires
	queue := &c.txns.queue[in.Priority]
	at := len(*queue)
	for at > 0 && (*queue)[at-1].Rank < in.Rank {
		at--
	}
	*queue = slices.Insert(*queue, at, in)
}

// requeue puts intents back at the head of their queues, in their order.
func (t *txnQueue) requeue(list []*Txn) {
	for i := len(list) - 1; i >= 0; i-- {
		p := list[i].Priority
		t.queue[p] = append([]*Txn{list[i]}, t.queue[p]...)
	}
}

// expireTxns ends the intents that have waited for too long.
func (c *Client) expireTxns(now event.Time, out *event.Effects) {
	for p := range c.txns.queue {
		waiting := c.txns.queue[p]
		kept := waiting[:0]
		var expired []*Txn
		for _, in := range waiting {
			if now >= in.expires {
				expired = append(expired, in)
			} else {
				kept = append(kept, in)
			}
		}
		// Stored before Done is called, as Done may submit another intent.
		c.txns.queue[p] = kept
		for _, in := range expired {
			in.Done(Result{Outcome: Aborted, Now: now, Out: out})
		}
	}
}

// sendTransactions sends waiting intents as far as the rates and the number of
// transactions under way allow.
func (c *Client) sendTransactions(now event.Time, out *event.Effects) {
	for c.txns.inFlight < maxInFlight && now >= c.txns.pausedUntil {
		b := c.pickBatch(now)
		if len(b.txns) == 0 {
			return
		}
		c.sendBatch(b, now, out)
	}
}

func (c *Client) sendBatch(b *batch, now event.Time, out *event.Effects) {
	for _, in := range b.txns {
		in.attempts++
	}
	for key := range b.keys {
		c.txns.keysInFlight[key] = true
	}
	c.rates.takeWrites(now, b.ops)
	c.txns.inFlight++
	body := b.encode()
	c.send(call{method: "POST", path: "/commit", body: body, timeout: callTimeout}, commitRequest{b}, now, out)
}

// commitRequest is a transaction under way.
type commitRequest struct{ *batch }

// commitAnswer is the service's answer to a transaction.
type commitAnswer struct {
	Revision uint64   `json:"epoch"`
	Failed   []string `json:"failed"` // keys whose conditions did not hold
}

func (r commitRequest) answered(c *Client, now event.Time, resp response, out *event.Effects) {
	c.txns.inFlight--
	for key := range r.keys {
		delete(c.txns.keysInFlight, key)
	}
	r.end(c, now, resp, out)
	c.Tick(now, out)
}

// end gives the intents their results, or puts them back into the queue.
func (r commitRequest) end(c *Client, now event.Time, resp response, out *event.Effects) {
	var answer commitAnswer
	status := resp.status
	if status == httpwire.StatusOK || status == httpwire.StatusConflict {
		if json.Unmarshal(resp.body, &answer) != nil {
			status = noResponse
		}
	}
	switch status {
	case httpwire.StatusOK:
		r.committed(c, now, answer.Revision, out)
	case httpwire.StatusConflict:
		r.conflicted(c, now, answer.Failed, out)
	case httpwire.StatusTooManyRequests, httpwire.StatusServiceUnavailable:
		c.txns.pausedUntil = now + retryPause
		c.txns.requeue(r.txns)
	case httpwire.StatusBadRequest:
		r.malformed(c, now, resp.body, out)
	default:
		for _, in := range r.txns {
			in.Done(Result{Outcome: Unknown, Now: now, Out: out})
		}
	}
}

// committed shows all writes in the replica before any intent's Done is called.
func (r commitRequest) committed(c *Client, now event.Time, revision uint64, out *event.Effects) {
	for _, in := range r.txns {
		for _, write := range in.Writes {
			c.cache.change(write.Key, write.Data, revision)
		}
	}
	for _, in := range r.txns {
		in.Done(Result{Outcome: Committed, Revision: revision, Now: now, Out: out})
	}
}

// conflicted ends the intents whose conditions failed. The others were not
// executed either, for no fault of theirs: they are sent again.
func (r commitRequest) conflicted(c *Client, now event.Time, failed []string, out *event.Effects) {
	failedKeys := map[string]bool{}
	for _, key := range failed {
		failedKeys[key] = true
	}
	var again []*Txn
	for _, in := range r.txns {
		if len(r.txns) == 1 || in.requires(failedKeys) {
			in.Done(Result{Outcome: Conflict, Now: now, Out: out})
		} else {
			again = append(again, in)
		}
	}
	c.txns.requeue(again)
}

// malformed handles a 400. Where intents shared the transaction, each is sent
// alone to find the one that it is about.
func (r commitRequest) malformed(c *Client, now event.Time, body []byte, out *event.Effects) {
	if len(r.txns) > 1 {
		for _, in := range r.txns {
			in.sendAlone()
		}
		c.txns.requeue(r.txns)
		return
	}
	in := r.txns[0]
	c.logMalformed(in, body)
	in.Done(Result{Outcome: Rejected, Now: now, Out: out})
}

// maxLoggedAnswer is how many bytes of a refusal's body go into the log.
const maxLoggedAnswer = 200

func (c *Client) logMalformed(in *Txn, body []byte) {
	writes := make([]string, 0, len(in.Writes))
	for _, write := range in.Writes {
		writes = append(writes, fmt.Sprintf("%s (%d bytes)", write.Key, len(write.Data)))
	}
	c.log.Error("write refused as malformed", "writes", writes, "answer", string(body[:min(len(body), maxLoggedAnswer)]))
}
