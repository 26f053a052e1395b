package pipeline

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

const (
	// writeTimeout is how long a queued write waits for the write rate limit before it
	// is dropped and queued again.
	writeTimeout = 20 * time.Second
	// retryWait is the delay after a write that the state service did not reject, before
	// the same record is written again. The watch cache needs about that long to catch
	// up with the state service.
	retryWait = 200 * time.Millisecond
	// maxRetryWait is the maximum delay after writes that the state service rejects.
	maxRetryWait = 30 * time.Second
	// maxRejectedWrites caps the number of consecutive rejected writes that is counted.
	// The doubled delay exceeds maxRetryWait before that.
	maxRejectedWrites = 10
)

// TxnSubmitter queues transactions. A transaction that has not been sent by the monotonic
// time expiresAt is dropped. *kv.Client implements it.
type TxnSubmitter interface {
	Submit(txn *kv.Txn, expiresAt event.Time)
}

// delayRecordWrite sets the earliest time of the next write of a job's records after the
// result of one. A write that the state service rejected will be rejected again, so it is
// retried with an exponential backoff.
func (j *Job) delayRecordWrite(result kv.Result) {
	j.nextRecordWrite = result.Now + retryAfter(result, &j.rejectedWrites)
}

// retryAfter returns the delay after a write with a result. rejected points to the number of
// consecutive rejected writes, which retryAfter updates.
func retryAfter(result kv.Result, rejected *int) time.Duration {
	if result.Outcome != kv.Rejected {
		*rejected = 0
		return retryWait
	}
	*rejected = min(*rejected+1, maxRejectedWrites)
	return min(maxRetryWait, time.Second<<*rejected)
}

// mayWriteRecord reports whether the job's readiness or cancellation may be written now.
func (j *Job) mayWriteRecord(now event.Time) bool {
	return !j.recordWriteInFlight && now >= j.nextRecordWrite
}

// submitRecordWrite queues the writes of a job's readiness or cancellation. The transaction
// requires the job's record to have the revision that the watch cache shows, and that there
// is no terminal record, so that only one of several controllers succeeds. inFlight points
// to the number of such writes in flight.
func (j *Job) submitRecordWrite(inFlight *int, now event.Time, submitter TxnSubmitter, txn *kv.Txn) {
	j.recordWriteInFlight = true
	*inFlight++
	txn.Rank = j.writeRank()
	txn.Compares = []kv.Compare{{Key: record.JobKey(j.ID), ModRevision: j.ModRevision}, {Key: record.TerminalKey(j.ID)}}
	txn.Done = func(result kv.Result) {
		j.recordWriteInFlight = false
		*inFlight--
		j.delayRecordWrite(result)
	}
	submitter.Submit(txn, now+writeTimeout)
}
