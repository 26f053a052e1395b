package api

import (
	"errors"
	"fmt"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// badField says what is wrong with a submission.
type badField struct {
	Field    string // its name in the API; empty for the body as a whole
	Value    any    // what the submission has there; nil if it has nothing
	Expected string
}

// String names the field, what is expected there and what was found.
func (b *badField) String() string {
	field, value := b.Field, any("nothing")
	if field == "" {
		field = "body"
	}
	if b.Value != nil {
		value = b.Value
	}
	return fmt.Sprintf("%s: expected %s, found %v", field, b.Expected, value)
}

// malformedError refuses a body that is not a submission.
type malformedError struct {
	badField
	Err error // the cause; may be nil
}

// Error says in one line what is malformed.
func (e *malformedError) Error() string { return "malformed submission: " + e.String() }

// Unwrap returns the cause, or nil.
func (e *malformedError) Unwrap() error { return e.Err }

// infeasibleError refuses a job that could never run.
type infeasibleError struct{ badField }

// Error says in one line what keeps the job from running.
func (e *infeasibleError) Error() string { return "job can never run: " + e.String() }

// unavailableError refuses a request that can't be decided or carried out now.
type unavailableError struct {
	Reason     string
	RetryAfter int // seconds after which the client may come back
}

// Error says in one line why, and when to come back.
func (e *unavailableError) Error() string {
	return fmt.Sprintf("%s: retry after %d s", e.Reason, e.RetryAfter)
}

// refuse answers a request with the status that the error stands for.
func refuse(conn uint64, err error, out *event.Effects) {
	var malformed *malformedError
	var infeasible *infeasibleError
	var unavailable *unavailableError
	switch {
	case errors.As(err, &malformed):
		out.Reply(conn, httpwire.StatusBadRequest, nil)
	case errors.As(err, &infeasible):
		out.Reply(conn, httpwire.StatusUnprocessableContent, nil)
	case errors.As(err, &unavailable):
		out.ReplyUnavailable(conn, unavailable.RetryAfter)
	default:
		out.ReplyUnavailable(conn, minRetryAfter)
	}
}

// isUnavailable reports whether a retry of the request may get another answer.
func isUnavailable(err error) bool {
	var unavailable *unavailableError
	return errors.As(err, &unavailable)
}
