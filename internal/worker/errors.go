package worker

import (
	"errors"
	"fmt"
)

// Reasons for which a heartbeat is refused. A RefusedError wraps one of them.
var (
	// ErrStale means that the heartbeat is not newer than the last one: the network has
	// delayed or duplicated it. Its list of tasks is out of date, and its sender no
	// longer waits for a response.
	ErrStale = errors.New("not newer than the last heartbeat of the machine")
	// ErrIncarnationExpired means that the lease of the heartbeat's incarnation has
	// expired since the last response to that incarnation. The heartbeat was sent before
	// the expiry and delayed, and its machine may already be released.
	ErrIncarnationExpired = errors.New("lease of the incarnation has expired")
)

// RefusedError is the error for a heartbeat that is refused.
type RefusedError struct {
	Machine     string
	Incarnation uint64
	Sequence    uint64
	Reason      error // ErrStale or ErrIncarnationExpired
}

// Error names the heartbeat and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("heartbeat refused: sequence %d, incarnation %d, machine %s: %v", e.Sequence, e.Incarnation, e.Machine, e.Reason)
}

// Unwrap returns the reason.
func (e *RefusedError) Unwrap() error { return e.Reason }

// MissingFieldError is the error for a heartbeat without a required field.
type MissingFieldError struct {
	Field string // name of the field in the protocol
}

// Error names the field.
func (e *MissingFieldError) Error() string {
	return fmt.Sprintf("heartbeat has no value for the required field %q", e.Field)
}
