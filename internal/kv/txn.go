package kv

import "lugward/internal/event"

// Priority orders the transactions that wait for the request and write rates.
type Priority uint8

// From most to least urgent.
const (
	PriorityTerm Priority = iota
	PriorityCancellation
	PrioritySubmission
	PriorityPlacement
	PriorityProgress
	// PriorityGarbageCollection is for what nobody waits for.
	PriorityGarbageCollection
	priorityCount
)

// exceedsShare reports whether transactions of this priority are sent beyond this
// controller's share of the rates, which is then owed. Terms and cancellations are:
// where many controllers share a small rate, a share may be less than the two writes
// that a term takes, and no controller would ever lead.
func (p Priority) exceedsShare() bool { return p <= PriorityCancellation }

// Write is one write of a transaction.
type Write struct {
	Key     string
	Data    []byte // JSON; nil deletes the key
	LeaseID uint64 // if not 0, the key is deleted when this lease ends
}

// Compare requires that a key has a mod revision; 0 requires that the key does
// not exist.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Outcome is how a transaction ended.
type Outcome uint8

const (
	// Committed means that the writes were executed.
	Committed Outcome = iota
	// Conflict means that a compare of this transaction did not hold: nothing was
	// executed.
	Conflict
	// Aborted means that nothing was executed: the transaction expired in the
	// queue, or Build had nothing to write.
	Aborted
	// Rejected means that the store called the transaction malformed (400);
	// nothing was executed. The same writes would be rejected again (their size
	// is the likely reason), so the caller retries them ever less often.
	Rejected
	// Unknown means that no response came: the writes may have been executed or
	// may yet be. Where they compare the mod revisions that they build on, a late
	// execution either fails or arrives as an ordinary change.
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

// Result is how a transaction ended, and when.
type Result struct {
	Outcome  Outcome
	Revision uint64 // of the store, by this transaction; set when Committed
	Now      event.Time
	// Out takes the effects of handling the result.
	Out *event.Effects
}

// Txn is a set of writes that are executed together, if all compares hold, or not
// at all. Several of them may share one request to the store (group commit).
type Txn struct {
	Priority Priority
	// Rank orders the transactions of one priority: the greater goes first.
	Rank     int
	Compares []Compare
	Writes   []Write
	// Done is called exactly once, when the transaction has ended, from within
	// Tick or HandleCallResult. After a commit the cache already shows the writes
	// of all transactions of the request. Done may submit another transaction,
	// unless Build has just returned false.
	Done func(r Result)
	// Build, if set, fills in Compares and Writes just before the transaction is
	// sent, so that one write carries all that changed while it waited. It is
	// called again for another attempt, and for one that turned out not to fit
	// into the request. If there is nothing to write any more it returns false:
	// Done is then called with Aborted at once. Build must not submit
	// transactions, as the queue is being read.
	Build func(txn *Txn) bool
	// BuildKey is the key that Build writes: Build is not called while another
	// write of that key is in flight.
	BuildKey string

	expiresAt event.Time
	attempts  int
}

// ops returns the number of writes that the transaction takes, at least one:
// before Build the number is not known.
func (t *Txn) ops() int { return max(1, len(t.Writes)) }

// attemptsBeforeAlone is the number of attempts without a result after which a
// transaction gets a request of its own: what others in a shared one cause then
// no longer delays it, and a result is certain to be about it.
const attemptsBeforeAlone = 2

func (t *Txn) mustGoAlone() bool { return t.attempts >= attemptsBeforeAlone }

// sendAlone gives the next attempt a request of its own.
func (t *Txn) sendAlone() { t.attempts = max(t.attempts, attemptsBeforeAlone) }

// comparesAny reports whether the transaction compares a key of the set.
func (t *Txn) comparesAny(keys map[string]bool) bool {
	for _, compare := range t.Compares {
		if keys[compare.Key] {
			return true
		}
	}
	return false
}

// end calls Done.
func (t *Txn) end(outcome Outcome, now event.Time, out *event.Effects) {
	t.Done(Result{Outcome: outcome, Now: now, Out: out})
}
