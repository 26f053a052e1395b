package store

import (
	"lugward/internal/event"
)

// Priority orders what waits for the request and write rates.
type Priority uint8

// From most to least urgent.
const (
	Term Priority = iota
	Cancel
	Accept
	Place
	Progress
	priorities
)

// Write is one change of a transaction.
type Write struct {
	Key     string
	Data    []byte // JSON; nil drops the key
	LeaseID uint64
}

// Condition requires that a key has a version (0: does not exist).
type Condition struct {
	Key     string
	Version uint64
}

// Outcome of an intent.
type Outcome uint8

const (
	// OK means that the writes were executed.
	OK Outcome = iota
	// Conflict means that a condition of this intent did not hold: nothing was executed.
	Conflict
	// Refused means that nothing was executed.
	Refused
	// Unknown means that no response came: the writes may have been executed or
	// may yet be. All our writes carry the versions they build on, so a late one
	// either fails or arrives as an ordinary change.
	Unknown
)

// Result is how an intent ended.
type Result struct {
	Outcome  Outcome
	Revision uint64 // of the transaction when OK
	// Invalid: refused with 400. The same write will be refused again, be it
	// for its size, so it is to be tried ever less often.
	Invalid bool
	Now     event.Time
	Out     *event.Effects
}

// Intent is a set of writes that happen together or not at all. Several
// intents may share one transaction.
type Intent struct {
	Priority   Priority
	Conditions []Condition
	Writes     []Write
	Done       func(r Result)
	// Build, if set, fills in Conds and Writes when the intent's turn comes, so
	// that one write carries all that changed while it waited. It may be called
	// again for another attempt. False: there is nothing to write any more; Done is
	// told Refused. Key is the key that it is about: it is not built while a
	// write of that key is under way.
	Build func(in *Intent) bool
	Key   string

	expires  event.Time
	attempts int
}

func (in *Intent) ops() int { return max(1, len(in.Writes)) }
