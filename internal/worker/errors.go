package worker

import (
	"errors"
	"fmt"
)

// Reasons for which a heartbeat is refused. They are the causes of a RefusedError.
var (
	// ErrStale means that the heartbeat is not newer than the last one: it was delayed
	// by the network, or is a copy. Its list of tasks is out of date, and its sender
	// waits for no response.
	ErrStale = errors.New("not newer than the last heartbeat")
	// ErrIncarnationExpired means that the lease of the heartbeat's incarnation has
	// expired since the last response to it: the heartbeat was delayed from before
	// then, and its machine may be released.
	ErrIncarnationExpired = errors.New("the lease of its incarnation has expired")
)

// RefusedError is returned for a heartbeat that is refused.
type RefusedError struct {
	Machine     string
	Incarnation uint64
	Sequence    uint64
	Reason      error // ErrStale or ErrIncarnationExpired
}

// Error names the heartbeat and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("heartbeat %d of incarnation %d of machine %s refused: %v", e.Sequence, e.Incarnation, e.Machine, e.Reason)
}

// Unwrap returns the reason.
func (e *RefusedError) Unwrap() error { return e.Reason }

// MissingFieldError is returned for the text of a heartbeat that lacks a field which
// every heartbeat has.
type MissingFieldError struct {
	Field string // its name in the protocol
}

// Error names the field.
func (e *MissingFieldError) Error() string {
	return fmt.Sprintf("heartbeat lacks the field %q", e.Field)
}
