package pipeline

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

const (
	// writeTimeout is how long a queued write waits for the write rate before it
	// is given up and queued anew.
	writeTimeout = 20 * time.Second
	// retryWait is the pause after a write that failed: the watch cache needs
	// about that long to show what the state service holds.
	retryWait = 200 * time.Millisecond
	// maxRetryWait bounds the pause after writes that the state service rejects.
	maxRetryWait = 30 * time.Second
	// maxRejectedWrites is the count of such writes in a row from which on the
	// pause grows no further: its doublings exceed maxRetryWait by then.
	maxRejectedWrites = 10
)

// TxnSubmitter queues transactions, each to be given up at a monotonic time; *kv.Client
// is one.
type TxnSubmitter interface {
	Submit(txn *kv.Txn, expires event.Time)
}

// delayRecordWrite delays the next write of a job's records after one had an outcome. A
// write that the state service rejects will be rejected again: it is retried ever less
// often.
func (j *Job) delayRecordWrite(result kv.Result) {
	j.nextRecordWrite = result.Now + retryAfter(result, &j.rejectedWrites)
}

// retryAfter is how long to wait after a write; rejected counts those in a row that were
// rejected.
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

// submitRecordWrite queues the writes of a job's readiness or cancellation on condition of
// the job's record as the watch cache shows it and of no terminal record, so that of several
// controllers only one succeeds; inFlight counts such writes.
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
