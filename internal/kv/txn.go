package kv

import "lugward/internal/event"

// Priority determines the order in which queued transactions are sent when the
// request and write rates limit them.
type Priority uint8

// From most to least urgent.
const (
	PriorityTerm Priority = iota
	PriorityCancellation
	PrioritySubmission
	PriorityPlacement
	PriorityProgress
	// PriorityGarbageCollection is the priority of transactions that nothing waits for.
	PriorityGarbageCollection
	priorityCount
)

// mayExceedShare reports whether transactions of this priority are sent even beyond
// this controller's share of the rates; the excess is then deducted from its future
// share. This holds for terms and cancellations. If many controllers share a low
// rate, a share may be smaller than the two writes that starting a term takes, and
// no controller would ever become leader.
func (p Priority) mayExceedShare() bool { return p <= PriorityCancellation }

// Write is one write of a transaction.
type Write struct {
	Key     string
	Data    []byte // JSON; nil deletes the key
	LeaseID uint64 // if not 0, the store deletes the key when this lease ends
}

// Compare requires that a key has the given mod revision. 0 requires that the key
// does not exist.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Outcome is the result of a transaction.
type Outcome uint8

const (
	// Committed means that the writes were executed.
	Committed Outcome = iota
	// Conflict means that a compare of this transaction failed. Nothing was executed.
	Conflict
	// Aborted means that nothing was executed: the transaction expired in the
	// queue, or Build had nothing to write.
	Aborted
	// Rejected means that the store rejected the transaction as malformed (400).
	// Nothing was executed. The same writes would be rejected again, most likely
	// because of their size, so callers retry with a growing delay.
	Rejected
	// Unknown means that there was no usable response: the writes may have been
	// executed or may still be executed later. If the transaction compares the mod
	// revisions that its writes depend on, a late execution either fails or is
	// seen as an ordinary change.
	Unknown
)

// outcomeNames are the names of the outcomes in the log.
var outcomeNames = [...]string{
	Committed: "committed",
	Conflict:  "conflict",
	Aborted:   "aborted",
	Rejected:  "rejected",
	Unknown:   "unknown",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the outcome of a transaction and the time at which it ended.
type Result struct {
	Outcome  Outcome
	Revision uint64 // revision of the store after this transaction; set only if Committed
	Now      event.Time
	// Out receives the effects of handling the result.
	Out *event.Effects
}

// Txn is a set of writes that the store executes together if all compares hold, or
// else not at all. Several of them may share one request (group commit).
type Txn struct {
	Priority Priority
	// Rank orders the transactions of one priority: the highest rank is sent first.
	Rank     int
	Compares []Compare
	Writes   []Write
	// Done is called exactly once, when the transaction has ended, from within Tick or
	// HandleCallResult. After a commit the cache already holds the writes of all
	// transactions of the request. Done may submit another transaction, unless it is
	// called because Build returned false.
	Done func(r Result)
	// Build, if not nil, sets Compares and Writes just before the transaction is
	// sent, so that one write contains all changes made while the transaction was
	// queued. It is called again for each further attempt, and also if the transaction
	// did not fit into the request. If there is nothing left to write it returns false,
	// and Done is called with Aborted at once. Build must not submit transactions,
	// because it is called while the queue is being iterated.
	Build func(txn *Txn) bool
	// BuildKey is the key that Build writes. Build is not called while another write of
	// that key is in flight.
	BuildKey string

	expiresAt event.Time
	attempts  int
}

// ops returns the number of writes of the transaction. It is at least one, because
// the number is not known before Build.
func (t *Txn) ops() int { return max(1, len(t.Writes)) }

// maxSharedAttempts is the number of attempts without a result after which a
// transaction is sent in a request of its own. Other transactions then no longer
// delay it, and a response is known to be about it.
const maxSharedAttempts = 2

func (t *Txn) needsOwnRequest() bool { return t.attempts >= maxSharedAttempts }

// requireOwnRequest makes the next attempt use a request of its own.
func (t *Txn) requireOwnRequest() { t.attempts = max(t.attempts, maxSharedAttempts) }

// comparesAny reports whether the transaction compares any of the keys.
func (t *Txn) comparesAny(keys map[string]bool) bool {
	for _, compare := range t.Compares {
		if keys[compare.Key] {
			return true
		}
	}
	return false
}

// end calls Done with an outcome other than Committed.
func (t *Txn) end(outcome Outcome, now event.Time, out *event.Effects) {
	t.Done(Result{Outcome: outcome, Now: now, Out: out})
}
