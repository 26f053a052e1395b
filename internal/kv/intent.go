package kv

import "lugward/internal/event"

// Priority orders what waits for the request and write rates.
type Priority uint8

// From most to least urgent.
const (
	PriorityTerm Priority = iota
	PriorityCancellation
	PrioritySubmission
	PriorityPlacement
	PriorityProgress
	// PriorityCleanup is for what nobody waits for.
	PriorityCleanup
	priorityCount
)

// exceedsShare reports whether intents of this priority are sent beyond this
// node's part of the rates, which is then owed. Terms and cancellations are:
// where many nodes share a small rate, a part may be less than the two writes
// that a term takes, and no node would ever lead.
func (p Priority) exceedsShare() bool { return p <= PriorityCancellation }

// Write is one change of a transaction.
type Write struct {
	Key     string
	Data    []byte // JSON; nil drops the key
	LeaseID uint64 // if not 0, the key is dropped when this lease ends
}

// Compare requires that a key has a version (0: does not exist).
type Compare struct {
	Key         string
	ModRevision uint64
}

// Outcome is how an intent ended.
type Outcome uint8

const (
	// Committed means that the writes were executed.
	Committed Outcome = iota
	// Conflict means that a condition of this intent did not hold: nothing was executed.
	Conflict
	// Aborted means that nothing was executed: the transaction expired in the
	// queue, or Build had nothing to write.
	Aborted
	// Rejected means that the service called the transaction malformed (400);
	// nothing was executed. The same writes would be rejected again (their size
	// is the likely reason), so the caller retries them ever less often.
	Rejected
	// Unknown means that no response came: the writes may have been executed or
	// may yet be. All our writes carry the versions they build on, so a late one
	// either fails or arrives as an ordinary change.
	Unknown
)

// Result is how an intent ended, and when.
type Result struct {
	Outcome  Outcome
	Revision uint64 // of the transaction when Committed
	Now      event.Time
	// Out takes the effects of handling the result. It is nil when Build has
	// just said that there is nothing to write.
	Out *event.Effects
}

// Txn is a set of writes that happen together or not at all. Several
// intents may share one transaction.
type Txn struct {
	Priority Priority
	// Rank orders the intents of one priority: the greater goes first.
	Rank     int
	Compares []Compare
	Writes   []Write
	// Done is called once, when the intent has ended.
	Done func(r Result)
	// Build, if set, fills in Conditions and Writes when the intent's turn comes,
	// so that one write carries all that changed while it waited. It may be
	// called again for another attempt. It returns false if there is nothing to
	// write any more; Done is then called with Refused at once, and must not
	// submit another intent from within that call.
	Build func(in *Txn) bool
	// Key is the key that Build writes: the intent is not built while another
	// write of that key is under way.
	Key string

	expires  event.Time
	attempts int
}

// ops is the number of writes that the intent takes, at least one: before Build
// the number is not known.
func (in *Txn) ops() int { return max(1, len(in.Writes)) }

// attemptsBeforeAlone is the number of attempts without a result after which an
// intent gets a transaction of its own: what others in a shared one cause then
// no longer delays it, and a result is certain to be about it.
const attemptsBeforeAlone = 2

func (in *Txn) mustGoAlone() bool { return in.attempts >= attemptsBeforeAlone }

// sendAlone gives the next attempt a transaction of its own.
func (in *Txn) sendAlone() { in.attempts = max(in.attempts, attemptsBeforeAlone) }

// requires reports whether one of the intent's conditions is on a key of the set.
func (in *Txn) requires(keys map[string]bool) bool {
	for _, condition := range in.Compares {
		if keys[condition.Key] {
			return true
		}
	}
	return false
}
